// Package follow keeps a copy of one kind of objects of the store up to date, and keeps it
// confirmed that the copy is complete.
//
// One instance of a region, the publisher, sends short watches and hands on what they say: that
// nothing changed, or the changes themselves. The others ask the store only while nobody
// confirms their copies, so what copies cost the store does not grow with the fleet. If each
// waited on the store, each change ended all their watches and each outage had all ask anew:
// of 295 instances that was two of three calls.
//
// A watch that waits says nothing of whether its answer can still come. An answer that is lost
// on the way leaves a connection that stands and is acknowledged by the other end's kernel, so
// no probe finds it; the copy would be old until the wait is over. So watches are short: the
// loss of one is noticed within the time that a change may take.
//
// Positions order everything: whoever tells, a copy only moves to a later one, and changes are
// applied only to a copy that has all before them. When the store comes back from a copy of
// itself, a copy here moves to the later era, whose versions are lower, by a whole list.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Pace of a follower.
const (
	// gather is the pause after a change: changes come in groups (upstreams that
	// start together, one version after the other), and each watch that returns is
	// a call, and a message to each other instance. The first change after a quiet time is not
	// delayed, a later one by less than a sixth of the shortest time that the users'
	// deployments allow (2 s).
	gather = 300 * time.Millisecond
	// confirmGrace is how long after the store is back those that do not publish wait for the word
	// of those that do.
	confirmGrace = 300 * time.Millisecond
	// wholeAfter is for how long a copy of few objects is unconfirmed before it is read whole.
	wholeAfter = 3 * time.Second
	// gatePoll is how often a follower looks whether it may ask, or needs to.
	gatePoll = 50 * time.Millisecond
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
	// Timing is how long the steps take; zero for that of DefaultBound.
	Timing Timing
	// ConfirmTimeout returns how long confirmations by other instances may be missing
	// before this one sends short watches; nil or 0 for always.
	ConfirmTimeout func() time.Duration
	// Lost is told of each failed call, Found of the first that succeeds after, or of others'
	// reaching the store, and whether the store had been away for all; Renewed is told each time
	// that this instance begins to ask the store itself, why, and for how long others' word did.
	// Each may be nil.
	Lost    func(err error)
	Found   func(outage bool)
	Renewed func(reason Reason, waited time.Duration)
	// OutageEnded is told that the store is back for another instance that this one has its
	// changes from, and for how long. It may be nil.
	OutageEnded func(ago time.Duration)
	// Answered is told of each answered call, and whether it brought a change. It may be nil.
	Answered func(changed bool)
	// EraReached is told when another instance's copy brought this one into a later era of the
	// store; it may be nil.
	EraReached func(store.Era)
	// Unheard is told that confirmations fail to come, a while before the store is asked. It
	// asks other instances and returns at once; it may be nil.
	Unheard func(ctx context.Context)
	// Obtain gets a first copy from another instance and reports whether one had it; it may
	// be nil.
	Obtain func(ctx context.Context) bool
	// Number returns the number that an object's writer gave its content and that only rises; it
	// may be nil. Content of a higher number than the store's is kept and handed on.
	Number func(value []byte) uint64
	// Gate is shared by the followers of one instance; it may be nil.
	Gate *Gate
	// Probes reports whether this follower is the one that asks a store which does not answer; nil
	// for always.
	Probes func() bool

	beat     beat
	fresh    freshness
	contents contents
	// applying orders what the store and other instances say of this copy.
	applying sync.Mutex
	// failing says that the store did not answer the last call; touched by Run only.
	failing bool
	// mustList says that the store's history is gone: only its list tells what it has.
	mustList bool
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := firstPause
	for ctx.Err() == nil {
		if f.failing && !f.fresh.upTo().IsZero() && !f.WatchesShort() {
			f.reached() // others reach the store, and confirm this copy
		}
		if !f.failing {
			wait = firstPause
		}
		began := time.Now()
		err := f.once(ctx)
		var untrusted *UntrustedError
		switch {
		case errors.Is(err, errNotNow):
			if f.Gate.Away() && !f.failing {
				f.lost(err)
			}
			pause.For(ctx, gatePoll)
		case err == nil:
		case ctx.Err() != nil:
		case errors.As(err, &untrusted):
			if f.Renewed != nil {
				f.Renewed(untrusted.Reason, time.Since(began))
			}
		case errors.Is(err, store.ErrHistoryGone):
			f.fresh.forget() // changes were missed: the list is read anew
			f.mustList = true
		default:
			f.lost(err)
			paced := wait/2 + rand.N(wait/2)
			pause.For(ctx, max(paced-time.Since(began), firstPause))
			wait = min(2*wait, longestPause)
		}
	}
}

