package store

import "context"

type begunKey struct{}

// WithAnswerBegun returns a context under which a client calls begun once the head of an
// answer has come: what follows may be large and take its time on a slow link, but the
// answer is not lost.
func WithAnswerBegun(ctx context.Context, begun func()) context.Context {
	return context.WithValue(ctx, begunKey{}, begun)
}

// AnswerBegun is called by clients when the head of an answer has come.
func AnswerBegun(ctx context.Context) {
	if begun, set := ctx.Value(begunKey{}).(func()); set {
		begun()
	}
}

type newConnectionKey struct{}

// WithNewConnection returns a context under which a client opens a connection for its call. The
// call before it was lost; whatever lost it may have silenced the kept connections too.
func WithNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

// NeedsNewConnection reports whether a client is to open a connection for its call.
func NeedsNewConnection(ctx context.Context) bool {
	needed, _ := ctx.Value(newConnectionKey{}).(bool)
	return needed
}
