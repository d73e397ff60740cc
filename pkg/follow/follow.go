// Package follow keeps a copy of one kind of objects of the store up to date, by one list
// and then by watches, and keeps it confirmed that the copy is complete.
//
// A watch that waits says nothing of whether its answer can still come. An answer that is
// lost on the way leaves a connection that stands and is acknowledged by the other end's
// kernel, so no probe finds it; the copy would be old until the wait is over. So the first
// instance of a region sends short watches, whose loss is noticed within the time that a
// change may take, and publishes what they say to the others (Publisher). An instance whose
// own long watch missed a change that is published, or that gets no confirmation, abandons
// the watch and asks the store itself. What this costs the store does not grow with the fleet.
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
	// longWait is how long a watch waits whose copy is confirmed by another instance; each
	// that returns is a call, and the store allows no longer one.
	longWait = 30 * time.Second
	// shortWait is how long a watch waits that confirms the copy by itself. A change may
	// take 2 s to be in force and an outage 3 s to be over with (the bounds of the users'
	// deployments). A short watch sent just before the end of an outage is given up by the
	// store's client 1 s after its wait; with the pause after it and behindLimit at the
	// other instances, that is 2.1 s. A shorter wait leaves more room and costs more calls:
	// this one takes 1.4 a second for each kind, at one instance.
	shortWait = 700 * time.Millisecond
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
	// ConfirmTimeout returns how long confirmations by other instances may be missing
	// before this one sends short watches; nil or 0 for always.
	ConfirmTimeout func() time.Duration
	// Lost is told of each failed call, Found of the first that succeeds after, Renewed of
	// each watch that was abandoned after a time. Each may be nil.
	Lost    func(err error)
	Found   func()
	Renewed func(reason Reason, waited time.Duration)
	// Answered is told of each answered call, and whether it brought a change. It may be nil.
	Answered func(changed bool)

	fresh freshness
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := firstPause
	failing := false
	for ctx.Err() == nil {
		began := time.Now()
		err := f.once(ctx)
		var abandoned *AbandonedError
		switch {
		case err == nil:
			if failing && f.Found != nil {
				f.Found()
			}
			wait, failing = firstPause, false
		case ctx.Err() != nil:
		case errors.As(err, &abandoned):
			if f.Renewed != nil {
				f.Renewed(abandoned.Reason, time.Since(began))
			}
		case errors.Is(err, store.ErrHistoryGone):
			f.fresh.forget() // changes were missed: the list is read anew
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

// once reads the list, or what changed since.
func (f *Follower) once(ctx context.Context) error {
	since := f.fresh.upTo()
	if since == store.NoVersion {
		return f.list(ctx)
	}
	changes, err := f.watch(ctx, since)
	if err != nil {
		return err
	}
	f.Copy.Apply(changes)
	f.fresh.reach(changes.Version, lastChange(changes))
	changed := len(changes.Changes) > 0
	f.answered(changed)
	if changed {
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
	f.fresh.reach(list.Version, list.Version)
	f.answered(true)
	return nil
}

func (f *Follower) answered(changed bool) {
	if f.Answered != nil {
		f.Answered(changed)
	}
}

// watch waits for changes: shortly, or for long and only as long as the copy is confirmed.
// Errors: *AbandonedError; those of the store.
func (f *Follower) watch(ctx context.Context, since store.Version) (store.Changes, error) {
	if f.WatchesShort() {
		return f.Store.Watch(ctx, f.Kind, since, shortWait)
	}
	ctx, abandon := context.WithCancelCause(ctx)
	defer abandon(nil)
	// Once an answer has begun it is not lost. On a link of 10 Mbit/s that is full, a
	// large configuration takes seconds; abandoned for being behind it would start over.
	guarded, answerBegun := context.WithCancel(ctx)
	defer answerBegun()
	go f.guard(guarded, abandon)
	changes, err := f.Store.Watch(store.WithAnswerBegun(ctx, answerBegun), f.Kind, since, longWait)
	var abandoned *AbandonedError
	if err != nil && errors.As(context.Cause(ctx), &abandoned) {
		return store.Changes{}, abandoned
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
