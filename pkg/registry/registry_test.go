package registry

import (
	"fmt"
	"testing"
	"time"
)

type clock struct{ now time.Time }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newTestRegistry() (*Registry, *clock) {
	c := &clock{now: time.Unix(100, 0)}
	r := New(func() time.Time { return c.now })
	r.Replace([]Upstream{{ID: "a", Service: "s", Address: "1"}, {ID: "b", Service: "s", Address: "2"}}, 5)
	return r, c
}

// An upstream says that it leaves, or its entry goes without a word. From then on
// it is not chosen: it would be gone before new work ends.
func TestLeavingUpstreamIsOutAtOnce(t *testing.T) {
	r, _ := newTestRegistry()
	r.Put(Upstream{ID: "a", Service: "s", Address: "1", Leaving: true})
	r.Remove("b")
	if left := r.InService("s"); len(left) != 0 {
		t.Errorf("still in service: %v", left)
	}
}

// The store was away and entries lapsed meanwhile, so that its first answer lists
// none. The callers' requests go on to the upstreams that were there; one whose
// entry is not back two seconds after the store's return is given up.
func TestLapsedEntriesAreKeptUntilTheyCanBeBack(t *testing.T) {
	r, c := newTestRegistry()
	r.StoreOut()
	c.advance(5 * time.Second)
	r.StoreBack()
	r.Replace(nil, 9)
	if got := len(r.InService("s")); got != 2 {
		t.Fatalf("%d in service after the outage", got)
	}
	r.Put(Upstream{ID: "a", Service: "s", Address: "1"})
	c.advance(2300 * time.Millisecond)
	gone := r.Expire()
	if len(gone) != 1 || gone[0] != "2" {
		t.Errorf("given up: %v", gone)
	}
	if left := r.InService("s"); len(left) != 1 || left[0].ID != "a" {
		t.Errorf("in service: %v", left)
	}
}

// A peer that lags tells of an upstream that has left. It stays out.
func TestOlderListBringsNothingBack(t *testing.T) {
	r, _ := newTestRegistry()
	r.Remove("a")
	r.Reached(8)
	r.Replace([]Upstream{{ID: "a", Service: "s", Address: "1"}}, 6)
	for _, u := range r.InService("s") {
		if u.ID == "a" {
			t.Error("an older list brought it back")
		}
	}
}

// An upstream that was leaving starts again under its id. Its new entry is in service, and
// the connections to the process before are given up, once.
func TestRestartedUpstreamIsANewOne(t *testing.T) {
	r, _ := newTestRegistry()
	r.Put(Upstream{ID: "a", Service: "s", Address: "1", Born: 10, Leaving: true})
	r.TakeRestarted()
	r.Put(Upstream{ID: "a", Service: "s", Address: "1", Born: 20})
	if got := r.TakeRestarted(); len(got) != 1 || got[0] != "1" {
		t.Errorf("restarted at %v", got)
	}
	if len(r.InService("s")) != 2 || len(r.TakeRestarted()) != 0 {
		t.Errorf("in service: %v", r.InService("s"))
	}
}

// An entry turns unusable just after the store came back from an outage, when entries that
// vanish are kept for a while. This one did not vanish: it is out at once.
func TestDiscardedEntryIsNotKeptAfterAnOutage(t *testing.T) {
	r, _ := newTestRegistry()
	r.StoreOut()
	r.StoreBack()
	r.Discard("a")
	if left := r.InService("s"); len(left) != 1 || left[0].ID != "b" {
		t.Errorf("in service: %v", left)
	}
}

// Operators ask when an instance stopped giving work to an upstream. Each that leaves or goes is
// told once, whichever way it went, and one that was leaving already is not told again.
func TestUpstreamsThatLeftAreToldOnce(t *testing.T) {
	r := New(time.Now)
	r.Replace([]Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}, 1)
	r.Put(Upstream{ID: "a", Leaving: true})
	r.Remove("b")
	r.Discard("c")
	if left := fmt.Sprint(r.TakeLeft()); left != "[a b c]" {
		t.Errorf("told %s", left)
	}
	r.Put(Upstream{ID: "a", Leaving: true})
	r.Remove("a")
	if left := r.TakeLeft(); len(left) != 0 {
		t.Errorf("told again: %v", left)
	}
}
