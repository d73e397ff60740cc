package placement

import "time"

// prefillRate estimates from answers how many prompt tokens engines prefill in a second while
// they have little other work. The time from sending a request to its first event includes
// other work of the engine, and the number of tokens that the engine had to prefill is itself
// an estimate. So prefillRate tracks a quantile of the observed rates, which outliers hardly
// move.
type prefillRate struct {
	tokensPerSecond float64 // 0 until the first answer
	answers         int64
}

const (
	// rateQuantile is the tracked quantile: three of four requests are prefilled no faster.
	rateQuantile = 0.75
	// firstRateStep is the relative change of the rate per answer at the beginning. The step is
	// divided by the number of answers, but is at least lastRateStep.
	firstRateStep = 0.5
	lastRateStep  = 0.02
	// minPrefillTokens is the smallest prefill that is used as a sample: below it, the network
	// and the engine's step take most of the time.
	minPrefillTokens = 2000
)

// observe adds a sample: the prefill of tokens took elapsed.
func (r *prefillRate) observe(tokens int64, elapsed time.Duration) {
	if tokens < minPrefillTokens || elapsed <= 0 {
		return
	}
	r.answers++
	sample := float64(tokens) / elapsed.Seconds()
	if r.tokensPerSecond == 0 {
		r.tokensPerSecond = sample
		return
	}
	step := max(firstRateStep/float64(r.answers), lastRateStep)
	if sample > r.tokensPerSecond {
		r.tokensPerSecond *= 1 + step*rateQuantile
	} else {
		r.tokensPerSecond *= 1 - step*(1-rateQuantile)
	}
}
