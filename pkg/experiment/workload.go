// Package experiment compares budget policies on the same seeded workload and faults, in virtual
// time. The policy of this project runs its real decision code on small fakes; the baselines are
// models of common approaches. Refusals are classified as false or not by the real cost of every
// request, which only the simulation knows.
package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Deployment is the size and the load of a fleet.
type Deployment struct {
	// Name is the deployment's name.
	Name string
	// Instances and Domains are the numbers of instances and failure domains.
	Instances, Domains int
	// RequestsPerSecond is the mean rate over all accounts.
	RequestsPerSecond float64
	// Accounts is the number of client accounts. The first Large of them send LargeShare of the
	// requests.
	Accounts, Large int
	LargeShare      float64
}

// Sirajganj and BetuweOost are the two existing deployments.
var (
	Sirajganj  = Deployment{"Sirajganj", 9, 3, 6, 10, 2, 0.6}
	BetuweOost = Deployment{"Betuwe-Oost", 8, 4, 6, 10, 2, 0.6}
)

// request is one request of the workload.
type request struct {
	at           time.Duration
	account      int
	instanceDraw float64 // in [0, 1), chooses among the instances that are up
	maxTokens    int64
	cost         int64
	duration     time.Duration
}

// requestKind describes a kind of request: its share of all requests, its cost in tokens and its
// running time.
type requestKind struct {
	share                             float64
	maxPromptTokens, promptCostFactor float64
	maxOutputTokens                   int64
	meanSeconds                       float64
}

var requestKinds = []requestKind{
	{share: 0.25, maxPromptTokens: 2400, promptCostFactor: 0.3, maxOutputTokens: 900, meanSeconds: 8},
	{share: 0.55, maxPromptTokens: 240, promptCostFactor: 0.3, maxOutputTokens: 200, meanSeconds: 2},
	{share: 0.20, maxPromptTokens: 20, promptCostFactor: 1, maxOutputTokens: 0, meanSeconds: 0.2},
}

// Constants of the workload.
const (
	// At the start of each burstInterval, the request rate is burstFactor times the usual one for
	// burstDuration. Real load is as uneven: a grower queries all its fields at once, or a storm
	// makes all pipes leak.
	burstInterval = 5 * time.Minute
	burstDuration = 20 * time.Second
	burstFactor   = 4
	// minFunding and maxFunding bound the prepaid tokens of an account, as a fraction of the cost
	// of all its requests: most accounts are near exhaustion at the end.
	minFunding = 0.75
	maxFunding = 1.1
)

// workload is a seeded list of requests in order of time, and the prepaid tokens by account.
type workload struct {
	requests []request
	prepaid  []int64
}

func budgetID(n int) string { return fmt.Sprintf("s/account-%02d", n) }

func newWorkload(d Deployment, duration time.Duration, seed uint64) workload {
	rng := rand.New(rand.NewPCG(seed, 77))
	var w workload
	demand := make([]int64, d.Accounts)
	for at := time.Duration(0); ; {
		rate := d.RequestsPerSecond
		if at%burstInterval < burstDuration {
			rate *= burstFactor
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			break
		}
		r := newRequest(d, at, rng)
		demand[r.account] += r.cost
		w.requests = append(w.requests, r)
	}
	for _, tokens := range demand {
		funding := minFunding + (maxFunding-minFunding)*rng.Float64()
		w.prepaid = append(w.prepaid, int64(funding*float64(tokens)))
	}
	return w
}

func newRequest(d Deployment, at time.Duration, rng *rand.Rand) request {
	k := drawKind(rng.Float64())
	prompt := int64(k.maxPromptTokens * (0.3 + 0.7*rng.Float64()))
	r := request{
		at:           at,
		account:      d.Large + rng.IntN(d.Accounts-d.Large),
		instanceDraw: rng.Float64(),
		maxTokens:    prompt + k.maxOutputTokens,
		cost:         int64(float64(prompt) * k.promptCostFactor),
		duration:     time.Duration(k.meanSeconds * (0.5 + rng.Float64()) * float64(time.Second)),
	}
	if rng.Float64() < d.LargeShare {
		r.account = rng.IntN(d.Large)
	}
	if k.maxOutputTokens > 0 {
		r.cost += k.maxOutputTokens/4 + rng.Int64N(3*k.maxOutputTokens/4)
	}
	return r
}

func drawKind(x float64) requestKind {
	for _, k := range requestKinds {
		if x < k.share {
			return k
		}
		x -= k.share
	}
	return requestKinds[len(requestKinds)-1]
}
