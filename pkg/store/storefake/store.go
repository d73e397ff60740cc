// Package storefake is an in-memory object store with seeded faults, for tests
// of the duties that write to the platform.
package storefake

import (
	"context"
	"errors"
	"math/rand/v2"
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
	// Down makes every call fail without effect.
	down bool
	// lose is the probability that a write takes effect and its answer is lost.
	lose float64
	// Between, if set, runs before each write with a given probability.
	between func()
	nested  bool
	chance  float64
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
		return store.Object{}, store.ErrNotFound
	}
	return object, nil
}

// Put implements store.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, expect store.Position) (store.Position, error) {
	s.interleave()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.NoPosition, errDown
	}
	if s.objects[key].Position != expect {
		return store.NoPosition, store.ErrConflict
	}
	s.version++
	s.objects[key] = store.Object{Key: key, Position: store.At(s.version), Value: append([]byte(nil), value...)}
	if s.rng.Float64() < s.lose {
		return store.NoPosition, store.ErrUncertain
	}
	return store.At(s.version), nil
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
