package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/standin/engine"
	"github.com/lavenderring/lavenderring/pkg/standin/loopback"
	"github.com/lavenderring/lavenderring/pkg/standin/relay"
)

// Timing of the tests of silent engines.
const (
	// shortIdle is the shortest idle timeout that a document may set.
	shortIdle = 50 * time.Millisecond
	// pauseMillis is how long a sound engine falls silent, many times the idle timeout.
	pauseMillis = 1000
)

// Guards against a sound engine's answer that is ended for a silence although no retry is left.
func TestSilentEngineGoesOnWithoutRetries(t *testing.T) {
	for _, pausedAfter := range []int{0, 10} {
		s := newSite(t, 1, shortIdle)
		var replies []reply
		for _, stream := range []bool{true, false} {
			s.engines[0].SetFaults(engine.Faults{PauseMillis: pauseMillis, PauseAfterTokens: pausedAfter})
			r := s.ask(stream)
			s.expectWhole(r, stream)
			replies = append(replies, r)
		}
		s.expectBilled(replies)
	}
}

// Guards against a sound engine's answer that is ended because the engine refuses to send the rest on a
// second connection.
func TestSilentEngineGoesOnThoughItRefusesResumes(t *testing.T) {
	for _, pausedAfter := range []int{0, 10} {
		s := newSite(t, 1, shortIdle)
		var replies []reply
		for _, stream := range []bool{true, false} {
			s.engines[0].SetFaults(engine.Faults{PauseMillis: pauseMillis, PauseAfterTokens: pausedAfter, RefuseResumes: true})
			r := s.ask(stream)
			s.expectWhole(r, stream)
			replies = append(replies, r)
		}
		s.expectBilled(replies)
	}
}

// Guards against a sound engine's answer that is given up for another engine that refuses the request.
func TestSilentEngineGoesOnThoughAnotherRefuses(t *testing.T) {
	for _, stream := range []bool{true, false} {
		s := newSite(t, 2, shortIdle)
		s.allowRetries(maxSavedRetries)
		s.removeEngine(1 - s.preferred())
		s.engines[s.preferred()].SetFaults(engine.Faults{PauseMillis: pauseMillis, RefuseResumes: true})
		r := s.ask(stream)
		s.expectWhole(r, stream)
		s.expectBilled([]reply{r})
	}
}

// Guards against a sound engine's answer that is given up although the account's tokens do not suffice for
// a second attempt.
func TestSilentEngineGoesOnWithoutTokensForAnother(t *testing.T) {
	for _, stream := range []bool{true, false} {
		s := newSite(t, 2, shortIdle)
		s.allowRetries(maxSavedRetries)
		s.budget.prepaid = s.maxCost() + 1
		s.engines[s.preferred()].SetFaults(engine.Faults{PauseMillis: pauseMillis, RefuseResumes: true})
		r := s.ask(stream)
		s.expectWhole(r, stream)
		s.expectBilled([]reply{r})
	}
}

// Guards against requests that wait for an engine that is silent for good while another one can answer.
func TestEngineThatStaysSilentIsReplaced(t *testing.T) {
	for _, stream := range []bool{true, false} {
		s := newSite(t, 2, shortIdle)
		s.allowRetries(maxSavedRetries)
		s.engines[s.preferred()].SetFaults(engine.Faults{Frozen: true})
		r := s.ask(stream)
		s.expectWhole(r, stream)
		s.expectBilled([]reply{r})
		if len(s.engines[1-s.preferred()].Usage()) != 1 {
			t.Error("the other engine did not get the request")
		}
	}
}

// Guards against requests that fail because their deadline passes before a silent engine is given up, while
// another one can answer. Nothing is billed twice.
func TestSilentEngineIsReplacedBeforeItIsGivenUp(t *testing.T) {
	const idle, deadline = 100 * time.Millisecond, 4 * time.Second // less than minSilenceBound
	for _, stream := range []bool{true, false} {
		s := newSite(t, 2, idle)
		s.doc.Limits.DeadlineMillis = deadline.Milliseconds()
		s.apply(2)
		s.allowRetries(1)
		silent, other := s.engines[s.preferred()], s.engines[1-s.preferred()]
		silent.SetFaults(engine.Faults{PauseMillis: time.Hour.Milliseconds()})
		r := s.ask(stream)
		s.expectWhole(r, stream)
		s.expectBilled([]reply{r})
		s.expectCounted()
		if len(other.Usage()) != 1 {
			t.Error("the other engine did not get the request")
		}
	}
}

// Guards against tokens and retries that are lost by an attempt beside a silent engine for which there is
// no other engine.
func TestDeclinedAttemptGivesBackWhatItHolds(t *testing.T) {
	s := newSite(t, 1, shortIdle)
	s.allowRetries(1)
	s.engines[0].SetFaults(engine.Faults{PauseMillis: pauseMillis})
	r := s.ask(true)
	s.expectWhole(r, true)
	s.expectBilled([]reply{r})
	if !s.entry.retries.withdraw() {
		t.Error("the retry that was not made is used up")
	}
}

