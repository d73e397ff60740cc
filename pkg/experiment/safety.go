package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// safetyRunDuration is the virtual time of one safety run.
const safetyRunDuration = 4 * time.Minute

// randomFaults returns a scenario that changes the faults at random: kinds overlap and repeat.
func randomFaults(seed uint64) Scenario {
	rng := rand.New(rand.NewPCG(seed, 99))
	return Scenario{Name: "random faults", apply: func(r *simulation, _ float64) {
		instance := rng.IntN(r.deployment.Instances)
		other := rng.IntN(r.deployment.Instances)
		switch rng.IntN(40) {
		case 0:
			r.crash(instance)
		case 1, 2:
			r.pauseOnly(instance, rng.IntN(2) == 0)
		case 3, 4, 5:
			r.fleet.setLinkDown(instance, other, instance != other && rng.IntN(2) == 0)
		case 6:
			r.fleet.setStoreFaults(rng.IntN(3) == 0, rng.IntN(3) == 0, 0.4*rng.Float64())
		case 7:
			r.fleet.setStoreFaults(false, false, 0)
		case 8:
			r.toppedUp = false
			r.topUpAt(1, 0)
		}
	}}
}

// RunSafety runs the policy of this project under random faults, once for each of the seeds from
// 1 to runs, and returns the number of runs that overspent.
func RunSafety(out io.Writer, runs int) int64 {
	var overspent, requests, refusals atomic.Int64
	limit := make(chan struct{}, max(runtime.NumCPU()/2, 1))
	var group sync.WaitGroup
	for n := range runs {
		limit <- struct{}{}
		group.Go(func() {
			seed := uint64(n + 1)
			result := Run(deployments[n%len(deployments)], Policies[0], randomFaults(seed), safetyRunDuration, seed)
			requests.Add(result.Requests)
			refusals.Add(result.FalseRefusals)
			if result.Overspent > 0 {
				overspent.Add(1)
				_, _ = fmt.Fprintf(out, "seed %d overspent %d tokens\n", seed, result.Overspent)
			}
			<-limit
		})
	}
	group.Wait()
	_, _ = fmt.Fprintf(out, "%d runs with random faults, %d requests, %d false refusals, %d runs overspent\n",
		runs, requests.Load(), refusals.Load(), overspent.Load())
	return overspent.Load()
}
