package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/standin/engine"
	"github.com/lavenderring/lavenderring/pkg/standin/plain"
	"github.com/lavenderring/lavenderring/pkg/standin/relay"
)

// Parameters of the silences behind the own door.
const (
	// engineClients is below the number of requests that three engines generate at once, so that none
	// waits in an engine's queue.
	engineClients = 18
	// silentTokenMillis is the time of a token and silentTokens the bound of an answer, which takes some 0.7 s.
	silentTokenMillis, silentTokens = 35, 20
	// shortIdleMillis is a stream_idle_millis below the silence, shortestIdleMillis one below a fifth of it, so
	// that resuming a stream until no resumption is left takes less than the silence.
	shortIdleMillis, shortestIdleMillis = 500, 250
	// earningRequests is the number of short requests to each instance that earn as many retries as are saved.
	earningRequests = 100
)

// ownRequest is a request to the own door and its answer.
type ownRequest struct {
	// id is the client's name of the request.
	id, kind string
	answer   answer
}

// ownKinds are the kinds of requests: a stream, a whole answer of an engine, a plain idempotent and a plain
// non-idempotent request.
var ownKinds = []string{"stream", "whole", "safe", "once"}

// sendOwn sends a request of a kind.
func (f *fleet) sendOwn(p *process, id, kind string, tokens int64) ownRequest {
	if kind == "safe" || kind == "once" {
		path, key := "/services/jobs/look", ""
		if kind == "once" {
			path, key = "/services/jobs/assign", "key-of-"+id
		}
		return ownRequest{id, kind, call(p.address, crewKey, http.MethodPost, path, key, []byte(`{"job":"`+id+`"}`))}
	}
	body, err := json.Marshal(chat.Request{
		Model: "leak-report", Messages: []chat.Message{{Role: "user", Content: samplePrompt}}, MaxTokens: tokens, Stream: kind == "stream",
	})
	f.must(err)
	return ownRequest{id, kind, call(p.address, crewKey, http.MethodPost, "/v1/chat/completions", "", body)}
}

// serveBeside sends requests of the kinds from all clients at once, while disturb runs and the document is
// written every configInterval. It returns the requests with their answers once disturb has returned.
func (f *fleet) serveBeside(kinds []string, disturb func()) []ownRequest {
	f.t.Helper()
	sent := make([]ownRequest, engineClients*silentRounds)
	var running sync.WaitGroup
	var numRunning atomic.Int64
	spawn := func(work func()) {
		numRunning.Add(1)
		running.Go(func() {
			defer numRunning.Add(-1)
			work()
		})
	}
	spawn(disturb)
	for c := range engineClients {
		spawn(func() {
			for n := range silentRounds {
				id := fmt.Sprintf("c%d-%d", c, n)
				sent[c*silentRounds+n] = f.sendOwn(f.instances[c%len(f.instances)], id, kinds[c%len(kinds)], silentTokens)
			}
		})
	}
	for numRunning.Load() > 0 {
		f.doc.Limits.DeadlineMillis++
		f.apply(f.doc)
		time.Sleep(configInterval)
	}
	running.Wait()
	return sent
}

// checkKept checks that each request got its own whole answer, or a refusal and did not run, and that none that
// may run once ran twice.
func (f *fleet) checkKept(sent []ownRequest) {
	f.t.Helper()
	counts := map[string]int{}
	usage := f.engineUsage()
	for _, r := range sent {
		a := r.answer
		_, generated := usage[r.doorID()]
		runs := f.runsOf(r.id)
		if generated {
			runs++
		}
		counts[fmt.Sprint(a.status)]++
		if a.refusedNotRun() && runs > 0 {
			f.t.Errorf("%s (%s) was answered %d, not run, and ran %d times", r.id, r.kind, a.status, runs)
		}
		if !a.refusedNotRun() && !f.isWhole(r) {
			f.t.Errorf("%s (%s), which ran %d times, got %d, %v: %q", r.id, r.kind, runs, a.status, a.err, a.body)
		}
		if r.kind == "once" && runs > 1 {
			f.t.Errorf("%s (%s) ran %d times", r.id, r.kind, runs)
		}
	}
	f.t.Logf("%d requests: %v", len(sent), counts)
}

// doorID returns the id that the door gave the request; empty if there is no answer.
func (r ownRequest) doorID() string { return r.answer.header.Get(chat.HeaderRequestID) }

// isWhole reports whether the answer is the request's own and whole one, of one engine.
func (f *fleet) isWhole(r ownRequest) bool {
	if !r.answer.whole {
		return false
	}
	if r.kind == "safe" || r.kind == "once" {
		return true
	}
	return slices.ContainsFunc(f.engines, func(p *process) bool { return r.answer.text() == f.textAt(p, r.doorID()) })
}

