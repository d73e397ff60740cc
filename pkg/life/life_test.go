package life

import (
	"errors"
	"testing"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// A process that is told to stop before it could serve drains and ends all the same.
func TestStopBeforeReady(t *testing.T) {
	l := New(eventlog.Discard("p"))
	l.Stop()
	l.Done()
	if l.State() != Stopped {
		t.Errorf("state is %s", l.State())
	}
}

// Many calls fail in an outage; the log tells of its begin and its end only, and one answer
// counts as its end.
func TestOutageIsToldOnce(t *testing.T) {
	log := eventlog.Discard("p")
	tie := NewStoreTie(log)
	ends := 0
	for _, err := range []error{nil, errors.New("a"), errors.New("b"), nil, nil} {
		if tie.Note(err) {
			ends++
		}
	}
	if events := log.Recent(""); len(events) != 2 || ends != 1 || !tie.Up() {
		t.Errorf("%d events, %d ends", len(events), ends)
	}
}
