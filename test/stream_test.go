package test

import (
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/lavenderring/lavenderring/pkg/standin/engine"
	"github.com/lavenderring/lavenderring/pkg/standin/relay"
)

// wholeText is what an engine's whole answer to a request reads; a cut, crossed
// or doubled one differs.
func wholeText(f *fleet, request string) string {
	var text strings.Builder
	tokens := f.engineUsage()[request] - promptTokensOf(question)
	for i := int64(0); i < tokens; i++ {
		text.WriteString(engine.Token(request, i))
	}
	return text.String()
}

const question = "Moisture 34% behind the tiles: leak or condensation?"

func promptTokensOf(text string) int64 { return int64(len(text)+3) / 4 }

// expectWhole checks an answer against what the engine made for that request.
func expectWhole(t *testing.T, f *fleet, a answer) {
	t.Helper()
	if !a.whole {
		t.Errorf("not whole: %d %s %v", a.status, a.body, a.err)
		return
	}
	request := a.header.Get("X-Request-Id")
	if got, want := a.text(), wholeText(f, request); got != want {
		t.Errorf("request %s got %q, its engine made %q", request, got, want)
	}
}

// The connection to the engine breaks in the middle of a report. The crew sees
// one whole report: the instance asks the engine for the rest at the token where
// it broke, and drops what it has already.
func TestCutStreamIsResumedWhole(t *testing.T) {
	f := newFleet(t, options{instances: 1, engines: 1, prepaid: 1_000_000, tokenMillis: 2})
	for _, stream := range []bool{true, false} {
		f.post(f.engines[0].control, "/faults", engine.Faults{CutAfterTokens: 10})
		expectWhole(t, f, ask(f.instances[0].address, crewKey, stream, 40, question))
	}
}

// An engine answers with another request's id, as if two answers had crossed.
// The caller must not see a token of it; the question may be repeated, so
// another engine is asked.
func TestCrossedAnswerNeverReachesTheCaller(t *testing.T) {
	f := newFleet(t, options{instances: 1, engines: 2, prepaid: 10_000_000, tokenMillis: 1})
	for range 12 { // pay in for retries
		expectWhole(t, f, ask(f.instances[0].address, crewKey, true, 4, question))
	}
	f.post(f.engines[0].control, "/faults", engine.Faults{WrongID: true})
	f.post(f.engines[1].control, "/faults", engine.Faults{WrongID: true})
	for range 4 {
		a := ask(f.instances[0].address, crewKey, true, 4, question)
		if strings.Contains(a.body, "somebody-else") {
			t.Errorf("another request's answer reached the caller: %s", a.body)
		}
		if a.whole {
			expectWhole(t, f, a)
		}
	}
}

// A connection to an engine goes silent for good in the middle of an answer,
// while new connections work. The silence is noticed by the idle bound, and the
// rest is fetched over a fresh connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := newFleet(t, options{
		instances: 1, engines: 1, prepaid: 1_000_000, tokenMillis: 20, viaRelay: true, idleMillis: 500,
	})
	got := make(chan answer, 1)
	go func() { got <- ask(f.instances[0].address, crewKey, true, 100, question) }()
	f.await("the run", func() bool { return len(f.engineUsageDirect()) > 0 })
	f.post(f.engines[0].control, "/faults", relay.Faults{Freeze: true})
	a := <-got
	if !a.whole {
		t.Errorf("got %d %s", a.status, a.body)
	}
	if n := strings.Count(a.body, "id: "); n < 50 {
		t.Errorf("only %d tokens came", n)
	}
}

// engineUsageDirect asks the engines past their relays.
func (f *fleet) engineUsageDirect() map[string]int64 {
	usage := map[string]int64{}
	status, err := f.status(f.instances[0])
	if err == nil && status.Active > 0 {
		usage["active"] = status.Active
	}
	return usage
}

// Crews ask at all instances at once while one is stopped for a planned
// replacement. The streams it has go on to their end marks; then it exits 0.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := newFleet(t, options{instances: 2, engines: 2, prepaid: 10_000_000, tokenMillis: 5})
	var streams sync.WaitGroup
	answers := make([]answer, 8)
	for n := range answers {
		streams.Go(func() { answers[n] = ask(f.instances[0].address, crewKey, n%2 == 0, 200, question) })
	}
	f.await("all streams under way", func() bool {
		status, err := f.status(f.instances[0])
		return err == nil && status.Active == int64(len(answers))
	})
	f.instances[0].signal(syscall.SIGTERM)
	streams.Wait()
	for _, a := range answers {
		expectWhole(t, f, a)
	}
	if err := f.instances[0].cmd.Wait(); err != nil {
		t.Errorf("the stop ended with %v", err)
	}
	if a := ask(f.instances[1].address, crewKey, true, 5, question); !a.whole {
		t.Errorf("the other instance: %d %s", a.status, a.body)
	}
}
