// Package follow keeps a copy of one kind of objects of the store up to date, by
// one list and then by watches.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Pace of a follower.
const (
	// watchWait is how long one watch waits; each that returns is a call, and the
	// store allows no longer one. A connection that went silent meanwhile is
	// found by the kernel's probes, not by this.
	watchWait = 30 * time.Second
	// gather is the pause after a change: changes come in groups (upstreams that
	// start together, one version after the other), and each watch that returns is
	// a call. The first change after a quiet time is not delayed, a later one by less
	// than a sixth of the shortest time that the users' deployments allow (2 s). While
	// 73 instances and their 63 upstreams started, 100 ms took 34 watches an instance.
	gather = 300 * time.Millisecond
	// firstPause and longestPause bound the pause after a failed call, which
	// doubles in between: short enough to be up to date within a second of the
	// store's return, long enough to bound the calls to one that refuses.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// Copy takes what the store has.
type Copy interface {
	// Replace takes a whole list.
	Replace(list store.Listing)
	// Apply takes the changes of a watch.
	Apply(changes store.Changes)
}

// Follower follows one kind.
type Follower struct {
	Store store.Watcher
	Kind  string
	Copy  Copy
	// Lost is told of each failed call, Found of the first that succeeds after.
	Lost  func(err error)
	Found func()

	// confirmed is when the copy was last known to be complete.
	confirmed atomic.Pointer[time.Time]
}

// Age returns for how long nothing has confirmed that the copy is complete; false before
// it has been read once.
func (f *Follower) Age() (time.Duration, bool) {
	confirmed := f.confirmed.Load()
	if confirmed == nil {
		return 0, false
	}
	return time.Since(*confirmed), true
}

func (f *Follower) confirm() {
	now := time.Now()
	f.confirmed.Store(&now)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	since := store.NoVersion
	wait := firstPause
	failing := false
	for ctx.Err() == nil {
		next, err := f.once(ctx, since)
		if err == nil {
			f.confirm()
			if failing {
				f.Found()
			}
			since, wait, failing = next, firstPause, false
			continue
		}
		if errors.Is(err, store.ErrHistoryGone) {
			since = store.NoVersion // changes were missed: the list is read anew
			continue
		}
		if ctx.Err() == nil {
			failing = true
			f.Lost(err)
			pause.For(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, longestPause)
		}
	}
}

func (f *Follower) once(ctx context.Context, since store.Version) (store.Version, error) {
	if since == store.NoVersion {
		list, err := f.Store.List(ctx, f.Kind)
		if err != nil {
			return since, err
		}
		f.Copy.Replace(list)
		return list.Version, nil
	}
	changes, err := f.Store.Watch(ctx, f.Kind, since, watchWait)
	if err != nil {
		return since, err
	}
	f.Copy.Apply(changes)
	if len(changes.Changes) > 0 {
		pause.For(ctx, gather)
	}
	return max(changes.Version, since), nil
}
