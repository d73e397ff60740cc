package budget

import (
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
)

// lot is the part of a grant that is allocated to this spender. Invariant:
// used + returned + reserved ≤ allocated, and used and returned only increase.
type lot struct {
	grant, holder, witness string
	allocated              int64
	used                   int64
	returned               int64
	reserved               int64
	reportedUsed           int64
	reportedReturned       int64
}

func (l *lot) free() int64 { return l.allocated - l.used - l.returned - l.reserved }

func (l *lot) unreported() bool { return l.used != l.reportedUsed || l.returned != l.reportedReturned }

// finished reports whether the lot has no tokens left to spend, settle or report.
func (l *lot) finished() bool { return l.free() == 0 && l.reserved == 0 && !l.unreported() }

// balance is a spender's state for one budget.
type balance struct {
	lots       []*lot
	seq        uint64
	demand     int64   // tokens reserved since the last tick
	demandRate float64 // smoothed, in tokens per second
	idleTicks  int     // consecutive ticks without demand
	searchMu   sync.Mutex
	deniedAt   time.Time
	lastDenial *ShortError // result of the last search that found too few tokens
}

func (b *balance) free() int64 {
	var free int64
	for _, l := range b.lots {
		free += l.free()
	}
	return free
}

func (b *balance) reserve(tokens int64, into *Reservation) bool {
	for _, l := range b.lots {
		if l.free() >= tokens {
			into.add(l, tokens)
			return true
		}
	}
	return b.reserveFromSeveral(tokens, into)
}

func (b *balance) reserveFromSeveral(tokens int64, into *Reservation) bool {
	if b.free() < tokens {
		return false
	}
	missing := tokens
	for _, l := range b.lots {
		if l.free() <= 0 || into.numParts == maxParts {
			continue
		}
		share := min(l.free(), missing)
		into.add(l, share)
		missing -= share
	}
	if missing > 0 {
		into.release()
		return false
	}
	return true
}

func (b *balance) merge(received *budgetpb.Lot) {
	for _, l := range b.lots {
		if l.grant == received.Grant {
			l.allocated = max(l.allocated, received.Allocated)
			l.witness = received.Witness
			return
		}
	}
	if received.Allocated == 0 {
		return
	}
	b.lots = append(b.lots, &lot{
		grant:     received.Grant,
		holder:    received.Holder,
		witness:   received.Witness,
		allocated: received.Allocated,
	})
}

// returnSurplus returns the free tokens beyond keep. They count as returned before
// the report that says so is sent. If the report is lost, no instance can spend
// them until the next report, but never can two instances.
func (b *balance) returnSurplus(keep int64) {
	surplus := b.free() - keep
	for _, l := range b.lots {
		share := min(surplus, l.free())
		if share > 0 {
			l.returned += share
			surplus -= share
		}
	}
}

// idleTicksBeforeReturn is the number of ticks for which an unused lot is kept.
const idleTicksBeforeReturn = 15

func (b *balance) smoothDemand(interval time.Duration) {
	perSecond := float64(b.demand) / interval.Seconds()
	b.demandRate += demandSmoothingFactor * (perSecond - b.demandRate)
	b.idleTicks++
	if b.demand > 0 {
		b.idleTicks = 0
	}
	b.demand = 0
}

// inactive reports whether ticks have nothing to do until the budget is used
// again.
func (b *balance) inactive() bool {
	if b.idleTicks < idleTicksBeforeReturn {
		return false
	}
	for _, l := range b.lots {
		if !l.finished() {
			return false
		}
	}
	b.demandRate = 0
	return true
}
