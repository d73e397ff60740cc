// Package storefake is an in-memory object store with seeded random faults, for
// tests of packages that write to the platform's store.
package storefake

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// errDown is the error of all calls during an outage.
var errDown = errors.New("store is down")

// Store implements store.Lister. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rng     *rand.Rand
	objects map[string]store.Object
	version store.Version
	// era increases with each RollBack; snapshots holds the contents before each write.
	era       store.Era
	snapshots []snapshot
	// down makes every call fail without effect.
	down bool
	// lostAnswerProbability is the probability that a write takes effect but returns
	// ErrUncertain.
	lostAnswerProbability float64
	// beforeWrite, if set, runs before each write with the probability
	// beforeWriteProbability; inBeforeWrite is true while it runs.
	beforeWrite            func()
	inBeforeWrite          bool
	beforeWriteProbability float64
}

// snapshot holds the store's contents at one time.
type snapshot struct {
	objects map[string]store.Object
	version store.Version
}

// RollBack undoes the last writes and starts the next era.
func (s *Store) RollBack(writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if writes = min(writes, len(s.snapshots)); writes > 0 {
		at := s.snapshots[len(s.snapshots)-writes]
		s.objects, s.version = maps.Clone(at.objects), at.version
		s.snapshots = s.snapshots[:len(s.snapshots)-writes]
	}
	s.era = max(s.era, store.FirstEra) + 1
}

// List implements store.Lister.
func (s *Store) List(_ context.Context, kind string) (store.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Listing{}, errDown
	}
	list := store.Listing{Position: store.Position{Era: s.era, Version: s.version}}
	for key, object := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			list.Objects = append(list.Objects, s.withPresentEra(object))
		}
	}
	return list, nil
}

// withPresentEra returns an object with the present era in its position. The caller holds s.mu.
func (s *Store) withPresentEra(object store.Object) store.Object {
	object.Position.Era = s.era
	return object
}

// New returns an empty store.
func New(seed uint64) *Store {
	return &Store{rng: rand.New(rand.NewPCG(seed, 3)), objects: map[string]store.Object{}}
}

// SetFaults sets whether there is an outage, and the probability of lost answers.
func (s *Store) SetFaults(down bool, lostAnswerProbability float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.lostAnswerProbability = down, lostAnswerProbability
}

// SetBeforeWrite sets a function that runs before each write with a probability, but not before writes
// made while it runs.
func (s *Store) SetBeforeWrite(probability float64, beforeWrite func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeWriteProbability, s.beforeWrite = probability, beforeWrite
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, key string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Object{}, errDown
	}
	object, found := s.objects[key]
	if !found {
		return store.Object{Key: key, Position: store.Position{Era: s.era}}, store.ErrNotFound
	}
	return s.withPresentEra(object), nil
}

// Put implements store.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, expect store.Position) (store.Position, error) {
	s.runBeforeWrite()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.NoPosition, errDown
	}
	if expect.Era < s.era || s.objects[key].Position.Version != expect.Version {
		return store.NoPosition, store.ErrConflict
	}
	s.snapshots = append(s.snapshots, snapshot{objects: maps.Clone(s.objects), version: s.version})
	s.version++
	s.objects[key] = store.Object{Key: key, Position: store.At(s.version), Value: append([]byte(nil), value...)}
	if s.rng.Float64() < s.lostAnswerProbability {
		return store.NoPosition, store.ErrUncertain
	}
	return store.Position{Era: s.era, Version: s.version}, nil
}

// runBeforeWrite runs the function of SetBeforeWrite with its probability.
func (s *Store) runBeforeWrite() {
	s.mu.Lock()
	run := s.beforeWrite != nil && !s.inBeforeWrite && s.rng.Float64() < s.beforeWriteProbability
	s.inBeforeWrite = s.inBeforeWrite || run
	s.mu.Unlock()
	if !run {
		return
	}
	s.beforeWrite()
	s.mu.Lock()
	s.inBeforeWrite = false
	s.mu.Unlock()
}

// Objects returns all objects, in no particular order.
func (s *Store) Objects() []store.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]store.Object, 0, len(s.objects))
	for _, object := range s.objects {
		out = append(out, object)
	}
	return out
}
