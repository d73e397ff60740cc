package prepaid

import "time"

// Parameters of the measurement of demand.
const (
	// demandWindow is the time over which demand is averaged. Requests of one account reach one
	// instance every few seconds and cost up to ten thousand tokens, so with a shorter window
	// single requests would look like a rate.
	demandWindow = 8 * time.Second
	// minDemandWindow is the time over which the first demand is averaged, since one request in the
	// first half second is not a rate. After that the mean is over all time up to demandWindow.
	// Exponential smoothing from zero measured steady demand as two thirds of its value after three
	// seconds and nine tenths after ten, and tokens lasted that much less through an early
	// partition.
	minDemandWindow = 3 * time.Second
	// sizeSmoothing is the weight of the newest request in the typical size.
	sizeSmoothing = 0.1
	// surplusDivisor: a surplus is returned only if it exceeds 1/surplusDivisor of the tokens that
	// should be held. Tokens that moved with each write would serve no request.
	surplusDivisor = 4
)

// balance is an instance's state for one budget. Invariant: free + reserved + spent + lent +
// counter.Returned = counter.Drawn + borrowed. Tokens are deducted from free before any message or
// write that moves them is sent.
type balance struct {
	free     int64
	reserved int64
	// counter is the part of the instance's counter in the ledger that the balance includes.
	// Returned is ahead of the ledger until a write has succeeded.
	counter Counter
	// returnedInLedger is the part of counter.Returned that the ledger has recorded.
	returnedInLedger int64

	// demand is the number of tokens reserved since the last tick, minus those settled as unused;
	// perSecond is its average per second.
	demand    int64
	perSecond float64
	// measuredFor is how long demand has been measured.
	measuredFor time.Duration
	// typicalSize is the smoothed size of reservations; largest is the largest of late.
	typicalSize float64
	largest     int64

	// waiting is the number of tokens needed by the requests that wait for a write.
	waiting int64
	// asked is the number of tokens that waiting requests have asked drawers for and that have not been
	// answered; claimed is the part of free that has arrived for them with answers to others.
	asked, claimed int64

	// scarce says that the ledger, when it was last seen, had too few tokens for one request of size
	// largest at each instance that draws; depleted says that it had too few for a single one. Both
	// hold until the ledger is seen again or the account is topped up. If they expired, each instance
	// would draw the last tokens and return them again and again.
	scarce, depleted bool
	// prepaid is the prepaid amount when the ledger was last seen.
	prepaid int64
	// ledgerFree is what could be drawn from the ledger when it was last seen, at ledgerSeenAt.
	ledgerFree   int64
	ledgerSeenAt time.Time
	// keepTarget is how many tokens the drawer told this instance to hold, at keepTargetAt.
	keepTarget   int64
	keepTargetAt time.Time
	// servedPerSecond is the demand of all instances that this one draws for, numActive the number
	// of them that have any; elsewherePerSecond is the demand at all other drawers.
	servedPerSecond, elsewherePerSecond float64
	// heldByRequesters is what the instances that this one draws for had free, heldElsewhere what
	// the other drawers and those they draw for had free.
	heldByRequesters, heldElsewhere int64
	numActive                       int
	// owed is the number of tokens by which this drawer's grants since its last write fell short of
	// the requesters' keep targets.
	owed int64
	// lendersAvoidedUntil is the time until which peers are not asked for this budget.
	lendersAvoidedUntil time.Time
}

// take removes tokens from the free ones if there are enough.
func (b *balance) take(tokens int64) bool {
	if tokens > b.free {
		return false
	}
	b.free -= tokens
	return true
}

// reserve records that tokens, which were taken before, are set aside for a request.
func (b *balance) reserve(tokens int64) {
	b.reserved += tokens
	b.demand += tokens
	b.largest = max(b.largest, tokens)
	if b.typicalSize == 0 {
		b.typicalSize = float64(tokens)
	}
	b.typicalSize += sizeSmoothing * (float64(tokens) - b.typicalSize)
}

func (b *balance) settle(tokens, used int64) {
	b.reserved -= tokens
	b.free += tokens - used
	b.demand -= tokens - used
}

func (b *balance) tick(interval time.Duration) {
	b.measuredFor += interval
	if b.measuredFor <= minDemandWindow {
		b.perSecond += float64(b.demand) / minDemandWindow.Seconds()
	} else {
		rate := float64(b.demand) / interval.Seconds()
		weight := min(interval.Seconds()/min(b.measuredFor, demandWindow).Seconds(), 1)
		b.perSecond += weight * (rate - b.perSecond)
	}
	b.perSecond = max(b.perSecond, 0)
	b.demand = 0
	b.largest -= b.largest / 32
}

// target returns how many free tokens the instance wants to hold: its demand during the period
// ahead, but at least one typical request once there has been demand.
func (b *balance) target(ahead time.Duration) int64 {
	if b.perSecond < 1 || b.depleted {
		return 0
	}
	return int64(max(b.perSecond*ahead.Seconds(), b.typicalSize))
}

// holdTime returns the period of demand for which tokens of the budget are held, at most maxHold.
func (b *balance) holdTime(maxHold time.Duration) time.Duration {
	demand := b.servedPerSecond + b.elsewherePerSecond
	if demand < 1 {
		return maxHold
	}
	return holdTimeFor(time.Duration(b.knownFree()/demand*float64(time.Second)), maxHold)
}

// knownFree returns the unreserved tokens of the budget, in the ledger and at instances, as far as
// this instance knows.
func (b *balance) knownFree() float64 {
	return float64(max(b.ledgerFree, 0) + b.heldElsewhere + b.heldByRequesters + b.free)
}

// recordLedger records the ledger's view of the budget: the prepaid amount, and left, the tokens
// that may be drawn. instances is the number of instances that draw.
func (b *balance) recordLedger(prepaid, left int64, instances int, now time.Time) {
	instances = max(instances, 1)
	b.ledgerFree, b.ledgerSeenAt = left, now
	b.prepaid = prepaid
	b.scarce = left < b.largest*int64(instances)
	b.depleted = left < b.largest
}

// noteTopUp clears a recorded shortage if the prepaid amount is higher than when the ledger was last
// seen.
func (b *balance) noteTopUp(prepaid int64) {
	if prepaid > b.prepaid {
		b.scarce, b.depleted, b.ledgerSeenAt = false, false, time.Time{}
	}
}

// returnTokens takes tokens out of the free ones; the next write returns them.
func (b *balance) returnTokens(tokens int64) {
	tokens = min(tokens, b.free)
	if tokens > 0 {
		b.free -= tokens
		b.counter.Returned += tokens
	}
}

// applyCounter updates the balance from its counter in the ledger, and returns how many tokens
// were drawn and returned since.
func (b *balance) applyCounter(counter Counter) (drawn, returned int64) {
	drawn = max(counter.Drawn-b.counter.Drawn, 0)
	b.counter.Drawn += drawn
	b.free += drawn
	returned = max(counter.Returned-b.returnedInLedger, 0)
	b.returnedInLedger += returned
	return drawn, returned
}
