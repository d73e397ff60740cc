package follow

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// manner is how a store treats a call.
type manner int

const (
	storeAnswers manner = iota
	storeRefuses
	storeThrottles
	storeResets
	storeSilent
	storeSlow
	storeLossy
)

// worldStore is a store of several kinds in virtual time.
type worldStore struct {
	store.Store
	mu       sync.Mutex
	revision store.Version
	// floor is the version up to which changes are forgotten, deaf says that watches hear nothing.
	floor store.Version
	deaf  bool
	// changes holds all changes of a kind, objects what stands.
	changes map[string][]store.Change
	objects map[string]map[string]store.Object
	woken   chan struct{}
	manner  manner
	calls   int
	out     queue
}

func newWorldStore() *worldStore {
	s := &worldStore{
		revision: 1, changes: map[string][]store.Change{}, objects: map[string]map[string]store.Object{}, woken: make(chan struct{}),
	}
	for _, kind := range worldKinds {
		s.objects[kind] = map[string]store.Object{}
	}
	return s
}

// write changes one object, or deletes it where the value is nil, and returns the position.
func (s *worldStore) write(kind, name string, value []byte) store.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	position := store.At(s.revision)
	object := store.Object{Key: kind + "/" + name, Position: position, Value: value}
	s.changes[kind] = append(s.changes[kind], store.Change{Object: object, Deleted: value == nil})
	if value == nil {
		delete(s.objects[kind], object.Key)
	} else {
		s.objects[kind][object.Key] = object
	}
	if !s.deaf {
		s.wake()
	}
	return position
}

// wake has waiting watches look again; s.mu is held.
func (s *worldStore) wake() {
	close(s.woken)
	s.woken = make(chan struct{})
}

// dropHistory makes watches deaf for a second and forgets the changes of that time.
func (s *worldStore) dropHistory(ctx context.Context) {
	s.mu.Lock()
	s.deaf = true
	s.mu.Unlock()
	pause.For(ctx, time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf, s.floor = false, s.revision
	s.wake()
}

func (s *worldStore) set(m manner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manner = m
}

func (s *worldStore) called() manner {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.manner
}

func (s *worldStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *worldStore) list(kind string) store.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := store.Listing{Position: store.At(s.revision)}
	for _, object := range s.objects[kind] {
		list.Objects = append(list.Objects, object)
	}
	return list
}

// after returns what a watch is told now, and a channel that closes when that may differ.
func (s *worldStore) after(kind string, since store.Version) (store.Changes, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deaf {
		return store.Changes{Position: store.At(since)}, s.woken, nil
	}
	if since < s.floor {
		return store.Changes{}, nil, store.ErrHistoryGone
	}
	changes := store.Changes{Position: store.At(s.revision)}
	for _, change := range s.changes[kind] {
		if change.Object.Position.Version > since {
			changes.Changes = append(changes.Changes, change)
		}
	}
	return changes, s.woken, nil
}