// lost notes that the store does not answer.
func (f *Follower) lost(err error) {
	f.failing = true
	if f.Lost != nil {
		f.Lost(err)
	}
}

// reached notes that the store answers. It comes before anything is published: what is told to the others
// says whether an outage has ended, and who hears a confirmation that does not takes the store for never away.
func (f *Follower) reached() {
	if f.failing {
		f.failing = false
		f.found()
	}
}

func (f *Follower) found() {
	// While others confirmed this copy the store was away for this instance only, and no entry of
	// a live upstream has lapsed: taken for an outage's end, entries that are removed would be kept
	// everywhere, and the upstreams that have left would get work.
	outage := !f.ConfirmedLately()
	if outage {
		f.fresh.returned(0)
	}
	if f.Found != nil {
		f.Found(outage)
	}
}

// outageEnded notes that the store answers another instance again after an outage that this one
// may not have noticed, since it asks the store for nothing itself. Each end is told several
// times, and counts once.
func (f *Follower) outageEnded(ago time.Duration) {
	if f.fresh.returned(ago) && f.OutageEnded != nil {
		f.OutageEnded(ago)
	}
}

// errNotNow means that another follower of this instance asks a store that does not answer.
var errNotNow = errors.New("another call probes the store")

// once gets a first copy, or waits for what changes.
func (f *Follower) once(ctx context.Context) error {
	since := f.fresh.upTo()
	switch {
	case since.IsZero():
		return f.begin(ctx)
	case f.WatchesShort():
		return f.watch(ctx, since)
	}
	return f.receive(ctx)
}

// begin gets a first copy, from another instance if one has it.
func (f *Follower) begin(ctx context.Context) error {
	if !f.mustList && f.Obtain != nil && f.Obtain(ctx) {
		return nil
	}
	return f.list(ctx)
}

// list reads the whole copy.
func (f *Follower) list(ctx context.Context) error {
	if !f.enter() {
		return errNotNow
	}
	list, err := hedged(ctx, f.hedge(), func(ctx context.Context) (store.Listing, error) {
		return f.Store.List(ctx, f.Kind)
	})
	f.Gate.Leave(err == nil)
	if err != nil {
		return err
	}
	f.mustList = false
	f.reached()
	f.answered(f.applyList(list))
	return nil
}

// enter reports whether a call to the store may be made now; its end is told to the gate. A store
// that does not answer is asked for one copy only.
func (f *Follower) enter() bool {
	if f.Gate.Closed() && f.Probes != nil && !f.Probes() {
		return false
	}
	return f.Gate.Enter()
}

// applyList takes in a whole list, unless this copy is already further, and reports whether it
// brought a change.
func (f *Follower) applyList(list store.Listing) (changed bool) {
	f.applying.Lock()
	defer f.applying.Unlock()
	since := f.fresh.upTo()
	if list.Position.Before(since) {
		return false
	}
	last := f.contents.lastChangeIn(list)
	if since.Before(last) {
		f.replace(list)
	} else {
		f.contents.apply(store.Changes{Position: list.Position})
		f.Copy.Apply(store.Changes{Position: list.Position})
	}
	f.fresh.reach(list.Position, last)
	return since.Before(last)
}

// replace takes a whole list; f.applying is held.
func (f *Follower) replace(list store.Listing) {
	f.contents.number = f.Number
	f.contents.replace(list)
	f.Copy.Replace(list)
}

func (f *Follower) answered(changed bool) {
	if f.Answered != nil {
		f.Answered(changed)
	}
}

// watch asks the store what changed, and waits for it shortly.
func (f *Follower) watch(ctx context.Context, since store.Position) error {
	if f.awaitsPublishers() {
		return errNotNow
	}
	if f.readsWhole() {
		return f.readWhole(ctx)
	}
	if !f.enter() {
		return errNotNow
	}
	changes, err := f.ask(ctx, since)
	f.Gate.Leave(err == nil || errors.Is(err, store.ErrHistoryGone))
	if err != nil {
		return err
	}
	f.reached()
	if !f.applyRead(since, changes) {
		return nil // another instance was faster: what follows is asked for from there
	}
	changed := len(changes.Changes) > 0
	f.answered(changed)
	if changed {
		pause.For(ctx, gather)
	}
	return nil
}

