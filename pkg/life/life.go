// Package life tracks and logs the lifecycle of a process, from its start to its planned
// stop, and whether the store is available to it.
package life

import (
	"context"
	"sync"

	"github.com/qmuntal/stateless"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// States of a process.
const (
	Starting = "starting"
	Ready    = "ready"
	Draining = "draining"
	Stopped  = "stopped"
)

// Triggers of the transitions between states.
const (
	triggerSynced = "synced"
	triggerStop   = "stop"
	triggerDone   = "done"
)

// Lifecycle is the state machine of a process. Its owner calls Synced at most once, then
// Stop, then Done.
type Lifecycle struct{ machine *stateless.StateMachine }

// New returns the lifecycle of a process that is starting.
func New(log *eventlog.Log) *Lifecycle {
	logEvent := func(number eventlog.Number) func(context.Context, ...any) error {
		return func(context.Context, ...any) error {
			log.Event(number, "", nil)
			return nil
		}
	}
	machine := stateless.NewStateMachine(Starting)
	machine.Configure(Starting).Permit(triggerSynced, Ready).Permit(triggerStop, Draining)
	machine.Configure(Ready).OnEntry(logEvent(eventlog.InstanceReady)).Permit(triggerStop, Draining)
	machine.Configure(Draining).OnEntry(logEvent(eventlog.InstanceDraining)).Permit(triggerDone, Stopped)
	machine.Configure(Stopped).OnEntry(logEvent(eventlog.InstanceStopped))
	return &Lifecycle{machine: machine}
}

// Synced reports that the process can serve.
func (l *Lifecycle) Synced() { l.fire(triggerSynced) }

// Stop reports that a planned stop has begun.
func (l *Lifecycle) Stop() { l.fire(triggerStop) }

// Done reports that the planned stop is complete.
func (l *Lifecycle) Done() { l.fire(triggerDone) }

// fire makes a transition. The owner triggers each at most once and in order, so none is rejected.
func (l *Lifecycle) fire(trigger string) { _ = l.machine.Fire(trigger) }

// State returns the current state.
func (l *Lifecycle) State() string { return l.machine.MustState().(string) }

// StoreMonitor logs when the store stops answering and when it answers again. It is safe
// for concurrent use.
type StoreMonitor struct {
	log *eventlog.Log

	mu        sync.Mutex
	available bool
}

// NewStoreMonitor returns a monitor that takes the store to be available at first.
func NewStoreMonitor(log *eventlog.Log) *StoreMonitor {
	return &StoreMonitor{log: log, available: true}
}

// Record records the result of a call, nil if the store answered it, and reports whether this
// ended an outage. If many calls are answered at once, it reports so for only one of them.
func (s *StoreMonitor) Record(err error) (recovered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	available := err == nil
	if available == s.available {
		return false
	}
	s.available = available
	if available {
		s.log.Event(eventlog.StoreReachable, "", nil)
	} else {
		s.log.Event(eventlog.StoreUnreachable, "", eventlog.Fields{"cause": err.Error()})
	}
	return available
}

// Available reports whether the store answered the last call.
func (s *StoreMonitor) Available() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available
}
