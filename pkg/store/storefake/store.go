// Package storefake is an in-memory object store with seeded faults, for tests
// of the duties that write to the platform.
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

// errDown is the fault of a store that is away.
var errDown = errors.New("store is down")

// Store implements store.Store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rng     *rand.Rand
	objects map[string]store.Object
	version store.Version
	// era is the store's; past holds what stood before each write.
	era  store.Era
	past []snapshot
	// Down makes every call fail without effect.
	down bool
	// lose is the probability that a write takes effect and its answer is lost.
	lose float64
	// Between, if set, runs before each write with a given probability.
	between func()
	nested  bool
	chance  float64
}

// snapshot is the store as it was.
type snapshot struct {
	objects map[string]store.Object
	version store.Version
}

// GoBack puts the store back behind some writes, under the next era.
func (s *Store) GoBack(writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if writes = min(writes, len(s.past)); writes > 0 {
		at := s.past[len(s.past)-writes]
		s.objects, s.version = maps.Clone(at.objects), at.version
		s.past = s.past[:len(s.past)-writes]
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
			list.Objects = append(list.Objects, s.inEra(object))
		}
	}
	return list, nil
}

// inEra returns an object at the position that the present era gives it; s.mu is held.
func (s *Store) inEra(object store.Object) store.Object {
	object.Position.Era = s.era
	return object
}

// New returns an empty store.
func New(seed uint64) *Store {
	return &Store{rng: rand.New(rand.NewPCG(seed, 3)), objects: map[string]store.Object{}}
}

// SetFaults switches an outage and the probability of lost answers.
func (s *Store) SetFaults(down bool, lose float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.lose = down, lose
}

// SetBetween runs a function before writes with a probability; not within itself.
func (s *Store) SetBetween(chance float64, between func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chance, s.between = chance, between
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
	return s.inEra(object), nil
}

// Put implements store.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, expect store.Position) (store.Position, error) {
	s.interleave()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.NoPosition, errDown
	}
	if expect.Era < s.era || s.objects[key].Position.Version != expect.Version {
		return store.NoPosition, store.ErrConflict
	}
	s.past = append(s.past, snapshot{objects: maps.Clone(s.objects), version: s.version})
	s.version++
	s.objects[key] = store.Object{Key: key, Position: store.At(s.version), Value: append([]byte(nil), value...)}
	if s.rng.Float64() < s.lose {
		return store.NoPosition, store.ErrUncertain
	}
	return store.Position{Era: s.era, Version: s.version}, nil
}

func (s *Store) interleave() {
	s.mu.Lock()
	run := s.between != nil && !s.nested && s.rng.Float64() < s.chance
	s.nested = s.nested || run
	s.mu.Unlock()
	if !run {
		return
	}
	s.between()
	s.mu.Lock()
	s.nested = false
	s.mu.Unlock()
}

// Objects returns all objects.
func (s *Store) Objects() []store.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]store.Object, 0, len(s.objects))
	for _, object := range s.objects {
		out = append(out, object)
	}
	return out
}
