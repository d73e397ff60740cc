package budget

import (
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
)

// lot is a spender's part of a grant. Invariant:
// used + returned + reserved ≤ allocated, and the first two only grow.
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

func (l *lot) dirty() bool { return l.used != l.reportedUsed || l.returned != l.reportedReturned }

// finished reports that nothing of the lot is left to spend or report.
func (l *lot) finished() bool { return l.free() == 0 && l.reserved == 0 && !l.dirty() }

// position is what a spender has of one budget.
type position struct {
	lots      []*lot
	seq       uint64
	demand    int64   // tokens reserved since the last tick
	perSecond float64 // smoothed demand, tokens a second
	idle      int     // ticks without demand
	gather    sync.Mutex
	deniedAt  time.Time
	denied    *ShortError // what the last search in vain found
}

func (p *position) free() int64 {
	var free int64
	for _, l := range p.lots {
		free += l.free()
	}
	return free
}

func (p *position) take(tokens int64, into *Reservation) bool {
	for _, l := range p.lots {
		if l.free() >= tokens {
			into.add(l, tokens)
			return true
		}
	}
	return p.takeFromSeveral(tokens, into)
}

func (p *position) takeFromSeveral(tokens int64, into *Reservation) bool {
	if p.free() < tokens {
		return false
	}
	missing := tokens
	for _, l := range p.lots {
		if l.free() <= 0 || into.count == maxParts {
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

func (p *position) merge(told *budgetpb.Lot) {
	for _, l := range p.lots {
		if l.grant == told.Grant {
			l.allocated = max(l.allocated, told.Allocated)
			l.witness = told.Witness
			return
		}
	}
	if told.Allocated == 0 {
		return
	}
	p.lots = append(p.lots, &lot{
		grant:     told.Grant,
		holder:    told.Holder,
		witness:   told.Witness,
		allocated: told.Allocated,
	})
}

// giveBack returns free tokens beyond keep. A returned token is counted as
// returned before the message that says so is sent: if it is lost the token
// is nobody's for a while, never two instances'.
func (p *position) giveBack(keep int64) {
	surplus := p.free() - keep
	for _, l := range p.lots {
		share := min(surplus, l.free())
		if share > 0 {
			l.returned += share
			surplus -= share
		}
	}
}

// idleTicksBeforeReturn is how long an unused lot is kept.
const idleTicksBeforeReturn = 15

func (p *position) smooth(interval time.Duration) {
	perSecond := float64(p.demand) / interval.Seconds()
	p.perSecond += tickSmoothing * (perSecond - p.perSecond)
	p.idle++
	if p.demand > 0 {
		p.idle = 0
	}
	p.demand = 0
}

// quiet reports that ticks have nothing to do until the budget is used again.
func (p *position) quiet() bool {
	if p.idle < idleTicksBeforeReturn {
		return false
	}
	for _, l := range p.lots {
		if !l.finished() {
			return false
		}
	}
	p.perSecond = 0
	return true
}
