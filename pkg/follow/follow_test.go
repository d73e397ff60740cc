package follow

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// scriptedStore is a store whose watches return a list of answers, one after the other.
type scriptedStore struct {
	store.Store
	lists       int
	watches     []scriptedAnswer
	watchedFrom []store.Position
}

type scriptedAnswer struct {
	changes store.Changes
	err     error
}

// List implements store.Watcher.
func (s *scriptedStore) List(context.Context, string) (store.Listing, error) {
	s.lists++
	return store.Listing{Position: store.At(store.Version(10 * s.lists))}, nil
}

// Watch implements store.Watcher.
func (s *scriptedStore) Watch(ctx context.Context, _ string, since store.Position, _ time.Duration) (store.Changes, error) {
	s.watchedFrom = append(s.watchedFrom, since)
	if len(s.watchedFrom) > len(s.watches) {
		<-ctx.Done()
		return store.Changes{}, ctx.Err()
	}
	a := s.watches[len(s.watchedFrom)-1]
	return a.changes, a.err
}

type copyCalls struct{ replaced, applied, lost, found int }

func (c *copyCalls) Replace(store.Listing) { c.replaced++ }
func (c *copyCalls) Apply(store.Changes)   { c.applied++ }

// Guards against missed changes when watches are interrupted, the store refuses calls, and its
// history is discarded. The follower must continue from its version, read the list again where
// changes may have been missed, and report the store's recovery once.
func TestFollowerMissesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedStore{watches: []scriptedAnswer{
			{changes: store.Changes{Position: store.At(12), Changes: []store.Change{{}}}},
			{err: errors.New("connection reset")},
			{err: store.ErrUnavailable},
			{changes: store.Changes{Position: store.At(15)}},
			{err: store.ErrHistoryGone},
			{changes: store.Changes{Position: store.At(21)}},
		}}
		c := &copyCalls{}
		f := &Follower{Store: s, Kind: "k", Copy: c, OnCallFailed: func(error) { c.lost++ }, OnStoreRecovered: func(bool) { c.found++ }}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f.Run(ctx)
		if want := "[10 12 12 12 15 20 21]"; fmt.Sprint(s.watchedFrom) != want {
			t.Errorf("watched from %v, want %s", s.watchedFrom, want)
		}
		if *c != (copyCalls{replaced: 2, applied: 3, lost: 2, found: 1}) {
			t.Errorf("unexpected numbers of calls: %+v", *c)
		}
	})
}
