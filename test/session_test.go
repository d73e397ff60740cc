package test

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/lavenderring/lavenderring/platform/standin"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var (
	ulidPattern  = regexp.MustCompile(`01[0-9A-HJKMNP-TV-Z]{24}`)
	tokenPattern = regexp.MustCompile(`"content":"[0-9a-f]+\.(\d+) `)
)

// session records the answers that the clients of a session get.
type session struct {
	t     *testing.T
	lines strings.Builder
}

func (s *session) printf(format string, args ...any) { fmt.Fprintf(&s.lines, format+"\n", args...) }

// record adds one answer, with values that differ from run to run replaced.
func (s *session) record(label string, a answer) {
	body := ulidPattern.ReplaceAllString(a.body, "REQUEST")
	body = tokenPattern.ReplaceAllString(body, `"content":"token.$1 `)
	s.printf("## %s\nstatus %d, outcome %q, retry after %q\n%s", label, a.status,
		a.header.Get("X-Outcome"), a.header.Get("Retry-After"), strings.TrimSpace(body))
}

// compare checks the session against a golden file, after rewriting the file if -update is set.
func (s *session) compare(path string) {
	s.t.Helper()
	got := s.lines.String()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			s.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	if got != string(want) {
		s.t.Errorf("the session differs from %s:\n%s", path, got)
	}
}

// A whole session as clients see it: model requests, streamed and not, requests to a
// plain service, refusals of each kind, an outage of the store, and a planned stop.
func TestWholeSession(t *testing.T) {
	f := newFleet(t, options{instances: 1, engines: 1, services: 1, prepaid: 4000, tokenMillis: 1})
	s := &session{t: t}
	address := f.instances[0].address
	plainPath := "/services/jobs/assign"
	s.record("no API key", call(address, "", http.MethodPost, plainPath, "", nil))
	s.record("a wrong API key", askModel(address, "guessed", true, 1, samplePrompt))
	s.record("a body that is no request", call(address, crewKey, http.MethodPost, "/v1/chat/completions", "", []byte("{")))
	s.record("an unknown model", call(address, crewKey, http.MethodPost, "/v1/chat/completions", "",
		[]byte(`{"model":"x","messages":[{"role":"user","content":"?"}]}`)))
	s.record("an unknown plain service", call(address, crewKey, http.MethodGet, "/services/none/x", "", nil))
	s.record("a body above the limit", call(address, crewKey, http.MethodPost, plainPath, "", make([]byte, 300_000)))
	s.record("a streamed answer of one token", askModel(address, crewKey, true, 1, samplePrompt))
	s.record("a whole answer of one token", askModel(address, crewKey, false, 1, samplePrompt))
	s.record("a job", assign(address, "key-1", "leak-1"))
	s.record("the same job again", assign(address, "key-1", "leak-1"))
	s.record("another job under its key", assign(address, "key-1", "leak-2"))
	s.record("a question above the budget", askModel(address, crewKey, true, 400, strings.Repeat("long ", 900)))
	f.post(f.platform.address, "/faults", standin.Faults{Outage: true})
	s.record("a job while the store is down", assign(address, "key-3", "leak-3"))
	f.post(f.platform.address, "/faults", standin.Faults{})
	f.stopAll()
	b := f.readBudget(crewBudget)
	s.printf("## the books\nprepaid %d, spent %d, free %d, in doubt %d", b.Prepaid, b.Spent(), b.Free(), b.InDoubt())
	s.compare("testdata/session.golden")
}
