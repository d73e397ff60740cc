package forward

import (
	"slices"
	"sync"
	"time"
)

// Parameters of the estimate of how long a stream takes.
const (
	// paceSamples is the number of a route's latest streams that the estimate is based on: those of
	// some seconds, since the pace follows the load.
	paceSamples = 32
	// minPaceSamples is the number of streams below which there is no estimate.
	minPaceSamples = 8
)

// paces holds the pace of each route's latest streams: their duration per output token that they were
// allowed. A stream's length is proportional to that bound, and the load changes the pace for all.
type paces struct {
	mu      sync.Mutex
	byRoute map[string]*paceWindow
}

// paceWindow holds the latest paces of one route; the oldest is replaced first.
type paceWindow struct {
	samples []float64
	next    int
}

func newPaces() *paces { return &paces{byRoute: map[string]*paceWindow{}} }

// streamSize returns the size by which a stream's duration is scaled: the maximum number of output tokens,
// or 1 if it is not known.
func streamSize(r *Request) float64 { return float64(max(r.MaxOutputTokens, 1)) }

// record records the duration of a stream that was delivered to its end.
func (p *paces) record(route string, r *Request, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	window := p.byRoute[route]
	if window == nil {
		window = &paceWindow{}
		p.byRoute[route] = window
	}
	pace := took.Seconds() / streamSize(r)
	if len(window.samples) < paceSamples {
		window.samples = append(window.samples, pace)
		return
	}
	window.samples[window.next] = pace
	window.next = (window.next + 1) % paceSamples
}

// estimate returns how long a stream may take, and false if too few streams of the route are known.
func (p *paces) estimate(route string, r *Request) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	window := p.byRoute[route]
	if window == nil || len(window.samples) < minPaceSamples {
		return 0, false
	}
	return time.Duration(slices.Max(window.samples) * streamSize(r) * float64(time.Second)), true
}
