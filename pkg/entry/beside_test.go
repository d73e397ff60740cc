package entry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/ledger"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
	"github.com/lavenderring/lavenderring/pkg/standin/engine"
)

// equalRequest has the fingerprint of a model request.
type equalRequest fingerprint.Fingerprint

// Prompt implements quarantine.Request.
func (equalRequest) Prompt() quarantine.Prompt { return quarantine.Prompt{} }

// Fingerprint implements quarantine.Request.
func (r equalRequest) Fingerprint() fingerprint.Fingerprint { return fingerprint.Fingerprint(r) }

// equalRequest returns the request of ask, as the quarantine sees it.
func (s *site) equalRequest(stream bool) equalRequest {
	s.t.Helper()
	body, err := json.Marshal(chat.Request{Model: "leak-report", MaxTokens: maxOutputTokens, Stream: stream, Messages: messages})
	if err != nil {
		s.t.Fatal(err)
	}
	return equalRequest(fingerprint.Of(ledger.BudgetID(s.doc.Service, "crew"), "", fingerprint.Content("POST", chatPath, body)))
}

// Guards against a request that ends the engines which run it and runs at two of them at the same time: beside a
// silent engine no other one is asked while an ending under the request is undecided.
func TestWatchedRequestIsNotRunBesideASilentEngine(t *testing.T) {
	for _, stream := range []bool{true, false} {
		s := newSite(t, 2, shortIdle)
		s.allowRetries(1)
		silent, other := s.engines[s.preferred()], s.engines[1-s.preferred()]
		silent.SetFaults(engine.Faults{PauseMillis: pauseMillis, RefuseResumes: true})
		run, err := s.entry.Quarantine.Begin(s.equalRequest(stream), time.Now())
		if err != nil {
			t.Fatal(err)
		}
		run.NoteConnectionEnd(quarantine.Origin{}, quarantine.Upstream{ID: "u", Address: "at u", Incarnation: "u"}, time.Now())
		r := s.ask(stream)
		s.expectWhole(r, stream)
		s.expectBilled([]reply{r})
		if len(other.Usage()) != 0 {
			t.Error("the other engine got the request as well")
		}
		if !s.entry.retries.withdraw() {
			t.Error("the retry that was not made is used up")
		}
	}
}
