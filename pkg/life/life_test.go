package life

import (
	"errors"
	"testing"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// A process that is stopped before it could serve must still drain and end.
func TestStopBeforeReady(t *testing.T) {
	l := New(eventlog.Discard("p"))
	l.Stop()
	l.Done()
	if l.State() != Stopped {
		t.Errorf("state after the stop is %s, want stopped", l.State())
	}
}

// Many calls fail during an outage. Only its start and its end must be logged, and only the first
// answer must count as its end.
func TestOutageIsToldOnce(t *testing.T) {
	log := eventlog.Discard("p")
	monitor := NewStoreMonitor(log)
	ends := 0
	for _, err := range []error{nil, errors.New("a"), errors.New("b"), nil, nil} {
		if monitor.Record(err) {
			ends++
		}
	}
	if events := log.Recent(""); len(events) != 2 || ends != 1 || !monitor.Available() {
		t.Errorf("%d events logged, expected 2; %d ends of the outage, expected 1", len(events), ends)
	}
}
