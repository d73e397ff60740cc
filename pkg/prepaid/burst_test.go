package prepaid_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/prepaid"
)

// Parameters of a burst of requests at an instance.
const (
	// burstClients send burstRequests requests together, each client one after the other.
	burstClients, burstRequests = 8, 40
	// A request reserves burstTokens and uses burstUsed.
	burstTokens, burstUsed = 120, 100
	// maxServiceTime is the time of the longest request.
	maxServiceTime = 5 * time.Millisecond
	// burstPatience is how long a request waits for tokens.
	burstPatience = 400 * time.Millisecond
	// tickInterval is how often each instance ticks.
	tickInterval = 500 * time.Millisecond
	// wholeBefore is when all instances know each other.
	wholeBefore = time.Second
)

// burst counts what became of the requests of bursts.
type burst struct {
	served, refused, exhausted atomic.Int64
	// took is the time until the last request had ended.
	took time.Duration
}

// run sends a burst to an instance and waits until it has ended.
func (b *burst) run(m *startingInstance) {
	var clients sync.WaitGroup
	var sent atomic.Int64
	for range burstClients {
		clients.Go(func() {
			for sent.Add(1) <= burstRequests {
				b.request(m)
			}
		})
	}
	clients.Wait()
}

func (b *burst) request(m *startingInstance) {
	ctx, cancel := context.WithTimeout(context.Background(), burstPatience)
	defer cancel()
	r, err := m.Reserve(ctx, account, burstTokens, true)
	if err != nil {
		b.refused.Add(1)
		var short *prepaid.ShortError
		if errors.As(err, &short) && short.Exhausted {
			b.exhausted.Add(1)
		}
		return
	}
	time.Sleep(rand.N(maxServiceTime))
	m.Settle(r, burstUsed)
	b.served.Add(1)
}

// startBurstFleet returns a fleet whose instances know each other and have served nothing.
func startBurstFleet(size int, tokens int64) *startingFleet {
	f := newStartingFleet(size, 26, wholeBefore)
	f.amounts = prepaid.Amounts{Version: 1, Tokens: map[string]int64{account: tokens}}
	f.answerJitter = peerRoundTrip
	time.Sleep(wholeBefore)
	return f
}

// tickUntil has all instances tick until stopped, each at times of its own.
func (f *startingFleet) tickUntil(ctx context.Context) {
	for _, m := range f.members {
		go func() {
			time.Sleep(rand.N(tickInterval))
			for ctx.Err() == nil {
				m.Tick(ctx)
				time.Sleep(tickInterval)
			}
		}()
	}
}

// runBursts sends a burst to each of the last instances, as many as at says.
func (f *startingFleet) runBursts(at int) *burst {
	ctx, stop := context.WithCancel(context.Background())
	f.tickUntil(ctx)
	var b burst
	var running sync.WaitGroup
	for _, m := range f.members[len(f.members)-at:] {
		running.Go(func() { b.run(m) })
	}
	running.Wait()
	b.took = time.Since(f.startedAt) - wholeBefore
	stop()
	time.Sleep(tickInterval)
	// The fleet's counts are read next; the lock orders that after the last writes in the background.
	f.mu.Lock()
	defer f.mu.Unlock()
	return &b
}

// Guards against refusals for want of tokens while the ledger has plenty: many requests of an account reach an
// instance at the same time, or reach all instances, and none of these has served the account before.
func TestBurstOfFirstRequestsGetsTokens(t *testing.T) {
	for _, size := range []int{3, 9, 30, 300} {
		for _, at := range []int{1, size} {
			t.Run(fmt.Sprintf("%d instances, at %d", size, at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startBurstFleet(size, 1<<40)
					b := f.runBursts(at)
					t.Logf("%d served in %v, %d messages to drawers, %d writes", b.served.Load(), b.took, f.refills, sum(f.writes, 0, 10))
					if refused := b.refused.Load(); refused > 0 {
						t.Errorf("%d of %d requests refused", refused, at*burstRequests)
					}
					if f.refills > at*burstRequests*5/4 {
						t.Errorf("%d messages to drawers for %d requests", f.refills, at*burstRequests)
					}
				})
			})
		}
	}
}

// Guards against requests that wait, or ask drawers again and again, for tokens that the account does not have:
// bursts at all instances need more than is left. What is left is served, and no more.
func TestBurstOnANearlyEmptyAccountIsServedWhatIsLeft(t *testing.T) {
	for _, size := range []int{3, 9, 30} {
		t.Run(fmt.Sprintf("%d instances", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				left := int64(size) * burstRequests * burstUsed / 2
				f := startBurstFleet(size, left)
				b := f.runBursts(size)
				t.Logf("%d served in %v, %d refused, %d of them for good, %d messages to drawers, %d writes",
					b.served.Load(), b.took, b.refused.Load(), b.exhausted.Load(), f.refills, sum(f.writes, 0, 10))
				if spent := b.served.Load() * burstUsed; spent > left || spent < left*85/100 {
					t.Errorf("%d of %d tokens spent", spent, left)
				}
				if f.refills > 2*size*burstRequests {
					t.Errorf("%d messages to drawers for %d requests", f.refills, size*burstRequests)
				}
			})
		})
	}
}

// Guards against a request that is refused while the ledger has plenty, because the instance returns the free
// tokens that the request counts on while it waits for the rest.
func TestRequestIsServedWhoseInstanceReturnsTokensMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startBurstFleet(9, 1<<40)
		f.answerJitter = 0
		m := f.members[8]
		var b burst
		b.request(m) // leaves free tokens, and the instance learns that it is to keep none
		if free := m.Free(account); free == 0 {
			t.Fatal("no free tokens")
		}
		time.AfterFunc(peerRoundTrip/2, func() { m.Tick(context.Background()) })
		b.request(m)
		time.Sleep(tickInterval) // the report ends
		if b.refused.Load() > 0 {
			t.Errorf("%d of 2 requests refused", b.refused.Load())
		}
	})
}

// Guards against a request that asks the drawer again and again, or waits, for tokens that the ledger does not have.
func TestRequestThatTheLedgerCannotServeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startBurstFleet(9, burstTokens/2)
		var b burst
		b.request(f.members[8])
		took := time.Since(f.startedAt) - wholeBefore
		if b.refused.Load() != 1 || f.refills != 1 {
			t.Errorf("%d requests refused after %d messages to drawers", b.refused.Load(), f.refills)
		}
		if most := burstPatience / 4; took > most {
			t.Errorf("refused after %v, more than %v", took, most)
		}
	})
}
