package retrylimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Many instances get uneven shares of the requests of a service that fails them
// all; each would send every request once more, and again. Over any span of the
// window the repeats of all together stay within the bound, also while an
// instance does not know of the others yet.
func TestAllInstancesTogetherStayWithinTheBound(t *testing.T) {
	settings := Settings{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}
	rng := rand.New(rand.NewPCG(7, 7))
	now := time.Unix(0, 0)
	const instances = 9
	var limits []*Limit
	for i := range instances {
		known := 1 + i%instances // some have heard of few
		limits = append(limits, New(settings, func() int { return known }, func() time.Time { return now }))
	}
	type moment struct {
		at      time.Time
		repeats int
	}
	var requests, repeats []moment
	for range 6000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		limit := limits[min(rng.IntN(instances), rng.IntN(instances))]
		limit.First("")
		requests = append(requests, moment{now, 1})
		sent := 0
		for range 3 {
			if limit.TryRepeat("") {
				sent++
			}
		}
		repeats = append(repeats, moment{now, sent})
	}
	for i := range repeats {
		end := repeats[i].at
		first, again := 0, 0
		for j := i; j >= 0 && end.Sub(repeats[j].at) <= settings.Window; j-- {
			first += requests[j].repeats
			again += repeats[j].repeats
		}
		if bound := settings.Ratio*float64(first) + settings.Extra; float64(again) > bound {
			t.Fatalf("%d repeats of %d requests within a window, bound %.0f", again, first, bound)
		}
	}
}

// A service fails for a while and then recovers. What was not used up is there
// again when the window has passed.
func TestRepeatsAreAllowedAgain(t *testing.T) {
	now := time.Unix(0, 0)
	limit := New(Settings{Ratio: 0.2, Extra: 24, Window: time.Second}, func() int { return 1 }, func() time.Time { return now })
	used := 0
	for limit.TryRepeat("") {
		used++
	}
	now = now.Add(1100 * time.Millisecond)
	if used == 0 || !limit.TryRepeat("") {
		t.Errorf("%d were allowed at first, none after the window", used)
	}
}

// Guards against one account whose requests all fail and that takes every repeat from the others.
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
		limit.First(account)
		switch {
		case account == abuser:
			limit.TryRepeat(account)
		case rng.IntN(50) == 0:
			failed++
			if !limit.TryRepeat(account) {
				refused++
			}
		}
	}
	if refused*100 > failed {
		t.Errorf("%d of %d repeats of the others were refused", refused, failed)
	}
}

// An account that alone sends requests has all repeats.
func TestOnlyAccountHasAllRepeats(t *testing.T) {
	now := time.Unix(0, 0)
	limit := New(Settings{Ratio: 0.2, Extra: 0, Window: 10 * time.Second}, func() int { return 9 }, func() time.Time { return now })
	repeats := 0
	for range 1000 {
		limit.First("only")
		if limit.TryRepeat("only") {
			repeats++
		}
	}
	if want := int(1000 * 0.2 * ratioUsed); repeats < want-1 {
		t.Errorf("%d repeats, %d are allowed", repeats, want)
	}
}
