package forward

import (
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// streamTiming records how long a stream's first event took and the longest pause between two
// events. From these, on-call engineers see why the client found the stream slow.
type streamTiming struct {
	firstEvent, longestPause time.Duration
	lastEventAt              time.Time
}

// recordEvent records that an event was delivered to a client whose request came at arrived.
func (t *streamTiming) recordEvent(now, arrived time.Time) {
	if t.lastEventAt.IsZero() {
		t.firstEvent = now.Sub(arrived)
	} else {
		t.longestPause = max(t.longestPause, now.Sub(t.lastEventAt))
	}
	t.lastEventAt = now
}

// addFields adds the timing to the fields of a log event; nothing if no stream event was delivered.
func (t *streamTiming) addFields(fields eventlog.Fields) {
	if t.lastEventAt.IsZero() {
		return
	}
	fields["first_event_ms"] = t.firstEvent.Milliseconds()
	fields["longest_pause_ms"] = t.longestPause.Milliseconds()
}
