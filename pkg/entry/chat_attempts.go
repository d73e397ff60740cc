package entry

import (
	"context"
	"slices"
)

func (c *chatCall) newAttempt() *attempt {
	return &attempt{call: c, out: newAnswerWriter(c.r, &c.req)}
}

// start runs an attempt beside those in progress, unless one of them answers the
// client already.
func (c *chatCall) start(ctx context.Context, a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.chosen != nil {
		return
	}
	ctx, a.cancel = context.WithCancelCause(ctx)
	c.attempts = append(c.attempts, a)
	c.numRunning++
	go func() { c.ended <- a.run(ctx) }()
}

// startRetry starts an attempt on another engine.
func (c *chatCall) startRetry(ctx context.Context) {
	a := c.newAttempt()
	a.isRetry, a.isBeside = true, c.numRunning > 0
	c.start(ctx, a)
}

// awaitAnswer returns the end of the attempt that answered whole, or of the one
// whose problem is told to the client; all attempts have ended in the second case.
func (c *chatCall) awaitAnswer(ctx context.Context) attemptEnd {
	var failed attemptEnd
	for {
		select {
		case a := <-c.silent:
			if c.numRunning == 1 && a.delivery.isSilent.Load() && c.canRetry(nil, true) {
				c.startRetry(ctx)
			}
		case end := <-c.ended:
			c.numRunning--
			if end.whole {
				return end
			}
			if c.isFailure(end) {
				failed = end
			}
			switch {
			case c.numRunning > 0:
			case end.isRefusal() && (failed.problem == nil || failed.canRetry):
				return end
			case end.declined && !end.superseded, !failed.canRetry:
				return failed
			default:
				c.startRetry(ctx)
			}
		}
	}
}

// isFailure reports whether an end is to be told to the client: the attempt failed,
// and no other one has begun to answer.
func (c *chatCall) isFailure(end attemptEnd) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !end.superseded && !end.declined && (c.chosen == nil || c.chosen == end.attempt)
}

// reportSilence tells that an attempt's engine has been silent for some time.
func (c *chatCall) reportSilence(a *attempt) {
	select {
	case c.silent <- a:
	default:
	}
}

// choose lets an attempt answer the client, unless another one does, and reports
// whether it does. The others are canceled.
func (c *chatCall) choose(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.chosen != nil || a.isCanceled {
		return c.chosen == a
	}
	c.chosen = a
	for _, other := range c.attempts {
		if other != a {
			other.supersede()
		}
	}
	return true
}

// cancelLater cancels the attempts that were started while an attempt's engine was
// silent, which goes on.
func (c *chatCall) cancelLater(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.chosen != nil || a.isCanceled {
		return
	}
	for _, later := range c.attempts[slices.Index(c.attempts, a)+1:] {
		later.supersede()
	}
}

// tried returns the engines that attempts were made on.
func (c *chatCall) tried() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.triedUpstreams)
}

func (c *chatCall) addTried(engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.triedUpstreams = append(c.triedUpstreams, engine)
}

// answerBegan reports whether a part of the answer has been written to the client.
func (c *chatCall) answerBegan() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chosen != nil
}
