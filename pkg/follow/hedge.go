package follow

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// answered is how a call ended.
type answered[T any] struct {
	value T
	err   error
}

// hedged makes a call, and if nothing of its answer has come after a time, makes it a second time
// beside the first, over a connection of its own. The first answer counts. A call that is lost on
// a connection that stands is noticed by nothing but its timeout, which alone is half of the
// bound of a change. An answer that has begun is waited for: it is large, and asked for twice it
// would take twice as long.
func hedged[T any](ctx context.Context, after time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := make(chan struct{}, 2)
	first := store.WithAnswerBegun(ctx, func() { begun <- struct{}{} })
	ends := make(chan answered[T], 2)
	start := func(ctx context.Context) {
		value, err := call(ctx)
		ends <- answered[T]{value, err}
	}
	go start(first)
	timer := time.NewTimer(after)
	defer timer.Stop()
	var second <-chan time.Time = timer.C
	for running := 1; ; {
		select {
		case <-begun:
			second = nil
		case <-second:
			second = nil
			running++
			go start(store.WithNewConnection(ctx))
		case end := <-ends:
			running--
			if end.err == nil || running == 0 {
				return end.value, end.err
			}
		}
	}
}
