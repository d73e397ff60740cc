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

// Many calls fail in an outage; the log tells of its begin and its end only.
func TestOutageIsToldOnce(t *testing.T) {
	log := eventlog.Discard("p")
	tie := NewStoreTie(log)
	for _, err := range []error{nil, errors.New("a"), errors.New("b"), nil, nil} {
		tie.Note(err)
	}
	if events := log.Recent(""); len(events) != 2 || !tie.Up() {
		t.Errorf("%d events", len(events))
	}
}
