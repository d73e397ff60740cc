package placement

import "time"

// readingRate learns from answers how many prompt tokens engines read in a second while they
// have little else to do. Each time from a request's sending to its first event comes with
// whatever else the engine does, and how much of a prompt it had to read is an estimate, so
// a quantile of the observed rates is followed, which single wrong ones hardly move.
type readingRate struct {
	perSecond float64 // 0 until the first answer
	answers   int64
}

const (
	// rateQuantile is the quantile that is followed: three of four requests read no faster.
	rateQuantile = 0.75
	// firstRateStep is how far one answer moves the rate, as a part of it, while few have
	// come; the step falls with their number to lastRateStep.
	firstRateStep = 0.5
	lastRateStep  = 0.02
	// leastRead is the least size in tokens that says something of the rate: below, the
	// network and the engine's step take most of the time.
	leastRead = 2000
)

// observe takes in that reading so many tokens took so long.
func (r *readingRate) observe(tokens int64, took time.Duration) {
	if tokens < leastRead || took <= 0 {
		return
	}
	r.answers++
	sample := float64(tokens) / took.Seconds()
	if r.perSecond == 0 {
		r.perSecond = sample
		return
	}
	step := max(firstRateStep/float64(r.answers), lastRateStep)
	if sample > r.perSecond {
		r.perSecond *= 1 + step*rateQuantile
	} else {
		r.perSecond *= 1 - step*(1-rateQuantile)
	}
}
