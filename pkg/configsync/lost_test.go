package configsync

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/pkg/store/storefake"
)

// silentStore is a store whose watches can be lost: while it is silent it takes them and
// answers none, also later; connections stand all the while.
type silentStore struct {
	*storefake.Store
	mu       sync.Mutex
	silent   bool
	document store.Object
}

func (s *silentStore) set(silent bool, version store.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if s.document.Position.Before(version) {
		s.document = store.Object{Key: DocumentPrefix + "s", Position: version, Value: documentText(int64(version.Version))}
	}
}

func (s *silentStore) get() (silent bool, document store.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent, s.document
}

// List implements store.Watcher.
func (s *silentStore) List(context.Context, string) (store.Listing, error) {
	_, document := s.get()
	return store.Listing{Objects: []store.Object{document}, Position: document.Position}, nil
}

// Watch implements store.Watcher.
func (s *silentStore) Watch(ctx context.Context, _ string, since store.Position, wait time.Duration) (store.Changes, error) {
	lost, _ := s.get()
	for range int(wait / (10 * time.Millisecond)) {
		time.Sleep(10 * time.Millisecond)
		if _, document := s.get(); !lost && since.Before(document.Position) {
			return store.Changes{Changes: []store.Change{{Object: document}}, Position: document.Position}, ctx.Err()
		}
	}
	if lost {
		time.Sleep(time.Second) // the client's own bound
		return store.Changes{}, context.DeadlineExceeded
	}
	return store.Changes{Position: since}, ctx.Err()
}

// Operators write a document after a short outage of the store, and callers are served by the
// old one for twenty seconds. The watch that was sent into the outage is never answered, and the
// instance that watches for its failure domain waits for it to its end; all others learn from it.
func TestLostWatchHidesNoDocument(t *testing.T) {
	const inForceWithin = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := &silentStore{Store: storefake.New(1)}
		s.set(false, store.At(1))
		state := NewState(func(*InForce) {})
		syncer := NewSyncer(s, state, eventlog.Discard("test"), func() bool { return true }, func() {})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { syncer.Run(ctx) })
		time.Sleep(time.Second)
		s.set(true, store.At(2)) // ends the watch under way; the next one is lost
		time.Sleep(time.Second)
		s.set(false, store.At(3))
		time.Sleep(inForceWithin)
		if f := state.Snapshot().Services["s"]; f == nil {
			t.Errorf("nothing is in force after %v", inForceWithin)
		} else if f.DocumentVersion != store.At(3) {
			t.Errorf("version %d is in force after %v", f.DocumentVersion, inForceWithin)
		}
		cancel()
		running.Wait()
	})
}
