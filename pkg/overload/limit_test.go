package overload

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Figures of an instance with a small link.
const (
	linkBytes    = 2_500_000 // a second: 20 Mbit/s
	requestBytes = 20_000    // a prompt and its answer, on the way in and out
	wayTime      = 3 * time.Millisecond
	dialBound    = 300 * time.Millisecond
	deadline     = 3 * time.Second
	attempts     = 3
)

// link carries bytes one after the other; what comes while it is busy waits.
type link struct {
	mu     sync.Mutex
	freeAt time.Time
}

// carry waits until so many bytes have passed.
func (l *link) carry(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / linkBytes)
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// queue is how long a packet waits.
func (l *link) queue() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(time.Until(l.freeAt), 0)
}

// instance serves callers over its link.
type instance struct {
	link  link
	limit *Limit
	mu    sync.Mutex
	// served in time, refused at once, and what is left: late, or told after long.
	served, refused, lost int
}

// serve takes one request to its end.
func (i *instance) serve(number int) {
	began := time.Now()
	i.link.carry(requestBytes / 2)
	if i.limit != nil && !i.limit.Begin() {
		i.count(&i.refused)
		return
	}
	if i.limit != nil {
		defer i.limit.End()
	}
	for try := range attempts {
		address := fmt.Sprint(number%20 + try)
		took := wayTime + i.link.queue()
		time.Sleep(min(took, dialBound))
		if i.limit != nil {
			i.limit.Connected(address, min(took, dialBound))
		}
		if took > dialBound {
			continue
		}
		i.link.carry(requestBytes / 2)
		if time.Since(began) <= deadline {
			i.count(&i.served)
			return
		}
		break
	}
	i.count(&i.lost)
}

func (i *instance) count(what *int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	*what++
}

// play has requests come at a rate for a time. The platform sends new connections elsewhere two
// seconds after the instance says that it is not ready, and back again.
func (i *instance) play(perSecond int, lasts time.Duration) (elsewhere int) {
	var running sync.WaitGroup
	var unready time.Time
	for n := range perSecond * int(lasts/time.Second) {
		time.Sleep(time.Second / time.Duration(perSecond))
		if i.limit != nil && i.limit.Overloaded() {
			if unready.IsZero() {
				unready = time.Now()
			}
		} else {
			unready = time.Time{}
		}
		if !unready.IsZero() && time.Since(unready) > 2*time.Second && n%2 == 0 {
			elsewhere++ // half of the callers keep their connections
			continue
		}
		running.Go(func() { i.serve(n) })
	}
	running.Wait()
	return elsewhere
}

// Pattern: a third of a domain's callers come to one instance by the balancer's hash, twice what its
// link carries. Without a limit the link's queue only grows, every connection to an upstream times
// out, each request tries three, and after two seconds nobody is served in time. With it, most of
// what the link carries is served, and the others are told at once to go elsewhere.
func TestOverloadedInstanceServesWhatItsLinkCarries(t *testing.T) {
	const perSecond, lasts = 250, 20 * time.Second
	play := func(limit bool) (i *instance, elsewhere int) {
		synctest.Test(t, func(*testing.T) {
			i = &instance{}
			if limit {
				i.limit = New(time.Now)
			}
			elsewhere = i.play(perSecond, lasts)
		})
		return i, elsewhere
	}
	without, _ := play(false)
	with, elsewhere := play(true)
	t.Logf("without: %d served, %d lost; with: %d served, %d refused, %d lost, %d elsewhere",
		without.served, without.lost, with.served, with.refused, with.lost, elsewhere)
	if with.served < 2*without.served {
		t.Errorf("%d served in time, %d without a limit", with.served, without.served)
	}
	if all := perSecond * int(lasts/time.Second); with.lost > all/10 {
		t.Errorf("%d of %d neither served in time nor refused", with.lost, all)
	}
}

// Upstreams of a failure domain are gone, or a service's are all: half of the connections are waited
// for in vain. The link is well, and nobody is refused for it.
func TestUpstreamsThatAreGoneAreNoOverload(t *testing.T) {
	now := time.Unix(100, 0)
	l := New(func() time.Time { return now })
	for n := range 400 {
		now = now.Add(10 * time.Millisecond)
		took := wayTime
		if n%2 == 0 {
			took = dialBound
		}
		l.Connected(fmt.Sprint(n%30), took)
		if l.Overloaded() || !l.Begin() {
			t.Fatalf("overloaded after %d connections", n+1)
		}
	}
	now = now.Add(window)
	l.Overloaded()
	for n := range 400 {
		now = now.Add(10 * time.Millisecond)
		l.Connected(fmt.Sprint(n%4), dialBound) // one small service, gone as a whole
		if l.Overloaded() {
			t.Fatalf("overloaded after %d connections to four upstreams", n+1)
		}
	}
}

// The load is gone: a few seconds later the instance takes on everything again.
func TestLimitIsLiftedAfterTheLoad(t *testing.T) {
	now := time.Unix(100, 0)
	l := New(func() time.Time { return now })
	for n := range 100 {
		now = now.Add(10 * time.Millisecond)
		l.Connected(fmt.Sprint(n%30), dialBound)
	}
	if !l.Overloaded() {
		t.Fatal("no overload noticed")
	}
	for range 10 {
		now = now.Add(window)
		l.Overloaded()
	}
	if l.Overloaded() {
		t.Error("still overloaded four seconds later")
	}
}
