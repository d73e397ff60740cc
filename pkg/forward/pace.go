package forward

import (
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// pace is when a stream's first event came and the longest time between two, from which
// on-call engineers tell why its client found it late.
type pace struct {
	first, longest time.Duration
	last           time.Time
}

// event notes that an event was delivered to a client whose request came at arrived.
func (p *pace) event(now, arrived time.Time) {
	if p.last.IsZero() {
		p.first = now.Sub(arrived)
	} else {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}

// tell adds the figures to an event's fields.
func (p *pace) tell(fields eventlog.Fields) {
	if p.last.IsZero() {
		return
	}
	fields["first_event_ms"] = p.first.Milliseconds()
	fields["longest_pause_ms"] = p.longest.Milliseconds()
}
