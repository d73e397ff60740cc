// Package follow keeps a local copy of one kind of store objects up to date, and keeps track of
// whether the copy is known to be complete.
//
// One instance of a region, the publisher, sends watches with a short timeout and publishes their
// results to the other instances: a confirmation that nothing changed, or the changes themselves.
// The other instances call the store only while no instance confirms their copies, so the load of
// the store does not grow with the fleet. When every instance watched the store, each change ended
// all their watches, and after each outage all of them called again: with 295 instances, these were
// two of three calls.
//
// A pending watch does not show whether its answer can still arrive. When an answer is lost on the
// way, the connection stays up and the kernel of the other end still acknowledges it, so no
// keep-alive probe detects the loss, and the copy would be outdated until the watch times out.
// Watches are therefore short: the loss of one is detected within the time that a change may take.
//
// All updates are ordered by position: whatever their source, a copy only moves to a later
// position, and changes are applied only to a copy that has all changes before them. When the store
// is rolled back to a copy of itself, the copy here moves to the later era, whose versions are
// lower, by reading a whole list.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Pacing of a follower.
const (
	// coalescePause is the pause after a change. Changes come in groups (upstreams that start
	// together, successive versions), and each watch that returns costs a call and a message to
	// each other instance. The first change after a quiet period is not delayed; a later one is
	// delayed by less than a sixth of the shortest bound of the users' deployments (2 s).
	coalescePause = 300 * time.Millisecond
	// recoveryGrace is how long, after the store has recovered, instances that do not publish wait
	// for the confirmations of those that do.
	recoveryGrace = 300 * time.Millisecond
	// listAfter is how long a copy of few objects is unconfirmed before it is read by a list
	// instead of a watch.
	listAfter = 3 * time.Second
	// breakerPollInterval is how often a follower whose call was deferred checks whether it may call
	// the store, or still needs to.
	breakerPollInterval = 50 * time.Millisecond
	// minRetryInterval and maxRetryInterval bound the pause between failing calls, which doubles from one
	// to the other: short enough to be up to date within a second of the store's recovery, long
	// enough to bound the number of calls to a store that refuses them. The duration of the failed
	// call is subtracted from the pause, so a call that timed out is not followed by a full pause.
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = 800 * time.Millisecond
)

// Copy receives what the follower reads from the store.
type Copy interface {
	// Replace replaces the copy by a whole list.
	Replace(list store.Listing)
	// Apply applies the changes that a watch returned.
	Apply(changes store.Changes)
}

// Follower keeps the copy of one kind of objects up to date.
type Follower struct {
	Store store.Watcher
	Kind  string
	// Key is the key of the only object of the kind that the copy consists of; empty if it consists
	// of all. The last change of such a copy is known from a list, too.
	Key  string
	Copy Copy
	// Timing holds the timeouts; the zero value stands for TimingFor(DefaultBound).
	Timing Timing
	// ConfirmTimeout returns how long confirmations by other instances may be missing before this
	// instance watches the store itself; nil or 0 to watch always.
	ConfirmTimeout func() time.Duration
	// OnCallFailed is called for each failed call. OnStoreRecovered is called for the first call that
	// succeeds afterwards, or when confirmations show that other instances reach the store; its
	// argument tells whether the store was unavailable to all instances. OnWatchStarted is called
	// each time this instance begins to watch the store itself, with the reason and with how long it
	// had relied on the confirmations of others. Each may be nil.
	OnCallFailed     func(err error)
	OnStoreRecovered func(outage bool)
	OnWatchStarted   func(reason Reason, waited time.Duration)
	// OnOutageEnded is called with the time since an outage of the store ended, when another instance
	// reports that end; it may be nil.
	OnOutageEnded func(ago time.Duration)
	// OnCallAnswered is called for each call that the store answered, with whether the answer
	// contained a change; it may be nil.
	OnCallAnswered func(changed bool)
	// OnAnswer is called for each answer without a change, also for one that came after its call had failed for
	// want of it, with the time that it took at most; it may be nil. When the store made an answer with a change
	// is not known.
	OnAnswer func(latency time.Duration)
	// OnEra is called when another instance's copy moved this one to a later era of the store;
	// it may be nil.
	OnEra func(store.Era)
	// OnConfirmationsMissing is called when confirmations stop arriving, some time before the store
	// is called. It queries other instances and must not block; it may be nil.
	OnConfirmationsMissing func(ctx context.Context)
	// FetchInitial fetches a first copy from another instance and reports whether one had it; it
	// may be nil.
	FetchInitial func(ctx context.Context) bool
	// Number returns the number that an object's writer assigned to its content and that only
	// increases; it may be nil. Content with a higher number than the store's is retained and
	// served to other instances.
	Number func(value []byte) uint64
	// Breaker is shared by the followers of one instance; it may be nil.
	Breaker *CircuitBreaker
	// MayProbe reports whether this follower is the one that probes a store which does not answer;
	// nil for always.
	MayProbe func() bool

	schedule watchSchedule
	fresh    freshness
	contents contents
	// applyMu serializes the updates of the copy from the store and from other instances.
	applyMu applyLock
	// failing is set while the last call was not answered by the store; used by Run only.
	failing bool
	// needsList is set when the store no longer has the history after the copy's position, goneAt, so
	// only a list can tell the current state.
	needsList bool
	goneAt    store.Position
}

