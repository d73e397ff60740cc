package follow

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Parameters of the stores in these tests.
const (
	// answerTime is how long a healthy store takes to answer, slowAnswerTime a slow one.
	answerTime     = 4 * time.Millisecond
	slowAnswerTime = 250 * time.Millisecond
	// clientTimeout is how long past a watch's wait the store's client waits.
	clientTimeout = time.Second
	// maxStaleness is how old a copy may be while the store answers, and settleTime how long after
	// an outage this holds again: the bounds that the users' deployments set.
	maxStaleness = 2 * time.Second
	settleTime   = 3 * time.Second
)

// lossyStore is a store of one kind in virtual time. While it loses answers it accepts every call
// and never answers it, not even afterwards; connections stay up meanwhile.
type lossyStore struct {
	store.Store
	answerTime time.Duration
	mu         sync.Mutex
	revision   store.Position
	losing     bool
	changed    chan struct{}
	// calls counts the watches, lists the lists.
	calls, lists int
	// value is the value of every change.
	value []byte
}

func newLossyStore() *lossyStore {
	return &lossyStore{answerTime: answerTime, revision: store.At(1), changed: make(chan struct{})}
}

func (s *lossyStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Version++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *lossyStore) loseAnswers(losing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing = losing
}

func (s *lossyStore) state() (revision store.Position, changed chan struct{}, losing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.changed, s.losing
}

// awaitLostAnswer waits until a call without an answer times out. It uses a plain timer: thousands
// of contexts with timeouts in virtual time crashed the race detector, in its record of the timers'
// callbacks (time.goFunc).
func awaitLostAnswer(ctx context.Context, wait time.Duration) error {
	pause.For(ctx, wait+clientTimeout)
	return context.DeadlineExceeded
}

// List implements store.Watcher.
func (s *lossyStore) List(ctx context.Context, _ string) (store.Listing, error) {
	s.mu.Lock()
	s.lists++
	s.mu.Unlock()
	time.Sleep(s.answerTime)
	revision, _, losing := s.state()
	if losing {
		return store.Listing{}, awaitLostAnswer(ctx, 0)
	}
	list := store.Listing{Position: revision}
	if store.At(1).Before(revision) { // the object that each change writes
		list.Objects = []store.Object{{Position: revision, Value: s.value}}
	}
	return list, nil
}

// Watch implements store.Watcher.
func (s *lossyStore) Watch(ctx context.Context, _ string, since store.Position, wait time.Duration) (store.Changes, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	time.Sleep(s.answerTime)
	_, _, swallowed := s.state()
	deadline := time.After(wait)
	for {
		revision, changed, losing := s.state()
		if revision.Era != since.Era && !losing && !swallowed {
			return store.Changes{}, store.ErrHistoryGone
		}
		if swallowed || (losing && since.Before(revision)) {
			return store.Changes{}, awaitLostAnswer(ctx, wait)
		}
		if since.Before(revision) {
			return store.Changes{Position: revision, Changes: []store.Change{{Object: store.Object{Position: revision, Value: s.value}}}}, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return store.Changes{Position: revision}, nil
		case <-ctx.Done():
			return store.Changes{}, ctx.Err()
		}
	}
}

// versionRecorder is a Copy that records the highest version it has received.
type versionRecorder struct {
	mu      sync.Mutex
	version store.Position
}

func (r *versionRecorder) Replace(list store.Listing)  { r.record(list.Position) }
func (r *versionRecorder) Apply(changes store.Changes) { r.record(changes.Position) }

func (r *versionRecorder) record(version store.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = store.Later(r.version, version)
}

func (r *versionRecorder) get() store.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Guards against a follower that waits for a lost answer. When the store loses its answers for six
// seconds, a watch sent during that time, or ended by a change during it, is never answered. The
// connection stays up and keep-alive probes detect nothing, so the follower waited 32 s without
// another call, 20 s of them after the store had recovered. Meanwhile a client was served by a route
// dropped 2.6 s before, and an upstream that had left still got requests.
func TestLostAnswerHidesNoChange(t *testing.T) {
	cases := []struct {
		description string
		// before is when the last change before the outage is made; the next watch follows 0.3 s
		// later.
		before time.Duration
		// during is when a change is made during the outage; 0 for none.
		during time.Duration
	}{
		{"the watch is sent into the outage", 4900 * time.Millisecond, 0},
		{"the watch is answered within the outage", 2 * time.Second, 6 * time.Second},
		{"both", 4900 * time.Millisecond, 6 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, recorder := newLossyStore(), &versionRecorder{}
				f := &Follower{Store: s, Kind: "k", Copy: recorder, OnCallFailed: func(error) {}, OnStoreRecovered: func(bool) {}}
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { f.Run(ctx) })
				began := time.Now()
				at := func(moment time.Duration, do func()) {
					time.Sleep(time.Until(began.Add(moment)))
					do()
				}
				at(c.before, s.change)
				at(5*time.Second, func() { s.loseAnswers(true) })
				if c.during > 0 {
					at(c.during, s.change)
				}
				at(11*time.Second, func() { s.loseAnswers(false) })
				at(11*time.Second+settleTime-maxStaleness, s.change)
				at(11*time.Second+settleTime, func() {
					if want, _, _ := s.state(); recorder.get() != want {
						t.Errorf("the copy is at version %d of %d, %v after the outage", recorder.get(), want, settleTime)
					}
				})
				cancel()
				running.Wait()
			})
		})
	}
}

func (s *lossyStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}
