package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// clock is a settable clock.
type clock struct{ at time.Time }

func newClock() *clock { return &clock{at: time.Unix(1000, 0)} }

func (c *clock) now() time.Time               { return c.at }
func (c *clock) advance(d time.Duration)      { c.at = c.at.Add(d) }
func recordChanges(to *[]Change) func(Change) { return func(c Change) { *to = append(*to, c) } }

// Guards against one upstream that has ended being taken for a link that is lost.
func TestOneFailedUpstreamIsNoLostLink(t *testing.T) {
	c := newClock()
	var changes []Change
	p := NewPaths(c.now, recordChanges(&changes))
	p.NoteConnected("s", "a")
	for range 20 {
		c.advance(10 * time.Millisecond)
		p.NoteFailed("s", "b", true)
	}
	if p.Reaches("s", "b") || !p.Reaches("s", "a") || !p.Reaches("other", "b") || len(changes) != 0 {
		t.Errorf("failed address reached: %v, another: %v, changes %+v", p.Reaches("s", "b"), p.Reaches("s", "a"), changes)
	}
	c.advance(failureLifetime)
	if !p.Reaches("s", "b") {
		t.Error("the failure is not forgotten")
	}
}

// Guards against requests that try one lost link after the other: once two upstreams of a service have failed
// with no success since, the others are not reached either, until one is.
func TestLostLinkIsKnownForTheWholeService(t *testing.T) {
	c := newClock()
	var changes []Change
	p := NewPaths(c.now, recordChanges(&changes))
	p.NoteConnected("s", "c")
	c.advance(time.Millisecond)
	p.NoteFailed("s", "a", true)
	p.NoteFailed("s", "b", true)
	if p.Reaches("s", "c") || len(changes) != 1 || changes[0].Reached || !changes[0].Silent || len(changes[0].Failed) != 2 {
		t.Fatalf("changes %+v", changes)
	}
	if unreached := p.Unreached(); len(unreached) != 1 || unreached[0] != "s" {
		t.Errorf("unreached services %v", unreached)
	}
	c.advance(time.Minute)
	if p.Reaches("s", "c") {
		t.Error("the link is back without a connection")
	}
	p.NoteConnected("s", "c")
	if !p.Reaches("s", "c") || len(changes) != 2 || !changes[1].Reached || changes[1].After != time.Minute {
		t.Errorf("changes %+v", changes)
	}
}

// Guards against a direct connection for every request while the link is lost, and against none at all.
func TestLostLinkIsCheckedAtIntervals(t *testing.T) {
	c := newClock()
	p := NewPaths(c.now, nil)
	p.NoteFailed("s", "a", false)
	p.NoteFailed("s", "b", false)
	checks := 0
	const span = 10 * time.Second
	for range span / (10 * time.Millisecond) {
		c.advance(10 * time.Millisecond)
		if p.StartCheck("s", "a") {
			checks++
			p.NoteFailed("s", "a", false)
		}
	}
	if most := int(span / checkInterval); checks > most || checks < most-1 {
		t.Errorf("%d checks in %v, want %d", checks, span, most)
	}
}

// Guards against new connections for each slow answer: silence is checked only if nothing at all was heard of
// the service, and not by each of many requests.
func TestSilenceIsCheckedOnce(t *testing.T) {
	c := newClock()
	p := NewPaths(c.now, nil)
	const silence = 250 * time.Millisecond
	p.NoteHeard("s")
	c.advance(silence - time.Millisecond)
	if p.StartSilenceCheck("s", silence) {
		t.Error("checked although the service was heard of")
	}
	c.advance(time.Millisecond)
	started := 0
	for range 10 {
		if p.StartSilenceCheck("s", silence) {
			started++
		}
	}
	if started != 1 {
		t.Errorf("%d checks, want 1", started)
	}
}

// Guards against a state that gets stuck: after any history a connection makes the service reached, and two
// failures of different addresses make it unreached.
func TestPathsFollowTheLastEvidence(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		c := newClock()
		var changes []Change
		p := NewPaths(c.now, recordChanges(&changes))
		for range 300 {
			c.advance(time.Duration(rng.IntN(400)) * time.Millisecond)
			address := fmt.Sprint(rng.IntN(4))
			switch rng.IntN(3) {
			case 0:
				p.NoteConnected("s", address)
				if !p.Reaches("s", address) || len(p.Unreached()) > 0 {
					t.Fatalf("seed %d: not reached after a connection", seed)
				}
			case 1:
				p.NoteFailed("s", address, rng.IntN(2) == 0)
				if p.Reaches("s", address) {
					t.Fatalf("seed %d: reached after a failure", seed)
				}
			default:
				c.advance(time.Millisecond)
				p.NoteFailed("s", "a", true)
				p.NoteFailed("s", "b", true)
				if len(p.Unreached()) != 1 {
					t.Fatalf("seed %d: reached after two failures", seed)
				}
			}
		}
		for n, change := range changes {
			if change.Reached != (n%2 == 1) {
				t.Fatalf("seed %d: change %d is %+v", seed, n, change)
			}
		}
	}
}

// Guards against instances that decline to carry others' requests because several upstreams have crashed, while
// their own connections to the other upstreams are in use.
func TestCrashedUpstreamsAreNoLostLink(t *testing.T) {
	c := newClock()
	p := NewPaths(c.now, nil)
	for n := range 50 {
		c.advance(5 * time.Millisecond)
		p.NoteFailed("s", fmt.Sprint(n%3), false)
		c.advance(5 * time.Millisecond)
		p.NoteHeard("s")
		if !p.ReachesService("s") {
			t.Fatalf("not reached after %d failures", n+1)
		}
	}
}
