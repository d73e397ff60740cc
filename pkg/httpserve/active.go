package httpserve

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

// idleCheckInterval is how often AwaitIdle counts the active requests.
const idleCheckInterval = 20 * time.Millisecond

// activeKey marks the context of a request that is counted as active.
const activeKey = "httpserve.active"

// writtenKey holds the function of OnWritten.
const writtenKey = "httpserve.written"

// OnWritten has done called when the response has been written to its end or its connection has ended.
func OnWritten(c *app.RequestContext, done func()) { c.Set(writtenKey, done) }

// activeCounter counts the active requests: those whose handler has started and whose response has not
// been written to its end. The library writes a response after the handler has returned, and a slow
// client may take long to receive it; a counter in the handler would miss that time. It implements the
// library's Tracer, whose Finish is called after the writing.
type activeCounter struct{ numActive atomic.Int64 }

// begin counts a request as active.
func (a *activeCounter) begin(c *app.RequestContext) {
	a.numActive.Add(1)
	c.Set(activeKey, true)
}

// end no longer counts a request as active.
func (a *activeCounter) end(c *app.RequestContext) {
	if c.GetBool(activeKey) {
		c.Set(activeKey, false)
		a.numActive.Add(-1)
	}
}

// Start implements tracer.Tracer.
func (a *activeCounter) Start(ctx context.Context, _ *app.RequestContext) context.Context { return ctx }

// Finish implements tracer.Tracer. The library also calls it when an idle connection ends, and then
// the context has no mark.
func (a *activeCounter) Finish(ctx context.Context, c *app.RequestContext) {
	if conn := connOf(ctx); conn != nil {
		conn.finishRequest()
	}
	if done, ok := c.Value(writtenKey).(func()); ok {
		c.Set(writtenKey, nil)
		done()
	}
	a.end(c)
}

// NumActive returns the number of requests whose handler has started and whose response has not been
// written to its end, without those that are refused because of Refuse.
func (s *Server) NumActive() int64 { return s.active.numActive.Load() }

// AwaitIdle waits until no request is active; it returns ctx's error if ctx is done first.
func (s *Server) AwaitIdle(ctx context.Context) error {
	for s.NumActive() > 0 {
		if !pause.For(ctx, idleCheckInterval) {
			return ctx.Err()
		}
	}
	return nil
}
