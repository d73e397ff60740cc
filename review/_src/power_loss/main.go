// Command power_loss spends a prepaid budget while everything loses power once: all routers, and the store, which
// comes back from a copy of some seconds before. It checks that the tenant gets no more than it prepaid.
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/lavenderring/lavenderring/platform/standin"
	"github.com/lavenderring/lavenderring/review/_src/kit"
)

func main() { kit.Run(play) }

const (
	numRouters = 3
	prepaid    = 160_000
	// troubleAt is when the power is lost; the store is away for away and comes back from a copy that was copyAge old.
	troubleAt = 8 * time.Second
	away      = time.Second
	copyAge   = 5 * time.Second
)

func play(d *kit.Deployment) (bool, error) {
	s, err := kit.StartSpending(d, numRouters, prepaid)
	if err != nil {
		return false, err
	}
	s.Begin()
	if kit.Trouble() {
		time.Sleep(troubleAt)
		if err := losePower(s); err != nil {
			s.Stop()
			return false, err
		}
	}
	s.Await()
	d.Record("summary: prepaid %d, used %d: %d prompt tokens of requests that ran, %d output tokens delivered", prepaid, s.Used(), s.Engine.PromptTokens(), s.Events.Load())
	d.Record("answers: %d with 200, %d with 402, %d others", s.OK.Load(), s.Short.Load(), s.Others.Load())
	if s.OK.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return s.Used() > prepaid, nil
}

// losePower ends all routers at once, brings the store back from a copy, and starts the routers again. PART=store
// leaves the routers alone, PART=routers the store.
func losePower(s *kit.Spending) error {
	part := os.Getenv("PART")
	if part != "store" {
		for _, router := range s.Routers {
			router.Signal(syscall.SIGKILL)
		}
	}
	if part != "routers" {
		s.D.Record("the store is away for %v and comes back from a copy that was %v old", away, copyAge)
		s.D.Store.RollBack(standin.Rollback{OutageMillis: away.Milliseconds(), CopyAgeMillis: copyAge.Milliseconds()})
		s.D.Record("the store is back")
	}
	if part == "store" {
		return nil
	}
	return kit.StartAgain(s.Routers)
}
