package store

import "context"

type answerStartedKey struct{}

// WithAnswerStarted returns a context for a call whose client calls onStarted when it has received
// the head of the answer. The body may be large and take long on a slow link, but from then on
// the answer does not count as lost.
func WithAnswerStarted(ctx context.Context, onStarted func()) context.Context {
	return context.WithValue(ctx, answerStartedKey{}, onStarted)
}

// NotifyAnswerStarted calls the function of WithAnswerStarted, if ctx has one. Clients call it when
// they have received the head of an answer.
func NotifyAnswerStarted(ctx context.Context) {
	if onStarted, set := ctx.Value(answerStartedKey{}).(func()); set {
		onStarted()
	}
}

type newConnectionKey struct{}

// WithNewConnection returns a context that makes a client open a new connection for its call. It is
// for a call after one whose answer was lost: the cause may have cut off the kept connections too.
func WithNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

// NeedsNewConnection reports whether ctx was made by WithNewConnection.
func NeedsNewConnection(ctx context.Context) bool {
	needed, _ := ctx.Value(newConnectionKey{}).(bool)
	return needed
}

type lateListingKey struct{}

// WithLateListing returns a context for a List whose client, when it has given the call up as unanswered, awaits the
// answer for a further time and passes it to onLate.
func WithLateListing(ctx context.Context, onLate func(Listing)) context.Context {
	return context.WithValue(ctx, lateListingKey{}, onLate)
}

// LateListing returns the function of WithLateListing; nil if ctx has none.
func LateListing(ctx context.Context) func(Listing) {
	onLate, _ := ctx.Value(lateListingKey{}).(func(Listing))
	return onLate
}

type lateChangesKey struct{}

// WithLateChanges is WithLateListing for a Watch.
func WithLateChanges(ctx context.Context, onLate func(Changes)) context.Context {
	return context.WithValue(ctx, lateChangesKey{}, onLate)
}

// LateChanges returns the function of WithLateChanges; nil if ctx has none.
func LateChanges(ctx context.Context) func(Changes) {
	onLate, _ := ctx.Value(lateChangesKey{}).(func(Changes))
	return onLate
}