// Guards against an answer with tokens of two engines.
func TestOnlyOneAttemptAnswers(t *testing.T) {
	call := &chatCall{r: &request{}, silent: make(chan *attempt, 1), ended: make(chan attemptEnd)}
	first, second, third := call.newAttempt(), call.newAttempt(), call.newAttempt()
	for _, a := range []*attempt{first, second, third} {
		_, a.cancel = context.WithCancelCause(t.Context())
		call.attempts = append(call.attempts, a)
	}
	call.cancelLater(second)
	if call.choose(third) {
		t.Error("an attempt was chosen that another one has superseded")
	}
	for range 2 {
		if !call.choose(first) {
			t.Error("the first attempt was not chosen")
		}
	}
	if call.choose(second) {
		t.Error("two attempts were chosen")
	}
}

// Guards against streams that never end although their engine is silent for good.
func TestStreamOfASilentEngineEnds(t *testing.T) {
	s := newSite(t, 1, shortIdle)
	s.engines[0].SetFaults(engine.Faults{PauseMillis: time.Hour.Milliseconds(), PauseAfterTokens: 5})
	r := s.ask(true)
	text, whole := r.text(true)
	if whole || text == "" {
		t.Errorf("whole: %t, text %q of an engine that fell silent after five tokens", whole, text)
	}
	s.expectTokens(r.id, text)
	s.expectBilled([]reply{r})
}

// Guards against tokens that are delivered but not billed: the connection breaks, and no new one to the
// engine can be made, so its count is not known.
func TestBrokenStreamOfAnUnreachableEngineIsBilled(t *testing.T) {
	s := newSite(t, 1, shortIdle)
	link := s.putRelayBefore(0)
	s.engines[0].SetFaults(engine.Faults{PauseMillis: time.Hour.Milliseconds(), PauseAfterTokens: 5})
	replied := make(chan reply)
	go func() { replied <- s.ask(true) }()
	s.await("the engine to be silent after a token", s.hasResumedAfterAToken)
	link.Close()
	r := <-replied
	text, whole := r.text(true)
	if whole || text == "" {
		t.Errorf("whole: %t, text %q of an engine that was cut off after five tokens", whole, text)
	}
	s.expectTokens(r.id, text)
	s.expectBilled([]reply{r})
	if s.budget.billed != s.maxCost() {
		t.Errorf("billed %d tokens, the answer may have cost %d", s.budget.billed, s.maxCost())
	}
}

// Guards against an instance whose memory is used up by the text of one answer.
func TestEndlessTextIsClosed(t *testing.T) {
	for _, stream := range []bool{true, false} {
		s := newSite(t, 1, shortIdle)
		s.engines[0].SetFaults(engine.Faults{EndlessText: true})
		r := s.ask(stream)
		if _, whole := r.text(stream); whole {
			t.Errorf("stream %t: an answer without end was taken for whole", stream)
		}
		if len(r.body) > 2*maxAnswerTextBytes {
			t.Errorf("stream %t: %d bytes were delivered", stream, len(r.body))
		}
		s.expectBilled([]reply{r})
	}
}

// Guards against requests that are refused because a sound engine is silent for a second when it is asked
// which process it is: an equal request's connection ended before.
func TestWatchedRequestWaitsForASilentEngine(t *testing.T) {
	s := newSite(t, 1, shortIdle)
	link := s.putRelayBefore(0)
	s.engines[0].SetFaults(engine.Faults{CutAfterTokens: 5, RefuseResumes: true})
	if _, whole := s.ask(true).text(true); whole || !s.entry.Quarantine.Watching() {
		t.Fatal("the request is not watched")
	}
	s.engines[0].SetFaults(engine.Faults{})
	link.SetFaults(relay.Faults{Hold: true})
	replied := make(chan reply)
	go func() { replied <- s.ask(true) }()
	time.Sleep(pauseMillis * time.Millisecond)
	link.SetFaults(relay.Faults{})
	s.expectWhole(<-replied, true)
}

// Guards against requests that are refused because their upstream leaves before they are sent, although
// another one is in service and no retry is left.
func TestRequestOfALeavingUpstreamGoesElsewhere(t *testing.T) {
	s := newSite(t, 2, shortIdle)
	n := s.preferred()
	link := s.putRelayBefore(n)
	s.engines[n].SetFaults(engine.Faults{CutAfterTokens: 5, RefuseResumes: true})
	if _, whole := s.ask(true).text(true); whole || !s.entry.Quarantine.Watching() {
		t.Fatal("the request is not watched")
	}
	link.SetFaults(relay.Faults{Hold: true})
	replied := make(chan reply)
	go func() { replied <- s.ask(true) }()
	time.Sleep(pauseMillis * time.Millisecond)
	s.doc.Pools[0].Upstreams[n].State = document.StateLeaving
	s.apply(3)
	link.SetFaults(relay.Faults{})
	s.expectWhole(<-replied, true)
}