// Run keeps the copy up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := minRetryInterval
	for ctx.Err() == nil {
		if f.failing && !f.fresh.currentPosition().IsZero() && !f.WatchesStore() {
			f.recordSuccess() // other instances reach the store and confirm this copy
		}
		if !f.failing {
			wait = minRetryInterval
		}
		began := time.Now()
		err := f.step(ctx)
		var staleErr *StaleCopyError
		switch {
		case errors.Is(err, errCallDeferred):
			if f.Breaker.StoreUnavailable() && !f.failing {
				f.recordFailure(err)
			}
			pause.For(ctx, breakerPollInterval)
		case err == nil:
		case ctx.Err() != nil:
		case errors.As(err, &staleErr):
			if f.OnWatchStarted != nil {
				f.OnWatchStarted(staleErr.Reason, time.Since(began))
			}
		case errors.Is(err, store.ErrHistoryGone):
			f.needsList, f.goneAt = true, f.fresh.currentPosition() // changes were missed: read the list again
		default:
			f.recordFailure(err)
			delay := wait/2 + rand.N(wait/2)
			pause.For(ctx, max(delay-time.Since(began), minRetryInterval))
			wait = min(2*wait, maxRetryInterval)
		}
	}
}

// recordFailure records that the store did not answer.
func (f *Follower) recordFailure(err error) {
	f.failing = true
	if f.OnCallFailed != nil {
		f.OnCallFailed(err)
	}
}

// recordSuccess records that the store answered. It must be called before anything is published: a
// confirmation carries whether an outage has ended, and an instance that receives one without that
// mark assumes that there was no outage.
func (f *Follower) recordSuccess() {
	if f.failing {
		f.failing = false
		f.reportRecovery()
	}
}

func (f *Follower) reportRecovery() {
	// While other instances confirmed this copy, the store was unavailable to this instance only,
	// and no entry of a live upstream has expired. If this were treated as the end of an outage,
	// removed entries would be kept at all instances, and upstreams that have left would get
	// requests.
	outage := !f.ConfirmedRecently()
	if outage {
		f.fresh.recordOutageEnd(0)
	}
	if f.OnStoreRecovered != nil {
		f.OnStoreRecovered(outage)
	}
}

// handleOutageEnd records the end of a store outage, the given time ago, that another instance
// reported. This instance may not have noticed the outage, since it does not call the store itself.
// Each end is reported several times and counts once.
func (f *Follower) handleOutageEnd(ago time.Duration) {
	if f.fresh.recordOutageEnd(ago) && f.OnOutageEnded != nil {
		f.OnOutageEnded(ago)
	}
}

// errCallDeferred means that the store was not called: another follower of this instance probes a
// store that does not answer, or the publishers' confirmations are awaited.
var errCallDeferred = errors.New("store call deferred: another copy is probing the store")

// step gets a first copy, or waits for changes.
func (f *Follower) step(ctx context.Context) error {
	since := f.fresh.currentPosition()
	switch {
	case since.IsZero():
		return f.loadInitial(ctx)
	case f.WatchesStore():
		return f.watch(ctx, since)
	}
	return f.waitWhileConfirmed(ctx)
}

// loadInitial gets a first copy, from another instance if one has it.
func (f *Follower) loadInitial(ctx context.Context) error {
	if !f.needsList && f.FetchInitial != nil && f.FetchInitial(ctx) {
		return nil
	}
	return f.list(ctx)
}

// list reads the whole copy from the store.
func (f *Follower) list(ctx context.Context) error {
	if !f.allowCall() {
		return errCallDeferred
	}
	list, err := hedged(ctx, f.hedgeDelay(), func(ctx context.Context) (store.Listing, error) {
		return f.Store.List(f.withLateListing(ctx), f.Kind)
	})
	f.Breaker.Record(err == nil)
	if err != nil {
		return err
	}
	goneAt := f.goneAt
	f.needsList, f.goneAt = false, store.NoPosition
	f.recordSuccess()
	f.noteAnswer(list.asOf)
	f.notifyAnswered(f.applyListAfterGap(goneAt, list.value, list.asOf))
	return nil
}

