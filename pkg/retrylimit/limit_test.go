package retrylimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Several instances receive uneven shares of the requests to a service that fails all of them, and each
// tries to retry every request several times. Over any window, the retries of all instances together
// must stay within the bound, even if some instances do not know all of the others yet.
func TestAllInstancesTogetherStayWithinTheBound(t *testing.T) {
	settings := Settings{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}
	rng := rand.New(rand.NewPCG(7, 7))
	now := time.Unix(0, 0)
	const instances = 9
	var limits []*Limit
	for i := range instances {
		numKnown := 1 + i%instances // some instances know only a few others
		limits = append(limits, New(settings, func() int { return numKnown }, func() time.Time { return now }))
	}
	type sample struct {
		at    time.Time
		count int
	}
	var requests, retries []sample
	for range 6000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		limit := limits[min(rng.IntN(instances), rng.IntN(instances))]
		limit.CountFirst("")
		requests = append(requests, sample{now, 1})
		sent := 0
		for range 3 {
			if limit.TryRetry("") {
				sent++
			}
		}
		retries = append(retries, sample{now, sent})
	}
	for i := range retries {
		end := retries[i].at
		first, retried := 0, 0
		for j := i; j >= 0 && end.Sub(retries[j].at) <= settings.Window; j-- {
			first += requests[j].count
			retried += retries[j].count
		}
		if bound := settings.Ratio*float64(first) + settings.Extra; float64(retried) > bound {
			t.Fatalf("%d retries of %d requests within a window, bound %.0f", retried, first, bound)
		}
	}
}

// Guards against retries that stay refused after a service has failed for a while and recovered: once
// the window has passed, they must be allowed again.
func TestRepeatsAreAllowedAgain(t *testing.T) {
	now := time.Unix(0, 0)
	limit := New(Settings{Ratio: 0.2, Extra: 24, Window: time.Second}, func() int { return 1 }, func() time.Time { return now })
	used := 0
	for limit.TryRetry("") {
		used++
	}
	now = now.Add(1100 * time.Millisecond)
	if used == 0 || !limit.TryRetry("") {
		t.Errorf("%d retries were allowed at first, none after the window", used)
	}
}

// Guards against one account whose requests all fail and whose retries leave none for the other
// accounts, whose requests fail occasionally.
func TestOneAccountDoesNotTakeAllRepeats(t *testing.T) {
	const accounts, abuser = 40, "abuser"
	rng := rand.New(rand.NewPCG(8, 8))
	now := time.Unix(0, 0)
	limit := New(Settings{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}, func() int { return 9 }, func() time.Time { return now })
	failed, refused := 0, 0
	for range 20_000 {
		now = now.Add(5 * time.Millisecond)
		account := string(rune('A' + rng.IntN(accounts-1)))
		if rng.IntN(10) < 3 {
			account = abuser
		}
		limit.CountFirst(account)
		switch {
		case account == abuser:
			limit.TryRetry(account)
		case rng.IntN(50) == 0:
			failed++
			if !limit.TryRetry(account) {
				refused++
			}
		}
	}
	if refused*100 > failed {
		t.Errorf("%d of %d retries of the other accounts were refused", refused, failed)
	}
}

// Guards against a share of the retries that is too small for an account which is the only one to send
// requests: it may use all retries.
func TestOnlyAccountHasAllRepeats(t *testing.T) {
	now := time.Unix(0, 0)
	limit := New(Settings{Ratio: 0.2, Extra: 0, Window: 10 * time.Second}, func() int { return 9 }, func() time.Time { return now })
	retries := 0
	for range 1000 {
		limit.CountFirst("only")
		if limit.TryRetry("only") {
			retries++
		}
	}
	if want := int(1000 * 0.2 * usedRatioFraction); retries < want-1 {
		t.Errorf("%d retries, %d are allowed", retries, want)
	}
}

// Guards against retries that were allowed and not sent, and stay counted or are taken back twice.
func TestReleasedRetryIsAllowedAgain(t *testing.T) {
	now := time.Unix(0, 0)
	limit := New(Settings{Ratio: 0.2, Extra: 24, Window: time.Second}, func() int { return 1 }, func() time.Time { return now })
	retry, allowed := limit.Reserve("a")
	if !allowed || limit.TryRetry("a") {
		t.Fatal("the limit does not allow exactly one retry")
	}
	now = now.Add(time.Second / 2)
	limit.Release(retry)
	retry, allowed = limit.Reserve("a")
	if !allowed {
		t.Fatal("a retry that was released is still counted")
	}
	now = now.Add(2 * time.Second)
	limit.Release(retry)
	if !limit.TryRetry("a") || limit.TryRetry("a") {
		t.Error("a retry that was released after the window is taken back a second time")
	}
}
