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

// script is a store whose watches answer what stands in a list, one after the other.
type script struct {
	store.Store
	lists   int
	watches []answer
	asked   []store.Position
}

type answer struct {
	changes store.Changes
	err     error
}

// List implements store.Watcher.
func (s *script) List(context.Context, string) (store.Listing, error) {
	s.lists++
	return store.Listing{Position: store.At(store.Version(10 * s.lists))}, nil
}

// Watch implements store.Watcher.
func (s *script) Watch(ctx context.Context, _ string, since store.Position, _ time.Duration) (store.Changes, error) {
	s.asked = append(s.asked, since)
	if len(s.asked) > len(s.watches) {
		<-ctx.Done()
		return store.Changes{}, ctx.Err()
	}
	a := s.watches[len(s.asked)-1]
	return a.changes, a.err
}

type counts struct{ replaced, applied, lost, found int }

func (c *counts) Replace(store.Listing) { c.replaced++ }
func (c *counts) Apply(store.Changes)   { c.applied++ }

// Watches are cut, the store refuses, and its history goes. The follower goes on
// from the version that it has, reads the list anew where changes may have been
// missed, and tells once when the store is back.
func TestFollowerMissesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{watches: []answer{
			{changes: store.Changes{Position: store.At(12), Changes: []store.Change{{}}}},
			{err: errors.New("cut")},
			{err: store.ErrUnavailable},
			{changes: store.Changes{Position: store.At(15)}},
			{err: store.ErrHistoryGone},
			{changes: store.Changes{Position: store.At(21)}},
		}}
		c := &counts{}
		f := &Follower{Store: s, Kind: "k", Copy: c, Lost: func(error) { c.lost++ }, Found: func(bool) { c.found++ }}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f.Run(ctx)
		if want := "[10 12 12 12 15 20 21]"; fmt.Sprint(s.asked) != want {
			t.Errorf("watched from %v, want %s", s.asked, want)
		}
		if *c != (counts{replaced: 2, applied: 3, lost: 2, found: 1}) {
			t.Errorf("got %+v", *c)
		}
	})
}