// allowCall reports whether the store may be called now; the result of the call must be passed to
// CircuitBreaker.Record. A store that does not answer is called for one copy only.
func (f *Follower) allowCall() bool {
	if f.Breaker.Tripped() && f.MayProbe != nil && !f.MayProbe() {
		return false
	}
	return f.Breaker.Allow()
}

// applyListAsOf applies a whole list that is complete as of a moment, unless this copy is already at
// a later position, and reports whether the list contained a change.
func (f *Follower) applyListAsOf(list store.Listing, asOf time.Time) (changed bool) {
	return f.applyListAfterGap(store.NoPosition, list, asOf)
}

// applyListAfterGap is applyListAsOf for a list that was read because the store has no history after
// goneAt. If the copy is still there, the list replaces it also if it is older: the store went back.
func (f *Follower) applyListAfterGap(goneAt store.Position, list store.Listing, asOf time.Time) (changed bool) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if f.fresh.currentPosition() == goneAt && list.Position.Before(goneAt) {
		f.fresh.reset()
	}
	since := f.fresh.currentPosition()
	if list.Position.Before(since) {
		return false
	}
	list.Objects = f.followedObjects(list.Objects)
	last := f.contents.lastChangeIn(list, f.Key)
	if since.Before(last) {
		f.replace(list, last)
	} else {
		f.contents.apply(store.Changes{Position: list.Position})
		f.Copy.Apply(store.Changes{Position: list.Position})
	}
	f.fresh.recordReadAsOf(list.Position, last, asOf)
	return since.Before(last)
}

// followedObjects returns the objects that belong to the copy.
func (f *Follower) followedObjects(objects []store.Object) []store.Object {
	if f.Key == "" {
		return objects
	}
	var followed []store.Object
	for _, object := range objects {
		if object.Key == f.Key {
			followed = append(followed, object)
		}
	}
	return followed
}

// followedChanges returns the changes of the objects that belong to the copy.
func (f *Follower) followedChanges(changes store.Changes) store.Changes {
	if f.Key == "" {
		return changes
	}
	followed := store.Changes{Position: changes.Position}
	for _, change := range changes.Changes {
		if change.Object.Key == f.Key {
			followed.Changes = append(followed.Changes, change)
		}
	}
	return followed
}

// replace replaces the copy by a whole list with a last change. f.applyMu must be held.
func (f *Follower) replace(list store.Listing, lastChanged store.Position) {
	f.contents.number = f.Number
	f.contents.replaceWith(list, lastChanged)
	f.Copy.Replace(list)
}

func (f *Follower) notifyAnswered(changed bool) {
	if f.OnCallAnswered != nil {
		f.OnCallAnswered(changed)
	}
}

// watch calls the store for the changes after a position, with a short timeout, or for the list if
// the store no longer has them.
func (f *Follower) watch(ctx context.Context, since store.Position) error {
	if f.needsList {
		return f.list(ctx)
	}
	if f.awaitsPublishers() {
		return errCallDeferred
	}
	if f.prefersList() {
		return f.listInsteadOfWatch(ctx)
	}
	if !f.allowCall() {
		return errCallDeferred
	}
	watched, err := f.callWatch(ctx, since)
	f.Breaker.Record(err == nil || errors.Is(err, store.ErrHistoryGone))
	if err != nil {
		return err
	}
	f.recordSuccess()
	if !f.applyWatchedAsOf(since, watched.value, watched.asOf) {
		return nil // another instance's contents were applied first; the next watch starts at their position
	}
	changed := len(watched.value.Changes) > 0
	if !changed {
		f.noteAnswer(watched.asOf)
	}
	f.notifyAnswered(changed)
	if changed {
		pause.For(ctx, coalescePause)
	}
	return nil
}

// prefersList reports whether a list costs less than a watch. For an object that has changed often,
// such as the configuration after many updates in a row, a watch returns every version. When a
// network partition of all instances ends and hundreds of them read all these versions, they
// saturate the store's link for seconds.
func (f *Follower) prefersList() bool {
	if !f.contents.isSmall() {
		return false
	}
	age, known := f.fresh.age()
	return !known || age > listAfter || f.fresh.isBehind()
}

// listInsteadOfWatch reads the list instead of watching. The pause bounds the number of calls in
// case a peer has published a position that the store never reaches.
func (f *Follower) listInsteadOfWatch(ctx context.Context) error {
	if err := f.list(ctx); err != nil {
		return err
	}
	pause.For(ctx, coalescePause)
	return nil
}

