// Package follow keeps a copy of one kind of objects of the store up to date, by one list
// and then by watches, and keeps it known that the copy is complete.
//
// A watch that waits says nothing of whether its answer can still come. An answer that is
// lost on the way leaves a connection that stands and is acknowledged by the other end's
// kernel, so no probe finds it; the copy would be old until the wait is over. So a few
// instances watch closely, with waits so short that a lost answer is noticed within the
// time that a change may take, and tell the others what they read (Teller). An instance
// whose own watch missed what they tell of, or that hears nothing of them, gives its watch
// up and asks the store itself. What it costs the store does not grow with the fleet.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Pace of a follower.
const (
	// longWait is how long a watch waits whose copy others confirm; each that returns is
	// a call, and the store allows no longer one.
	longWait = 30 * time.Second
	// closeWait is how long a watch waits that confirms the copy by itself. A change may
	// take 2 s to be in force and an outage 3 s to be over with (the bounds of the users'
	// deployments). A close watch sent just before the end of an outage is given up by the
	// store's client 1 s after its wait; with the pause after it and behindLimit at the
	// others, that is 2.1 s. Shorter waits leave more room and cost more calls: this one
	// takes 1.4 a second for each kind, of one instance.
	closeWait = 700 * time.Millisecond
	// gather is the pause after a change: changes come in groups (upstreams that
	// start together, one version after the other), and each watch that returns is
	// a call. The first change after a quiet time is not delayed, a later one by less
	// than a sixth of the shortest time that the users' deployments allow (2 s). While
	// 73 instances and their 63 upstreams started, 100 ms took 34 watches an instance.
	gather = 300 * time.Millisecond
	// firstPause and longestPause bound the pace of failing calls, which doubles in
	// between: short enough to be up to date within a second of the store's return, long
	// enough to bound the calls to one that refuses. The time that a call took to fail
	// counts: one that was not answered has waited long enough.
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
	// Patience returns how long the word of others may be missing before this instance
	// watches closely itself; nil or 0 for always closely.
	Patience func() time.Duration
	// Lost is told of each failed call, Found of the first that succeeds after, Renewed of
	// each watch that was given up in doubt. Each may be nil.
	Lost    func(err error)
	Found   func()
	Renewed func(doubt Doubt, waited time.Duration)
	// Answered is told of each answered call; news says that it brought a change. It may
	// be nil.
	Answered func(news bool)

	known known
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := firstPause
	failing := false
	for ctx.Err() == nil {
		began := time.Now()
		err := f.once(ctx)
		var doubt Doubt
		switch {
		case err == nil:
			if failing && f.Found != nil {
				f.Found()
			}
			wait, failing = firstPause, false
		case ctx.Err() != nil:
		case errors.As(err, &doubt):
			f.renewed(doubt, time.Since(began))
		case errors.Is(err, store.ErrHistoryGone):
			f.known.forget() // changes were missed: the list is read anew
		default:
			failing = true
			if f.Lost != nil {
				f.Lost(err)
			}
			paced := wait/2 + rand.N(wait/2)
			pause.For(ctx, max(paced-time.Since(began), firstPause))
			wait = min(2*wait, longestPause)
		}
	}
}

func (f *Follower) renewed(doubt Doubt, waited time.Duration) {
	if f.Renewed != nil {
		f.Renewed(doubt, waited)
	}
}

// once reads the list, or what changed since.
func (f *Follower) once(ctx context.Context) error {
	since := f.known.upTo()
	if since == store.NoVersion {
		return f.list(ctx)
	}
	changes, err := f.watch(ctx, since)
	if err != nil {
		return err
	}
	news := len(changes.Changes) > 0
	f.Copy.Apply(changes)
	f.known.reach(changes.Version, lastChange(changes))
	f.answered(news)
	if news {
		pause.For(ctx, gather)
	}
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	list, err := f.Store.List(ctx, f.Kind)
	if err != nil {
		return err
	}
	f.Copy.Replace(list)
	// A list does not show what was deleted, so anything may have changed up to it.
	f.known.reach(list.Version, list.Version)
	f.answered(true)
	return nil
}

func (f *Follower) answered(news bool) {
	if f.Answered != nil {
		f.Answered(news)
	}
}

// watch waits for changes: closely, or for long and only as long as the copy is not in
// doubt. Errors: Doubt if the watch was given up; those of the store.
func (f *Follower) watch(ctx context.Context, since store.Version) (store.Changes, error) {
	if f.Closely() {
		return f.Store.Watch(ctx, f.Kind, since, closeWait)
	}
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	go f.guard(ctx, giveUp)
	changes, err := f.Store.Watch(ctx, f.Kind, since, longWait)
	var doubt Doubt
	if err != nil && errors.As(context.Cause(ctx), &doubt) {
		return store.Changes{}, doubt
	}
	return changes, err
}

// lastChange returns the version of the last change, or a later one: that of a deletion is
// not told, so the answer's own stands for it.
func lastChange(changes store.Changes) store.Version {
	last := store.NoVersion
	for _, change := range changes.Changes {
		if change.Deleted {
			return changes.Version
		}
		last = max(last, change.Object.Version)
	}
	return last
}