// readsWhole reports that the list costs less than a watch: of an object that has changed often, as
// the configuration in a storm of versions, a watch tells each version. Read by each of hundreds of
// instances once a cut of all is over, these fill the store's link for seconds.
func (f *Follower) readsWhole() bool {
	if !f.contents.few() {
		return false
	}
	age, known := f.fresh.age()
	return !known || age > wholeAfter || f.fresh.lacksPublished()
}

// readWhole reads the list in place of a watch. The pause bounds the calls where a peer has published a
// position that the store never reaches.
func (f *Follower) readWhole(ctx context.Context) error {
	if err := f.list(ctx); err != nil {
		return err
	}
	pause.For(ctx, gather)
	return nil
}

// awaitsPublishers reports that the store has just come back: the few that publish confirm the copies
// of all the others in a moment, and each that asked for itself were a call for each copy.
func (f *Follower) awaitsPublishers() bool {
	return f.confirmTimeout() > 0 && f.Gate.reopenedWithin(confirmGrace)
}

// hedge is after how long a call without an answer is made a second time. While the store does not
// answer, calls are no more than probes: made twice, each outage has twice the calls.
func (f *Follower) hedge() time.Duration {
	if f.Gate.Closed() {
		return neverHedged
	}
	return f.timing().Hedge
}

// neverHedged is longer than any call.
const neverHedged = time.Hour

// ask makes the call of a watch. Who has not asked for long, or was not answered, does not wait
// for news: what it may lack is there, and the sooner a call is known to be lost, the sooner the
// next is sent.
func (f *Follower) ask(ctx context.Context, since store.Position) (store.Changes, error) {
	timing := f.timing()
	if age, read := f.fresh.readAge(); f.Gate.Closed() || !read || age > timing.Wait {
		return hedged(ctx, f.hedge(), func(ctx context.Context) (store.Changes, error) {
			return f.Store.Watch(ctx, f.Kind, since, 0)
		})
	}
	wait := timing.Wait
	if f.beat.every > 0 {
		wait = f.beat.left()
	}
	return f.Store.Watch(ctx, f.Kind, since, wait)
}

// applyRead takes in what the store says changed after a position, if that is still this
// copy's. Otherwise an object could be put back to what it was before.
func (f *Follower) applyRead(since store.Position, changes store.Changes) bool {
	f.applying.Lock()
	defer f.applying.Unlock()
	if f.fresh.upTo() != since {
		return false
	}
	f.contents.apply(changes)
	f.Copy.Apply(lastOfEach(changes))
	f.fresh.reach(changes.Position, lastChange(changes))
	return true
}

// Take takes in what another instance hands on, and reports whether it was of use: whether it
// follows on what this copy has, and goes further.
func (f *Follower) Take(c *followpb.Contents) bool {
	f.applying.Lock()
	defer f.applying.Unlock()
	since, upTo := f.fresh.upTo(), positionOf(c)
	follows := upTo.Era == since.Era && store.Version(c.Since) <= since.Version
	if !since.Before(upTo) || (!c.Whole && !follows) {
		return false
	}
	if c.Whole {
		f.replace(listing(c))
	} else {
		changes := changesOf(c)
		f.contents.apply(changes)
		f.Copy.Apply(changes)
	}
	f.fresh.handed(upTo, lastChangeOf(c))
	if upTo.Era > since.Era && f.EraReached != nil {
		f.EraReached(upTo.Era)
	}
	return true
}

// lastOfEach keeps the last change of each object: what is superseded need not come into force.
func lastOfEach(changes store.Changes) store.Changes {
	last := make(map[string]int, len(changes.Changes))
	for n, change := range changes.Changes {
		last[change.Object.Key] = n
	}
	if len(last) == len(changes.Changes) {
		return changes
	}
	out := store.Changes{Position: changes.Position}
	for n, change := range changes.Changes {
		if last[change.Object.Key] == n {
			out.Changes = append(out.Changes, change)
		}
	}
	return out
}

// lastChange returns the position of the last change, or a later one: that of a deletion is
// not told, so the answer's own stands for it.
func lastChange(changes store.Changes) store.Position {
	last := store.Position{Era: changes.Position.Era}
	for _, change := range changes.Changes {
		if change.Deleted {
			return changes.Position
		}
		last = store.Later(last, change.Object.Position)
	}
	return last
}