// Guards against answers that a new service document ends: one without their upstream, pool and account.
func TestAnswersOutliveTheirServiceDocument(t *testing.T) {
	for _, pausedAfter := range []int{0, 10} {
		s := newSite(t, 1, shortIdle)
		s.engines[0].SetFaults(engine.Faults{PauseMillis: pauseMillis, PauseAfterTokens: pausedAfter})
		replied := make(chan reply)
		go func() { replied <- s.ask(true) }()
		s.await("the engine to be silent", func() bool { return s.numEvents(eventlog.RequestResumed) > 0 })
		s.doc.Accounts[0].Name, s.doc.Accounts[0].KeySHA256 = "other", document.HashKey("other-key")
		s.doc.Pools[0].Name, s.doc.Pools[0].Model = "other", "other"
		s.doc.Pools[0].Upstreams[0].Address = loopback.Address()
		s.apply(2)
		r := <-replied
		s.expectWhole(r, true)
		s.expectBilled([]reply{r})
	}
}

// drawFaults draws an engine's faults. mayFail reports whether the engine itself ends an answer for good.
func drawFaults(rng *rand.Rand) (faults engine.Faults, mayFail bool) {
	faults.PauseMillis = 100 + rng.Int64N(3*pauseMillis/2)
	faults.PauseAfterTokens = rng.IntN(maxOutputTokens / 2)
	faults.RefuseResumes = rng.IntN(2) == 0
	faults.RepeatTokens = rng.Int64N(4)
	if rng.IntN(3) == 0 {
		faults.CutAfterTokens = 1 + rng.IntN(maxOutputTokens/2)
	}
	return faults, faults.CutAfterTokens > 0 && faults.RefuseResumes
}

// Guards against answers that are ended, mixed or billed twice when engines fall silent and connections
// break in any order, with few retries or many.
func TestDrawnSilencesEndNoAnswer(t *testing.T) {
	const (
		numSchedules = 8
		numRequests  = 6
	)
	for seed := range uint64(numSchedules) {
		rng := rand.New(rand.NewPCG(seed, 0))
		s := newSite(t, 1+rng.IntN(3), shortIdle)
		s.allowRetries(float64(rng.IntN(numRequests + 1)))
		s.budget.prepaid = 2 * numRequests * s.maxCost()
		mayFail := false
		for _, e := range s.engines {
			faults, may := drawFaults(rng)
			e.SetFaults(faults)
			mayFail = mayFail || may
		}
		replies := make([]reply, numRequests)
		var clients sync.WaitGroup
		for n := range replies {
			clients.Go(func() { replies[n] = s.ask(n%2 == 0) })
		}
		clients.Wait()
		for n, r := range replies {
			if text, whole := r.text(n%2 == 0); !whole && mayFail {
				s.expectTokens(r.id, text)
				continue
			}
			s.expectWhole(r, n%2 == 0)
		}
		s.expectBilled(replies)
		s.expectCounted()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// breakingLink forwards connections to a target. It can break them off once, and the next new one too.
type breakingLink struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	open       []net.Conn
	breaksNext bool
}

func (l *breakingLink) run() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", l.target)
		if err != nil || l.breaksOff(client, target) {
			_ = client.Close()
			continue
		}
		go func() { _, _ = io.Copy(target, client) }()
		go func() { _, _ = io.Copy(client, target) }()
	}
}

// breaksOff reports whether a new connection is to be broken off.
func (l *breakingLink) breaksOff(client, target net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, client, target)
	breaks := l.breaksNext
	l.breaksNext = false
	return breaks
}

// breakOff closes the open connections, and the next new one.
func (l *breakingLink) breakOff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaksNext = true
	for _, conn := range l.open {
		_ = conn.Close()
	}
}

// Guards against streams that are cut off because the connection over which the rest is asked for fails: the engine
// has the rest, and may be asked again.
func TestRestIsAskedForAgainAfterAFailedTry(t *testing.T) {
	s := newSite(t, 1, time.Minute)
	listener, err := net.Listen("tcp", loopback.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	upstream := &s.doc.Pools[0].Upstreams[0]
	link := &breakingLink{listener: listener, target: upstream.Address}
	go link.run()
	upstream.Address = listener.Addr().String()
	s.apply(2)
	s.engines[0].SetFaults(engine.Faults{PauseMillis: pauseMillis, PauseAfterTokens: 5})
	replied := make(chan reply)
	go func() { replied <- s.ask(true) }()
	s.await("the first token", func() bool { return s.entry.metrics.timeToFirstToken.Count() > 0 })
	link.breakOff()
	s.expectWhole(<-replied, true)
}