// textAt returns the whole answer that an engine generated for a request; a text that is no answer if it
// generated none.
func (f *fleet) textAt(p *process, id string) string {
	counted, found := f.usageAt(p)[id]
	if !found {
		return "none"
	}
	var text strings.Builder
	for n := range counted - promptTokensOf(samplePrompt) {
		text.WriteString(engine.Token(id, n))
	}
	return text.String()
}

// awaitRuns waits until half of the clients' requests run at engines or services.
func (f *fleet) awaitRuns() {
	f.t.Helper()
	before := len(f.engineUsage()) + len(f.runs())
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if len(f.engineUsage())+len(f.runs())-before >= engineClients/2 {
			return
		}
	}
	f.t.Error("half of the requests never ran at once")
}

// silence makes the upstreams behind relays silent once, unless they are so before any request, after half of the
// requests have begun to run.
func (f *fleet) silence(silent []*process, moment silenceMoment) {
	f.t.Helper()
	if moment == whileRunning {
		f.awaitRuns()
		f.setRelays(silent, relay.Faults{Pause: true})
	}
	time.Sleep(brieflySilent)
	f.setRelays(silent, relay.Faults{})
}

// setRelays sets the faults of the relays in front of upstreams.
func (f *fleet) setRelays(upstreams []*process, faults relay.Faults) {
	f.t.Helper()
	for _, p := range upstreams {
		f.post(p.control, "/faults", faults)
	}
}

// earnRetries sends short requests of the kinds, so that each instance has saved as many retries as it may.
func (f *fleet) earnRetries(kinds []string) {
	f.t.Helper()
	var earning sync.WaitGroup
	for n, p := range f.instances {
		earning.Go(func() {
			for k := range earningRequests {
				r := f.sendOwn(p, fmt.Sprintf("earn-%d-%d", n, k), kinds[k%len(kinds)], 1)
				if !r.answer.whole {
					f.t.Errorf("%s (%s) got %d before the silence: %s %v", r.id, r.kind, r.answer.status, r.answer.body, r.answer.err)
				}
			}
		})
	}
	earning.Wait()
}

// Guards against answers of the own door that are ended because their upstreams are silent for a moment, longer
// than stream_idle_millis, while no retry is granted or while some are.
func TestBrieflySilentEnginesEndNoRequest(t *testing.T) {
	cases := []struct {
		kinds     []string
		moment    silenceMoment
		numSilent int
		earned    bool
		idle      int64
	}{
		{[]string{"stream"}, whileRunning, 3, false, shortIdleMillis},
		{[]string{"stream"}, whileRunning, 3, true, shortIdleMillis},
		{[]string{"stream"}, whileRunning, 1, false, shortIdleMillis},
		{[]string{"stream"}, beforeHead, 3, false, shortIdleMillis},
		{[]string{"stream"}, beforeHead, 3, true, shortIdleMillis},
		{[]string{"whole"}, whileRunning, 3, false, shortIdleMillis},
		{[]string{"whole"}, beforeHead, 3, false, shortIdleMillis},
		{[]string{"safe", "once"}, whileRunning, 3, false, shortIdleMillis},
		{[]string{"safe", "once"}, beforeHead, 3, true, shortIdleMillis},
		{ownKinds, whileRunning, 1, true, shortIdleMillis},
		{[]string{"stream"}, whileRunning, 3, false, shortestIdleMillis},
		{[]string{"whole"}, whileRunning, 3, true, shortestIdleMillis},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%v %s, %d of 3, retries earned %t, idle for %d ms", c.kinds, c.moment, c.numSilent, c.earned, c.idle), func(t *testing.T) {
			f := newFleet(t, options{
				instances: 3, engines: 3, services: 3, relayUpstreams: true, prepaid: 10_000_000,
				tokenMillis: silentTokenMillis, idleMillis: c.idle,
			})
			if c.earned {
				f.earnRetries(c.kinds)
			}
			for _, p := range f.services {
				f.post(p.listenAddress, "/_faults", plain.Faults{DelayMillis: plainDuration.Milliseconds()})
			}
			silent := append(append([]*process{}, f.engines[:c.numSilent]...), f.services[:c.numSilent]...)
			if c.moment == beforeHead {
				f.setRelays(silent, relay.Faults{Pause: true})
			}
			f.checkKept(f.serveBeside(c.kinds, func() { f.silence(silent, c.moment) }))
		})
	}
}
