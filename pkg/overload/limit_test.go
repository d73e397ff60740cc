package overload

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Parameters of a simulated instance with a small link.
const (
	linkBytesPerSecond = 2_500_000 // 20 Mbit/s
	requestBytes       = 20_000    // a prompt and its answer, each received and sent
	roundTripTime      = 3 * time.Millisecond
	dialTimeout        = 300 * time.Millisecond
	deadline           = 3 * time.Second
	attempts           = 3
)

// link transmits bytes sequentially; bytes that arrive while it is busy wait.
type link struct {
	mu     sync.Mutex
	idleAt time.Time
}

// transmit waits until the given number of bytes has been transmitted.
func (l *link) transmit(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(bytes) * time.Second / linkBytesPerSecond)
	until := l.idleAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// queueDelay returns how long a packet waits before it is transmitted.
func (l *link) queueDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(time.Until(l.idleAt), 0)
}

// instance serves clients over its link.
type instance struct {
	link  link
	limit *Limit
	mu    sync.Mutex
	// served counts requests answered in time, refused those refused at once, lost the remaining
	// ones: answered late, or failed after a long time.
	served, refused, lost int
}

// serve processes one request until it is served, refused or lost.
func (i *instance) serve(number int) {
	began := time.Now()
	i.link.transmit(requestBytes / 2)
	if i.limit != nil && !i.limit.Begin() {
		i.increment(&i.refused)
		return
	}
	if i.limit != nil {
		defer i.limit.End()
	}
	for try := range attempts {
		address := fmt.Sprint(number%20 + try)
		took := roundTripTime + i.link.queueDelay()
		time.Sleep(min(took, dialTimeout))
		if i.limit != nil {
			i.limit.ObserveConnect(address, min(took, dialTimeout))
		}
		if took > dialTimeout {
			continue
		}
		i.link.transmit(requestBytes / 2)
		if time.Since(began) <= deadline {
			i.increment(&i.served)
			return
		}
		break
	}
	i.increment(&i.lost)
}

func (i *instance) increment(counter *int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	*counter++
}

// run generates requests at a rate for a time, and returns how many of them other instances received.
// Two seconds after the instance becomes unready, the platform sends new connections to other instances;
// once it is ready, it receives all of them again.
func (i *instance) run(perSecond int, duration time.Duration) (elsewhere int) {
	var running sync.WaitGroup
	var unreadySince time.Time
	for n := range perSecond * int(duration/time.Second) {
		time.Sleep(time.Second / time.Duration(perSecond))
		if i.limit != nil && i.limit.Overloaded() {
			if unreadySince.IsZero() {
				unreadySince = time.Now()
			}
		} else {
			unreadySince = time.Time{}
		}
		if !unreadySince.IsZero() && time.Since(unreadySince) > 2*time.Second && n%2 == 0 {
			elsewhere++ // the other half of the clients keep their connections
			continue
		}
		running.Go(func() { i.serve(n) })
	}
	running.Wait()
	return elsewhere
}

// The load balancer's hash sends a third of a failure domain's clients to one instance, twice the load
// that its link can carry. Without a limit, the link's queue only grows, every connection to an upstream
// times out, each request tries three of them, and after two seconds no request is served in time. With
// a limit, most of what the link can carry is served, and the other requests are refused at once.
func TestOverloadedInstanceServesWhatItsLinkCarries(t *testing.T) {
	const perSecond, lasts = 250, 20 * time.Second
	simulate := func(limited bool) (i *instance, elsewhere int) {
		synctest.Test(t, func(*testing.T) {
			i = &instance{}
			if limited {
				i.limit = New(time.Now)
			}
			elsewhere = i.run(perSecond, lasts)
		})
		return i, elsewhere
	}
	without, _ := simulate(false)
	with, elsewhere := simulate(true)
	t.Logf("without: %d served, %d lost; with: %d served, %d refused, %d lost, %d elsewhere",
		without.served, without.lost, with.served, with.refused, with.lost, elsewhere)
	if with.served < 2*without.served {
		t.Errorf("%d requests served in time, %d without a limit", with.served, without.served)
	}
	if all := perSecond * int(lasts/time.Second); with.lost > all/10 {
		t.Errorf("%d of %d requests neither served in time nor refused", with.lost, all)
	}
}

// Guards against refusals although the link is not overloaded: the upstreams of a failure domain are
// gone, so half of the connections time out, or all upstreams of a small service are gone.
func TestUpstreamsThatAreGoneAreNoOverload(t *testing.T) {
	now := time.Unix(100, 0)
	l := New(func() time.Time { return now })
	for n := range 400 {
		now = now.Add(10 * time.Millisecond)
		took := roundTripTime
		if n%2 == 0 {
			took = dialTimeout
		}
		l.ObserveConnect(fmt.Sprint(n%30), took)
		if l.Overloaded() || !l.Begin() {
			t.Fatalf("overload reported after %d connections", n+1)
		}
	}
	now = now.Add(window)
	l.Overloaded()
	for n := range 400 {
		now = now.Add(10 * time.Millisecond)
		l.ObserveConnect(fmt.Sprint(n%4), dialTimeout) // all upstreams of one small service are gone
		if l.Overloaded() {
			t.Fatalf("overload reported after %d connections to four upstreams", n+1)
		}
	}
}

// Guards against a limit that stays in force after the load has ended: it must be lifted within a few
// seconds.
func TestLimitIsLiftedAfterTheLoad(t *testing.T) {
	now := time.Unix(100, 0)
	l := New(func() time.Time { return now })
	for n := range 100 {
		now = now.Add(10 * time.Millisecond)
		l.ObserveConnect(fmt.Sprint(n%30), dialTimeout)
	}
	if !l.Overloaded() {
		t.Fatal("overload not detected")
	}
	for range 10 {
		now = now.Add(window)
		l.Overloaded()
	}
	if l.Overloaded() {
		t.Error("overload still reported four seconds later")
	}
}

// Guards against refusals by an instance whose link is not full but does not lead to the upstreams: no connection is
// established, while other instances answer as fast as ever.
func TestLostUpstreamsAreNoOverload(t *testing.T) {
	for _, c := range []struct {
		description string
		reply       time.Duration
		answered    bool
		overloaded  bool
	}{
		{"others answer fast", roundTripTime, true, false},
		{"others answer slowly", dialTimeout, true, true},
		{"others do not answer", dialTimeout, false, true},
	} {
		t.Run(c.description, func(t *testing.T) {
			now := time.Unix(100, 0)
			l := New(func() time.Time { return now })
			overloaded := false
			for n := range 400 {
				now = now.Add(10 * time.Millisecond)
				l.ObserveConnect(fmt.Sprint(n%30), dialTimeout)
				if n%20 == 0 {
					l.ObserveReply(c.reply, c.answered)
				}
				overloaded = overloaded || l.Overloaded()
			}
			if overloaded != c.overloaded {
				t.Errorf("overload reported: %v", overloaded)
			}
		})
	}
}
