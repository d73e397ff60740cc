package prepaid

import "time"

// How demand is measured.
const (
	// demandWindow is the time over which demand is averaged: requests of one
	// account reach one instance every few seconds and cost up to ten thousand
	// tokens, so a shorter one takes single requests for a rate.
	demandWindow = 8 * time.Second
	// leastWindow is the time over which the first demand is averaged: an instance
	// that has just started must not take demand for half of what it is.
	leastWindow = 3 * time.Second
	// sizeSmoothing is the weight of the newest request in the usual size.
	sizeSmoothing = 0.1
	// mostHeldPart bounds what all instances together hold ahead to this part of
	// what is left of a budget: the loss of all at once strands it.
	mostHeldPart = 2
)

// purse is what one instance has of one budget. Invariant: free + reserved +
// spent + lent + counter.Returned = counter.Drawn + borrowed. Tokens leave free
// before any message or write says so.
type purse struct {
	free     int64
	reserved int64
	// counter is what the instance has taken over of its counter in the ledger;
	// Returned runs ahead of the ledger until a write has succeeded.
	counter Counter
	// written is the part of counter.Returned that the ledger has.
	written int64

	// demand is what was reserved and not given back since the last tick, and
	// perSecond its average.
	demand    int64
	perSecond float64
	// age is for how long demand has been measured.
	age time.Duration
	// usual is the usual size of a reservation; largest the largest lately.
	usual   float64
	largest int64

	// most bounds what the instance holds ahead, by what the ledger has.
	most float64
	// waiting are the needs of requests that wait for the next write.
	waiting int64

	// scarce says that the ledger had less than a large request for each instance
	// when it was last seen, dry that it had less than one. They stand until the
	// ledger is seen again or the account is topped up: if they
	// ended by time, each instance would draw the last tokens and return them again
	// and again.
	scarce, dry bool
	// prepaid is what was prepaid when the ledger was last seen.
	prepaid int64
	// left is what the ledger had when it was last seen, at seenAt.
	left   int64
	seenAt time.Time
	// keep is what the drawer said to hold, at keptAt.
	keep   int64
	keptAt time.Time
	// domainPerSecond is the demand of all instances that this one draws for, active
	// how many of them have any; elsewherePerSecond is that of the other domains.
	domainPerSecond, elsewherePerSecond float64
	active                              int
	// owed is what askers should have been dealt since the last write and were not.
	owed int64
	// lendersRest is until when peers are not asked again.
	lendersRest time.Time
}

// remove takes tokens out of what is free, if there are as many.
func (p *purse) remove(tokens int64) bool {
	if tokens > p.free {
		return false
	}
	p.free -= tokens
	return true
}

// reserve notes that tokens, which were removed, are set aside for a request.
func (p *purse) reserve(tokens int64) {
	p.reserved += tokens
	p.demand += tokens
	p.largest = max(p.largest, tokens)
	if p.usual == 0 {
		p.usual = float64(tokens)
	}
	p.usual += sizeSmoothing * (float64(tokens) - p.usual)
}

func (p *purse) settle(tokens, used int64) {
	p.reserved -= tokens
	p.free += tokens - used
	p.demand -= tokens - used
}

func (p *purse) tick(interval time.Duration) {
	rate := float64(p.demand) / interval.Seconds()
	p.age += interval
	over := min(max(p.age, leastWindow), demandWindow)
	weight := min(interval.Seconds()/over.Seconds(), 1)
	p.perSecond = max(p.perSecond+weight*(rate-p.perSecond), 0)
	p.demand = 0
	p.largest -= p.largest / 32
}

// target is how many free tokens the instance wants to hold: its demand for a
// time, but at least one usual request once there has been demand.
func (p *purse) target(ahead time.Duration) int64 {
	if p.perSecond < 1 || p.dry {
		return 0
	}
	if p.scarce {
		return int64(max(p.perSecond*scarceAhead.Seconds(), p.usual))
	}
	return int64(max(min(p.perSecond*ahead.Seconds(), p.most), p.usual))
}

// note takes in how the budget stands in the ledger.
func (p *purse) note(b Budget, instances int, now time.Time) {
	instances = max(instances, 1)
	left := b.Free()
	p.left, p.seenAt = left, now
	p.prepaid = b.Prepaid
	p.most = float64(left) / float64(mostHeldPart*instances)
	p.scarce = left < p.largest*int64(instances)
	p.dry = left < p.largest
}

// toppedUp forgets that the budget was short if more is prepaid now.
func (p *purse) toppedUp(prepaid int64) {
	if prepaid > p.prepaid {
		p.scarce, p.dry, p.seenAt = false, false, time.Time{}
	}
}

// giveBack takes tokens out of free, to be returned by the next write.
func (p *purse) giveBack(tokens int64) {
	tokens = min(tokens, p.free)
	if tokens > 0 {
		p.free -= tokens
		p.counter.Returned += tokens
	}
}

// adopt takes over a counter that the ledger shows, and returns what was drawn.
func (p *purse) adopt(counter Counter) (drawn int64) {
	drawn = max(counter.Drawn-p.counter.Drawn, 0)
	p.counter.Drawn += drawn
	p.free += drawn
	p.written = max(p.written, counter.Returned)
	return drawn
}
