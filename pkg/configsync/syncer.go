package configsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Timeouts and intervals of the calls to the store.
const (
	// watchTimeout bounds one long-polling watch. If its answer is lost, the connection stays
	// open, so that only this timeout reveals the loss. Together with the store client's timeout
	// (1 s) and retryInterval it stays within the 4 s in which a document must come into force.
	// With eight failure domains this costs 4 calls a second; 20 s would cost 0.4.
	watchTimeout = 2 * time.Second
	// pollInterval is how often an instance that does not watch reads the store, in case a
	// peer's notification was lost.
	pollInterval = 30 * time.Second
	// retryInterval is the delay after a failed call to the store.
	retryInterval = 500 * time.Millisecond
	// roleCheckInterval is how often an instance that does not watch checks whether it should.
	roleCheckInterval = time.Second
)

// Syncer updates a State from the store and from peers.
type Syncer struct {
	store       store.Watcher
	state       *State
	log         *eventlog.Log
	isWatcher   func() bool
	notifyPeers func()
}

// NewSyncer returns a syncer. isWatcher reports whether this instance should
// watch the store. notifyPeers is called after a document or a change of the
// emptied domains has come into force.
func NewSyncer(source store.Watcher, state *State, log *eventlog.Log, isWatcher func() bool, notifyPeers func()) *Syncer {
	return &Syncer{store: source, state: state, log: log, isWatcher: isWatcher, notifyPeers: notifyPeers}
}

// Load reads all objects from the store once and applies them.
func (s *Syncer) Load(ctx context.Context) error {
	_, err := s.load(ctx)
	return err
}

// load reads and applies all objects and returns the store position of the listing.
func (s *Syncer) load(ctx context.Context) (store.Position, error) {
	list, err := s.store.List(ctx, Kind)
	if err != nil {
		return store.NoPosition, err
	}
	s.handleObjects(ctx, list.Objects)
	return list.Position, nil
}

// Run watches or polls the store until ctx ends. Only a few instances watch,
// because each pending watch counts as a call to the store; the others receive
// changes from peers.
func (s *Syncer) Run(ctx context.Context) {
	lastPoll := time.Now()
	since := store.NoPosition
	for ctx.Err() == nil {
		if s.isWatcher() {
			since = s.watchOnce(ctx, since)
			continue
		}
		since = store.NoPosition
		if time.Since(lastPoll) >= pollInterval {
			lastPoll = time.Now().Add(rand.N(pollInterval / 4))
			_ = s.Load(ctx)
		}
		pause.For(ctx, roleCheckInterval)
	}
}

func (s *Syncer) watchOnce(ctx context.Context, since store.Position) store.Position {
	if since == store.NoPosition {
		listed, err := s.load(ctx)
		if err != nil {
			pause.For(ctx, retryInterval)
			return since
		}
		since = listed
	}
	answer, err := s.store.Watch(ctx, Kind, since, watchTimeout)
	if errors.Is(err, store.ErrHistoryGone) {
		return store.NoPosition
	}
	if err != nil {
		s.log.Event(eventlog.WatchFailed, "", eventlog.Fields{"copy": Kind, "cause": err.Error()})
		pause.For(ctx, retryInterval)
		return since
	}
	var changed []store.Object
	for _, change := range answer.Changes {
		if !change.Deleted {
			changed = append(changed, change.Object)
		}
	}
	s.handleObjects(ctx, changed)
	return store.Later(answer.Position, since)
}

// handleObjects applies the emptied domains and the accepted documents first, so that
// an instance that starts late does not accept a document again.
func (s *Syncer) handleObjects(ctx context.Context, objects []store.Object) {
	for _, object := range objects {
		if object.Key == EmptiedDomainsKey {
			s.handleEmptiedDomains(object)
		}
		if strings.HasPrefix(object.Key, AcceptedPrefix) {
			if accepted, err := DecodeAccepted(object.Value); err == nil {
				_, _ = s.apply(accepted)
			}
		}
	}
	for _, object := range objects {
		if strings.HasPrefix(object.Key, DocumentPrefix) && s.isNewer(object) {
			_ = s.Accept(ctx, object) // retried at the next watch or poll
		}
	}
}

func (s *Syncer) logRejected(err error) {
	s.log.Event(eventlog.ConfigRejected, "", eventlog.Fields{"reason": err.Error()})
}

func (s *Syncer) isNewer(object store.Object) bool {
	f := s.state.Snapshot().Services[strings.TrimPrefix(object.Key, DocumentPrefix)]
	return f == nil || f.DocumentVersion.Before(object.Position)
}

// Apply applies an accepted document received from a peer.
func (s *Syncer) Apply(a Accepted) { _, _ = s.apply(a) }

func (s *Syncer) apply(a Accepted) (bool, error) {
	applied, err := s.state.Apply(a)
	if err != nil || !applied {
		return applied, err
	}
	s.log.Event(eventlog.ConfigInForce, "", eventlog.Fields{"service": a.Service, "generation": a.Generation})
	s.notifyPeers()
	return true, nil
}
