// Command kill_all kills all routers once while a prepaid budget is spent, and checks that requests that the rest of
// the budget covers are not refused with 402.
package main

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lavenderring/lavenderring/review/_src/kit"
)

func main() { kit.Run(play) }

const (
	numRouters = 3
	prepaid    = 160_000
	killAt     = 8 * time.Second
	contact    = 3 * time.Second // contact_ms
	// owedShare is the part of the prepaid tokens within which a request is owed.
	owedShare = 0.97
)

func play(d *kit.Deployment) (bool, error) {
	s, err := kit.StartSpending(d, numRouters, prepaid)
	if err != nil {
		return false, err
	}
	var startedAt atomic.Int64 // Unix nanoseconds
	startedAt.Store(time.Now().UnixNano())
	var denied, firstRest atomic.Int64
	s.OnShort = func(router *kit.Router, id string) {
		if time.Since(time.Unix(0, startedAt.Load())) < contact+time.Second {
			return // the router may have answered when it was not in touch
		}
		// Each request that ran counts at its most.
		most := s.Engine.PromptTokens() / kit.SpendPrompt * (kit.SpendPrompt + kit.SpendOutput)
		if float64(most+kit.SpendPrompt+kit.SpendOutput) > owedShare*prepaid {
			return
		}
		if denied.Add(1) == 1 {
			firstRest.Store(prepaid - most)
		}
		d.RecordQuietly("DENIED: %s gets 402 from %s; %d of %d tokens are used, it needs %d", id, router.Name, most, prepaid, kit.SpendPrompt+kit.SpendOutput)
	}
	s.Begin()
	if kit.Trouble() {
		time.Sleep(killAt)
		startedAt.Store(time.Now().Add(time.Minute).UnixNano()) // no router is in touch
		for _, router := range s.Routers {
			router.Signal(syscall.SIGKILL)
		}
		time.Sleep(time.Second)
		if err := kit.StartAgain(s.Routers); err != nil {
			s.Stop()
			return false, err
		}
		startedAt.Store(time.Now().UnixNano())
	}
	s.Await()
	all := s.OK.Load() + s.Short.Load() + s.Others.Load()
	limit := 5 + float64(all)/500
	d.Record("summary: prepaid %d, used %d; %d of %d requests denied with 402 although the rest (%d tokens at the first) covers them; the limit is %.1f",
		prepaid, s.Used(), denied.Load(), all, firstRest.Load(), limit)
	if s.OK.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return float64(denied.Load()) > limit, nil
}
