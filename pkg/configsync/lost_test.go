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

// unresponsiveStore is a store that can lose watches: a watch that arrives while it is unresponsive is
// never answered, not even after it has recovered. Connections stay open throughout.
type unresponsiveStore struct {
	*storefake.Store
	mu           sync.Mutex
	unresponsive bool
	document     store.Object
}

func (s *unresponsiveStore) set(unresponsive bool, version store.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = unresponsive
	if s.document.Position.Before(version) {
		s.document = store.Object{Key: DocumentPrefix + "s", Position: version, Value: documentText(int64(version.Version))}
	}
}

func (s *unresponsiveStore) get() (unresponsive bool, document store.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unresponsive, s.document
}

// List implements store.Watcher.
func (s *unresponsiveStore) List(context.Context, string) (store.Listing, error) {
	_, document := s.get()
	return store.Listing{Objects: []store.Object{document}, Position: document.Position}, nil
}

// Watch implements store.Watcher.
func (s *unresponsiveStore) Watch(ctx context.Context, _ string, since store.Position, wait time.Duration) (store.Changes, error) {
	lost, _ := s.get()
	for range int(wait / (10 * time.Millisecond)) {
		time.Sleep(10 * time.Millisecond)
		if _, document := s.get(); !lost && since.Before(document.Position) {
			return store.Changes{Changes: []store.Change{{Object: document}}, Position: document.Position}, ctx.Err()
		}
	}
	if lost {
		time.Sleep(time.Second) // the store client's own timeout
		return store.Changes{}, context.DeadlineExceeded
	}
	return store.Changes{Position: since}, ctx.Err()
}

// A watch that is sent during a short outage of the store is never answered. If the instance that
// watches for its failure domain waited long for that answer, a document written after the outage
// would come into force late, on all instances that learn of it from this one. With a watch timeout
// of 20 s, clients were served by the old document for that long.
func TestLostWatchHidesNoDocument(t *testing.T) {
	const inForceWithin = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := &unresponsiveStore{Store: storefake.New(1)}
		s.set(false, store.At(1))
		state := NewState(func(*ActiveDocument) {})
		syncer := NewSyncer(s, state, eventlog.Discard("test"), func() bool { return true }, func() {})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { syncer.Run(ctx) })
		time.Sleep(time.Second)
		s.set(true, store.At(2)) // answers the watch in progress; the next one is lost
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
