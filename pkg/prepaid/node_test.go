package prepaid_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/prepaid"
)

const account = "account-0"

// spend reserves and settles one request whole, and reports whether it was accepted.
func spend(t *testing.T, m *member, tokens int64) bool {
	t.Helper()
	r, err := m.Reserve(t.Context(), account, tokens, true)
	if err != nil {
		return false
	}
	m.Settle(r, tokens)
	return true
}

// tick advances the time and calls Tick on every live instance.
func (f *fleet) tick() {
	f.advance(500 * time.Millisecond)
	for _, m := range f.nodes {
		if !m.crashed {
			m.Tick(context.Background())
		}
	}
	synctest.Wait()
}

// Requests for one account reach all instances until nothing is left, when several instances hold
// tokens. All but a few hundredths of the prepaid tokens are served, because instances return their
// surplus when the budget runs short.
func TestNearlyAllIsServedToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const all = 100_000
		f := newFleet(1, 5, map[string]int64{account: all})
		served := int64(0)
		for step := range 600 {
			m := f.nodes[step%len(f.nodes)]
			if spend(t, m, 400) {
				served += 400
			}
			if step%4 == 0 {
				f.tick()
			}
		}
		if served < all*97/100 {
			t.Errorf("%d of %d tokens were served", served, all)
		}
	})
}

// All instances are partitioned from the store and from each other for seven seconds under steady
// load. Almost all requests are served from tokens drawn ahead. The others are refused because the
// store is unavailable, not because the budget is exhausted.
func TestCutOffInstancesGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 4, map[string]int64{account: 10_000_000})
		load := func(steps int) (served, refused int) {
			for range steps {
				for _, m := range f.nodes {
					if spend(t, m, 300) {
						served++
					} else {
						refused++
					}
				}
				f.tick()
			}
			return served, refused
		}
		load(20)
		for _, m := range f.nodes {
			m.partitioned = true
		}
		served, refused := load(14)
		if refused > served/20 {
			t.Errorf("%d requests served, %d refused while partitioned", served, refused)
		}
		load(20) // until all free tokens are spent
		_, err := f.nodes[0].Reserve(t.Context(), account, 300, true)
		var short *prepaid.ShortError
		if !errors.As(err, &short) || short.Exhausted {
			t.Errorf("not refused for an unavailable store: %v", err)
		}
	})
}

// The store answers all instances but one. A request at that one is served with tokens that another
// instance lends.
func TestPeersLendWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 3, map[string]int64{account: 1_000_000})
		alone := f.nodes[0]
		errRefused := errors.New("refused")
		lone := prepaid.NewNode(prepaid.Config{Self: "lone", Shards: 1, Ahead: time.Second}, prepaid.Deps{
			Ledger:   failingLedger{errRefused},
			Peers:    alone,
			Fleet:    alone,
			Observer: alone,
			Amounts:  func(int) prepaid.Amounts { return f.amounts },
			Now:      f.clock,
		})
		r, err := lone.Reserve(t.Context(), account, 500, true)
		if err != nil {
			t.Fatal(err)
		}
		lone.Settle(r, 500)
	})
}

type failingLedger struct{ err error }

func (r failingLedger) Update(context.Context, int, int, func(*prepaid.Shard) error) error {
	return r.err
}

// An account is used up. Requests are refused as exhausted, at once and without a store call for
// each; after a top-up the next one is served.
func TestExhaustedUntilToppedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4, 2, map[string]int64{account: 1000})
		if !spend(t, f.nodes[0], 1000) {
			t.Fatal("the first request was refused")
		}
		_, err := f.nodes[0].Reserve(t.Context(), account, 300, true)
		var short *prepaid.ShortError
		if !errors.As(err, &short) || !short.Exhausted {
			t.Errorf("not refused as exhausted: %v", err)
		}
		before := f.shards[f.era].version
		for range 20 {
			spend(t, f.nodes[0], 300)
		}
		if f.shards[f.era].version != before {
			t.Errorf("%d writes for requests that are known to exceed the budget", f.shards[f.era].version-before)
		}
		f.amounts = prepaid.Amounts{Version: 2, Tokens: map[string]int64{account: 2000}}
		if !spend(t, f.nodes[0], 300) {
			t.Error("a request was refused after the top-up")
		}
	})
}

// A planned stop returns unspent tokens, and another instance serves a request with them.
func TestStopReturnsTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5, 2, map[string]int64{account: 1000})
		r, err := f.nodes[0].Reserve(t.Context(), account, 900, true)
		if err != nil {
			t.Fatal(err)
		}
		f.nodes[0].Settle(r, 100)
		f.nodes[0].Stop(t.Context())
		if !spend(t, f.nodes[1], 900) {
			t.Error("the returned tokens could not be reserved")
		}
	})
}

// The store does not answer an instance, and the peer that it asks first answers after the waiting
// request was refused. Guards against the loss of the lent tokens: the next request is served with
// them.
func TestLateLoanServesTheNextCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, 2, map[string]int64{account: 100_000})
		lone := prepaid.NewNode(prepaid.Config{Self: "lone", Shards: 1, Ahead: time.Second}, prepaid.Deps{
			Ledger:   failingLedger{errLost},
			Peers:    &slowLender{member: f.nodes[0], delay: 300 * time.Millisecond},
			Fleet:    f.nodes[0],
			Observer: f.nodes[0],
			Amounts:  func(int) prepaid.Amounts { return f.amounts },
			Now:      f.clock,
		})
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		if _, err := lone.Reserve(ctx, account, 500, true); err == nil {
			t.Fatal("the first request was served")
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if _, err := lone.Reserve(t.Context(), account, 500, true); err != nil {
			t.Error(err)
		}
	})
}

// slowLender answers after a delay unless its context ends.
type slowLender struct {
	*member
	delay time.Duration
}

// Lend implements prepaid.Peers.
func (s *slowLender) Lend(ctx context.Context, to, budget string, need, ahead int64) (int64, error) {
	tokens := s.fleet.find(to).Node.Lend(ctx, budget, need, ahead)
	select {
	case <-time.After(s.delay):
		return tokens, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// slowLedger takes a few milliseconds for each update, as the store does.
type slowLedger struct{ *member }

// Update implements prepaid.Ledger.
func (l slowLedger) Update(ctx context.Context, shard, tries int, change func(*prepaid.Shard) error) error {
	time.Sleep(2 * time.Millisecond)
	err := l.member.Update(ctx, shard, tries, change)
	time.Sleep(2 * time.Millisecond)
	return err
}

// Many requests for an account with plenty of tokens reach one instance during its first draw, and
// tokens drawn for one request are taken by another that came later. Guards against refusing the
// first one as exhausted, which is final, though the ledger has enough.
func TestTokensTakenByOthersAreNotExhaustion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(12, 1, map[string]int64{account: 1 << 40})
		node := prepaid.NewNode(prepaid.Config{Self: "slow", Shards: 1, Ahead: time.Second}, prepaid.Deps{
			Ledger:   slowLedger{f.nodes[0]},
			Peers:    f.nodes[0],
			Fleet:    f.nodes[0],
			Observer: f.nodes[0],
			Amounts:  func(int) prepaid.Amounts { return f.amounts },
			Now:      time.Now,
		})
		for n := range 200 {
			go func() {
				time.Sleep(time.Duration(n) * 100 * time.Microsecond)
				_, err := node.Reserve(t.Context(), account, int64(100+n%7*40), true)
				if err != nil {
					t.Errorf("request %d: %v", n, err)
				}
			}()
		}
		time.Sleep(time.Second)
		synctest.Wait()
	})
}
