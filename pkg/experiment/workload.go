// Package experiment measures budget policies against each other on the same
// seeded workload and faults, under virtual time. The policy of this project is
// its real decision code on small fakes; the baselines are models of the known
// ways. An all-knowing referee says which refusals were false.
package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Deployment is where a workload runs.
type Deployment struct {
	// Name is the deployment's name.
	Name string
	// Instances and Domains are its sizes.
	Instances, Domains int
	// RequestsPerSecond is the mean rate over all accounts.
	RequestsPerSecond float64
	// Accounts is the number of client accounts, of which the first Large have
	// LargeShare of the traffic.
	Accounts, Large int
	LargeShare      float64
}

// Sirajganj and BetuweOost are the two deployments of today.
var (
	Sirajganj  = Deployment{"Sirajganj", 9, 3, 6, 10, 2, 0.6}
	BetuweOost = Deployment{"Betuwe-Oost", 8, 4, 6, 10, 2, 0.6}
)

// request is one request of the workload.
type request struct {
	at       time.Duration
	account  int
	pick     float64 // chooses the instance among those up
	bound    int64
	cost     int64
	duration time.Duration
}

// kinds of request: how often, what they cost, how long they take.
type kind struct {
	share                     float64
	promptBound, promptFactor float64
	maxOutput                 int64
	seconds                   float64
}

var kinds = []kind{
	{share: 0.25, promptBound: 2400, promptFactor: 0.3, maxOutput: 900, seconds: 8},
	{share: 0.55, promptBound: 240, promptFactor: 0.3, maxOutput: 200, seconds: 2},
	{share: 0.20, promptBound: 20, promptFactor: 1, maxOutput: 0, seconds: 0.2},
}

// Constants of the workload.
const (
	// burstEvery and burstLength and burstFactor make the load uneven: a grower
	// asks for all its fields at once, a storm makes all pipes leak.
	burstEvery  = 5 * time.Minute
	burstLength = 20 * time.Second
	burstFactor = 4
	// leastFunding and mostFunding are what accounts prepaid, as a part of what
	// their requests would cost: most are near exhaustion at the end.
	leastFunding = 0.75
	mostFunding  = 1.1
)

// workload is a seeded list of requests in order of time, and the budgets.
type workload struct {
	requests []request
	prepaid  []int64
}

func account(n int) string { return fmt.Sprintf("s/account-%02d", n) }

func newWorkload(d Deployment, length time.Duration, seed uint64) workload {
	rng := rand.New(rand.NewPCG(seed, 77))
	var w workload
	demand := make([]int64, d.Accounts)
	for at := time.Duration(0); ; {
		rate := d.RequestsPerSecond
		if at%burstEvery < burstLength {
			rate *= burstFactor
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			break
		}
		r := newRequest(d, at, rng)
		demand[r.account] += r.cost
		w.requests = append(w.requests, r)
	}
	for _, tokens := range demand {
		funding := leastFunding + (mostFunding-leastFunding)*rng.Float64()
		w.prepaid = append(w.prepaid, int64(funding*float64(tokens)))
	}
	return w
}

func newRequest(d Deployment, at time.Duration, rng *rand.Rand) request {
	k := pickKind(rng.Float64())
	prompt := int64(k.promptBound * (0.3 + 0.7*rng.Float64()))
	r := request{
		at:       at,
		account:  d.Large + rng.IntN(d.Accounts-d.Large),
		pick:     rng.Float64(),
		bound:    prompt + k.maxOutput,
		cost:     int64(float64(prompt) * k.promptFactor),
		duration: time.Duration(k.seconds * (0.5 + rng.Float64()) * float64(time.Second)),
	}
	if rng.Float64() < d.LargeShare {
		r.account = rng.IntN(d.Large)
	}
	if k.maxOutput > 0 {
		r.cost += k.maxOutput/4 + rng.Int64N(3*k.maxOutput/4)
	}
	return r
}

func pickKind(x float64) kind {
	for _, k := range kinds {
		if x < k.share {
			return k
		}
		x -= k.share
	}
	return kinds[len(kinds)-1]
}