// awaitsPublishers reports whether the store has just recovered. The publishing instances will
// shortly confirm the copies of all others; if each instance called the store itself, that would be
// one call for each copy.
func (f *Follower) awaitsPublishers() bool {
	return f.confirmTimeout() > 0 && f.Breaker.recoveredWithin(recoveryGrace)
}

// hedgeDelay returns the time after which a call without an answer is sent a second time. While the
// store does not answer, calls are only probes, and hedging them would double the calls of each
// outage.
func (f *Follower) hedgeDelay() time.Duration {
	if f.Breaker.Tripped() {
		return noHedge
	}
	return f.timing().HedgeDelay
}

// noHedge exceeds the duration of any call.
const noHedge = time.Hour

// callWatch sends a watch. If the last answer is older than a watch's timeout, or the last call
// failed, the watch does not wait for changes: those that the copy may lack exist already, and the
// sooner a call is known to be lost, the sooner the next one is sent.
func (f *Follower) callWatch(ctx context.Context, since store.Position) (answer[store.Changes], error) {
	timing := f.timing()
	if age, read := f.fresh.readAge(); f.Breaker.Tripped() || !read || age > timing.WatchTimeout {
		return hedged(ctx, f.hedgeDelay(), func(ctx context.Context) (store.Changes, error) {
			return f.Store.Watch(f.withLateChanges(ctx, since, 0), f.Kind, since, 0)
		})
	}
	wait := timing.WatchTimeout
	if f.schedule.interval > 0 {
		wait = f.schedule.untilNext()
	}
	return f.waitForChanges(ctx, since, roundUpToMillis(wait))
}

// roundUpToMillis rounds a wait up, since the store is given whole milliseconds.
func roundUpToMillis(wait time.Duration) time.Duration {
	return (wait + time.Millisecond - 1).Truncate(time.Millisecond)
}

// waitForChanges sends a watch that waits for changes, a whole number of milliseconds. An answer
// without changes was made at the end of the wait, and one with changes at an unknown time before.
func (f *Follower) waitForChanges(ctx context.Context, since store.Position, wait time.Duration) (answer[store.Changes], error) {
	sentAt := time.Now()
	changes, err := f.Store.Watch(f.withLateChanges(ctx, since, wait), f.Kind, since, wait)
	asOf := sentAt
	if len(changes.Changes) == 0 && time.Since(sentAt) >= wait {
		asOf = sentAt.Add(wait)
	}
	return answer[store.Changes]{changes, asOf}, err
}

// applyWatchedAsOf applies the changes that the store returned for a position, complete as of a
// moment, if the copy is still at that position. Otherwise an object could be reverted to an older
// state.
func (f *Follower) applyWatchedAsOf(since store.Position, changes store.Changes, asOf time.Time) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if f.fresh.currentPosition() != since {
		return false
	}
	changes = f.followedChanges(changes)
	f.contents.apply(changes)
	f.Copy.Apply(lastChangePerKey(changes))
	f.fresh.recordReadAsOf(changes.Position, lastChangePosition(changes), asOf)
	return true
}

// ApplyContents applies contents received from another instance and reports whether they were
// useful, that is, whether they are contiguous with this copy and end at a later position.
func (f *Follower) ApplyContents(c *followpb.Contents) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	since, upTo := f.fresh.currentPosition(), positionOf(c)
	follows := upTo.Era == since.Era && store.Version(c.Since) <= since.Version
	if !since.Before(upTo) || (!c.Whole && !follows) {
		return false
	}
	lastChanged := lastChangeOf(c)
	if c.Whole {
		list := listingFrom(c)
		list.Objects = f.followedObjects(list.Objects)
		f.replace(list, lastChanged)
	} else {
		changes := f.followedChanges(changesFrom(c))
		f.contents.applyWith(changes, lastChanged)
		f.Copy.Apply(changes)
	}
	f.fresh.advance(upTo, lastChanged)
	if upTo.Era > since.Era && f.OnEra != nil {
		f.OnEra(upTo.Era)
	}
	return true
}

// lastChangePerKey keeps only the last change of each object, so superseded changes are not
// applied.
func lastChangePerKey(changes store.Changes) store.Changes {
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

// lastChangePosition returns the position of the last change, or a later one: the position of a
// deletion is not known, so that of the whole answer is used instead.
func lastChangePosition(changes store.Changes) store.Position {
	last := store.Position{Era: changes.Position.Era}
	for _, change := range changes.Changes {
		if change.Deleted {
			return changes.Position
		}
		last = store.Later(last, change.Object.Position)
	}
	return last
}
