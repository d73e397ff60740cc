package follow

import (
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// applyList applies a list that was read just now.
func (f *Follower) applyList(list store.Listing) (changed bool) {
	return f.applyListAsOf(list, time.Now())
}

// applyWatched applies changes that were read just now.
func (f *Follower) applyWatched(since store.Position, changes store.Changes) bool {
	return f.applyWatchedAsOf(since, changes, time.Now())
}

// recordRead records a read of just now.
func (s *freshness) recordRead(since, changed store.Position) {
	s.recordReadAsOf(since, changed, time.Now())
}

// replace applies a whole list whose last change is not known.
func (c *contents) replace(list store.Listing) { c.replaceWith(list, list.Position) }
