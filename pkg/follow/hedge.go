package follow

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// answer is an answer of the store.
type answer[T any] struct {
	value T
	// asOf is a moment as of which the answer is known to be complete: it shows everything that the
	// store had acknowledged by then. The store makes the answer later, and how much of the time
	// until its arrival it was on its way is not known.
	asOf time.Time
}

// callResult is the outcome of a call.
type callResult[T any] struct {
	answer answer[T]
	err    error
}

// hedged makes a call and, if no part of its answer has arrived after a delay, makes it a second
// time in parallel over a connection of its own. The first answer counts. A call that is lost on a
// connection that stays up is detected by nothing but its timeout, which alone is half of the bound
// of a change. Once an answer has begun, it is awaited: it is large, and requesting it twice would
// take twice as long. An answer is complete as of the time when its call was sent.
func hedged[T any](ctx context.Context, delay time.Duration, call func(context.Context) (T, error)) (answer[T], error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answerBegun := make(chan struct{}, 2)
	first := store.WithAnswerStarted(ctx, func() { answerBegun <- struct{}{} })
	results := make(chan callResult[T], 2)
	start := func(ctx context.Context) {
		sentAt := time.Now()
		value, err := call(ctx)
		results <- callResult[T]{answer[T]{value, sentAt}, err}
	}
	go start(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var hedgeDue <-chan time.Time = timer.C
	for pending := 1; ; {
		select {
		case <-answerBegun:
			hedgeDue = nil
		case <-hedgeDue:
			hedgeDue = nil
			pending++
			go start(store.WithNewConnection(ctx))
		case result := <-results:
			pending--
			if result.err == nil || pending == 0 {
				return result.answer, result.err
			}
		}
	}
}
