package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/dispatch"
	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/upstream"
)

// Timing and bounds of the load queries to upstreams.
const (
	// maxPollsPerRound bounds the upstreams polled in one round, so that an
	// instance's load queries do not grow with the number of upstreams.
	maxPollsPerRound = 16
	pollInterval     = time.Second
	pollTimeout      = 300 * time.Millisecond
)

// loadTarget is one upstream to poll.
type loadTarget struct {
	pool     *dispatch.Pool
	upstream document.Upstream
}

// PollLoads queries the model engines for their load, in round-robin order, until
// ctx ends.
func (e *Entry) PollLoads(ctx context.Context) {
	for next := 0; pause.For(ctx, pollInterval); {
		targets := e.loadTargets()
		count := min(maxPollsPerRound, len(targets))
		var round sync.WaitGroup
		for i := range count {
			target := targets[(next+i)%len(targets)]
			round.Go(func() { pollLoad(ctx, target) })
		}
		round.Wait()
		next += count
	}
}

func pollLoad(ctx context.Context, target loadTarget) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if load, err := upstream.FetchLoad(ctx, target.upstream.Address); err == nil {
		target.pool.ReportLoad(target.upstream.Name, load)
	}
}

func (e *Entry) loadTargets() []loadTarget {
	var targets []loadTarget
	services := e.Config.Snapshot().Services
	for _, name := range slices.Sorted(maps.Keys(services)) {
		for _, pool := range services[name].Document.Pools {
			if pool.Kind != document.KindModel {
				continue
			}
			p := e.pool(name, pool.Name)
			for _, u := range p.Upstreams() {
				targets = append(targets, loadTarget{pool: p, upstream: u})
			}
		}
	}
	return targets
}
