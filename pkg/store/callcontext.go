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
