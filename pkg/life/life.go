// Package life is the course of one process, from its start to its planned stop,
// and of its tie to the store, as they are told in the event log.
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

// Triggers between them.
const (
	triggerSynced = "synced"
	triggerStop   = "stop"
	triggerDone   = "done"
)

// Life is the state of one process. Its owner calls Synced at most once, then
// Stop, then Done.
type Life struct{ machine *stateless.StateMachine }

// New returns the life of a process that is starting.
func New(log *eventlog.Log) *Life {
	tell := func(number eventlog.Number) func(context.Context, ...any) error {
		return func(context.Context, ...any) error {
			log.Event(number, "", nil)
			return nil
		}
	}
	machine := stateless.NewStateMachine(Starting)
	machine.Configure(Starting).Permit(triggerSynced, Ready).Permit(triggerStop, Draining)
	machine.Configure(Ready).OnEntry(tell(eventlog.InstanceReady)).Permit(triggerStop, Draining)
	machine.Configure(Draining).OnEntry(tell(eventlog.InstanceDraining)).Permit(triggerDone, Stopped)
	machine.Configure(Stopped).OnEntry(tell(eventlog.InstanceStopped))
	return &Life{machine: machine}
}

// Synced says that the process may serve.
func (l *Life) Synced() { l.fire(triggerSynced) }

// Stop says that a planned stop has begun.
func (l *Life) Stop() { l.fire(triggerStop) }

// Done says that nothing is left to be done.
func (l *Life) Done() { l.fire(triggerDone) }

// fire moves on. The owner calls each once and in order, so none is refused.
func (l *Life) fire(trigger string) { _ = l.machine.Fire(trigger) }

// State returns the present state.
func (l *Life) State() string { return l.machine.MustState().(string) }

// StoreTie tells in the log when the store stops and starts to answer. It is safe
// for concurrent use.
type StoreTie struct {
	log *eventlog.Log

	mu sync.Mutex
	up bool
}

// NewStoreTie returns a tie that counts as standing.
func NewStoreTie(log *eventlog.Log) *StoreTie { return &StoreTie{log: log, up: true} }

// Note takes the result of a call, nil if the store answered it, and reports whether this
// ended an outage: of many calls that are answered at once, for one only.
func (s *StoreTie) Note(err error) (back bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	up := err == nil
	if up == s.up {
		return false
	}
	s.up = up
	if up {
		s.log.Event(eventlog.StoreReachable, "", nil)
	} else {
		s.log.Event(eventlog.StoreUnreachable, "", eventlog.Fields{"cause": err.Error()})
	}
	return up
}

// Up reports whether the last call was answered.
func (s *StoreTie) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up
}
