package follow

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// withLateListing returns a context for a List whose answer is applied also if it comes after the call has failed. To
// an instance for which the store is slow, all answers come so late; what they tell of the past is true.
func (f *Follower) withLateListing(ctx context.Context) context.Context {
	sentAt := time.Now()
	return store.WithLateListing(ctx, func(list store.Listing) {
		f.applyListAsOf(list, sentAt)
		f.noteAnswer(sentAt)
	})
}

// withLateChanges is withLateListing for a watch from a position with a wait.
func (f *Follower) withLateChanges(ctx context.Context, since store.Position, wait time.Duration) context.Context {
	sentAt := time.Now()
	return store.WithLateChanges(ctx, func(changes store.Changes) {
		asOf := sentAt
		if len(changes.Changes) == 0 {
			asOf = sentAt.Add(wait) // the answer was made at the end of the wait
		}
		f.applyWatchedAsOf(since, changes, asOf)
		f.noteAnswer(asOf)
	})
}

// noteAnswer reports an answer that the store made at a time at the earliest.
func (f *Follower) noteAnswer(madeAfter time.Time) {
	if f.OnAnswer != nil {
		f.OnAnswer(time.Since(madeAfter))
	}
}
