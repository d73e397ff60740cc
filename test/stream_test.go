package test

import (
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/lavenderring/lavenderring/pkg/standin/engine"
	"github.com/lavenderring/lavenderring/pkg/standin/relay"
)

// expectedText returns the text of the engines' whole answer to a request. An answer
// that is truncated, duplicated or another request's differs from it.
func expectedText(f *fleet, request string) string {
	var text strings.Builder
	tokens := f.engineUsage()[request] - promptTokensOf(samplePrompt)
	for i := int64(0); i < tokens; i++ {
		text.WriteString(engine.Token(request, i))
	}
	return text.String()
}

const samplePrompt = "Moisture 34% behind the tiles: leak or condensation?"

func promptTokensOf(text string) int64 { return int64(len(text)+3) / 4 }

// expectWhole checks that an answer is whole and is the one that the engine generated
// for its request.
func expectWhole(t *testing.T, f *fleet, a answer) {
	t.Helper()
	if !a.whole {
		t.Errorf("the answer is not whole: %d %s %v", a.status, a.body, a.err)
		return
	}
	request := a.header.Get("X-Request-Id")
	if got, want := a.text(), expectedText(f, request); got != want {
		t.Errorf("request %s got %q, its engine generated %q", request, got, want)
	}
}

// The connection to the engine breaks in the middle of an answer. The client gets
// one whole answer: the instance requests the rest from the engine at the token
// where the connection broke, and drops tokens that it has already.
func TestCutStreamIsResumedWhole(t *testing.T) {
	f := newFleet(t, options{instances: 1, engines: 1, prepaid: 1_000_000, tokenMillis: 2})
	for _, stream := range []bool{true, false} {
		f.post(f.engines[0].control, "/faults", engine.Faults{CutAfterTokens: 10})
		expectWhole(t, f, askModel(f.instances[0].address, crewKey, stream, 40, samplePrompt))
	}
}

// Guards against an answer of the own door with tokens of two engine processes, which may run two software
// versions: another process that knows the request answers at the address after the stream broke.
func TestCutStreamIsNotResumedAtAnotherProcess(t *testing.T) {
	f := newFleet(t, options{instances: 1, engines: 1, prepaid: 1_000_000, tokenMillis: 2})
	for _, stream := range []bool{true, false} {
		f.post(f.engines[0].control, "/faults", engine.Faults{CutAfterTokens: 10, NewIncarnation: true})
		if a := askModel(f.instances[0].address, crewKey, stream, 40, samplePrompt); a.whole {
			t.Errorf("stream %t: an answer of two processes: %s", stream, a.body)
		}
	}
}

// An engine answers with the id of another request, as if two answers had been
// swapped. The client must not get a token of the other answer; the request is
// idempotent, so the instance tries another engine.
func TestCrossedAnswerNeverReachesTheCaller(t *testing.T) {
	f := newFleet(t, options{instances: 1, engines: 2, prepaid: 10_000_000, tokenMillis: 1})
	for range 12 { // earn retry budget
		expectWhole(t, f, askModel(f.instances[0].address, crewKey, true, 4, samplePrompt))
	}
	f.post(f.engines[0].control, "/faults", engine.Faults{WrongID: true})
	f.post(f.engines[1].control, "/faults", engine.Faults{WrongID: true})
	for range 4 {
		a := askModel(f.instances[0].address, crewKey, true, 4, samplePrompt)
		if strings.Contains(a.body, "somebody-else") {
			t.Errorf("another request's answer reached the client: %s", a.body)
		}
		if a.whole {
			expectWhole(t, f, a)
		}
	}
}

// A connection to an engine goes silent for good in the middle of an answer, while
// new connections work. The idle timeout detects the silence, and the instance
// fetches the rest of the answer over a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := newFleet(t, options{
		instances: 1, engines: 1, prepaid: 1_000_000, tokenMillis: 20, relayEngines: true, idleMillis: 500,
	})
	got := make(chan answer, 1)
	go func() { got <- askModel(f.instances[0].address, crewKey, true, 100, samplePrompt) }()
	f.await("the request to run at an upstream", func() bool { return len(f.activeRequests()) > 0 })
	f.post(f.engines[0].control, "/faults", relay.Faults{Freeze: true})
	a := <-got
	if !a.whole {
		t.Errorf("the resumed stream ended with %d %s", a.status, a.body)
	}
	if n := strings.Count(a.body, "id: "); n < 50 {
		t.Errorf("only %d tokens came, expected at least 50", n)
	}
}

// activeRequests returns the number of requests that run at the first instance under the
// key "active", or an empty map if there are none or the status cannot be read.
func (f *fleet) activeRequests() map[string]int64 {
	usage := map[string]int64{}
	status, err := f.status(f.instances[0])
	if err == nil && status.Active > 0 {
		usage["active"] = status.Active
	}
	return usage
}

// An instance is stopped for a planned replacement while it serves streams. The
// streams go on to their end marks, then the process exits with status 0.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := newFleet(t, options{instances: 2, engines: 2, prepaid: 10_000_000, tokenMillis: 5})
	var streams sync.WaitGroup
	answers := make([]answer, 8)
	for n := range answers {
		streams.Go(func() { answers[n] = askModel(f.instances[0].address, crewKey, n%2 == 0, 200, samplePrompt) })
	}
	f.await("all streams to run", func() bool {
		status, err := f.status(f.instances[0])
		return err == nil && status.Active == int64(len(answers))
	})
	f.instances[0].signal(syscall.SIGTERM)
	streams.Wait()
	for _, a := range answers {
		expectWhole(t, f, a)
	}
	if err := f.instances[0].cmd.Wait(); err != nil {
		t.Errorf("the stopped instance ended with %v", err)
	}
	if a := askModel(f.instances[1].address, crewKey, true, 5, samplePrompt); !a.whole {
		t.Errorf("the other instance answered %d %s", a.status, a.body)
	}
}
