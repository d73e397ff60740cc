package entry

import (
	"context"
	"errors"

	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/dispatch"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/upstream"
)

// errClientGone means that the answer could not be written to the client.
var errClientGone = errors.New("the caller is gone")

// delivery passes one engine's answer on to the client. It resumes the stream at
// its offset when the connection breaks.
type delivery struct {
	call       *chatCall
	lease      *dispatch.Lease
	usage      *chat.Usage
	numResumes int
	// incarnation is the process that generated the tokens delivered so far; empty if it did not say.
	incarnation string
	// sent is false while every attempt failed before the request was sent.
	sent bool
}

func (d *delivery) deliver(ctx context.Context) error {
	for {
		err := d.readStream(ctx)
		d.sent = d.sent || !failedBeforeSending(err)
		if err == nil || !d.shouldResume(ctx, err) {
			return err
		}
		d.numResumes++
		d.call.e.metrics.resumed.Inc(1)
		d.call.e.Log.Event(eventlog.RequestResumed, d.call.r.id, eventlog.Fields{"offset": d.call.offset, "cause": err.Error()})
		if !pause.For(ctx, resumeDelay) {
			return err
		}
	}
}

// shouldResume reports whether to ask the same engine for the rest: the stream
// broke or reached its idle timeout after the engine had accepted the request.
// Tokens of a process that is not known could come from another software version
// than the rest.
func (d *delivery) shouldResume(ctx context.Context, err error) bool {
	broken := errors.Is(err, upstream.ErrTruncated) || errors.Is(err, upstream.ErrIdleTimeout)
	processKnown := d.call.offset == 0 || d.incarnation != ""
	return broken && processKnown && d.numResumes < maxResumes && ctx.Err() == nil
}

// readStream opens or resumes the stream and handles its events until it ends.
func (d *delivery) readStream(ctx context.Context) error {
	sentAt := d.call.e.Now()
	stream, err := upstream.Open(ctx, d.lease.Upstream.Address, upstream.StreamRequest{
		ID:          d.call.r.id,
		Body:        d.call.body,
		Resume:      d.numResumes > 0,
		Offset:      d.call.offset,
		Incarnation: d.incarnation,
		Urgent:      d.call.pool.Urgent,
		IdleTimeout: d.call.r.doc.Limits.StreamIdleTimeout(),
	}, &d.call.r.tracker)
	if err != nil {
		return err
	}
	defer stream.Close()
	d.lease.ReportLoad(stream.Load)
	d.call.e.recordIncarnation(d.lease.Upstream.Address, stream.Incarnation, sentAt)
	for {
		event, err := stream.Next()
		if err != nil {
			return err
		}
		if event.End {
			return nil
		}
		if d.call.offset == 0 && event.Offset > 0 {
			d.incarnation = stream.Incarnation
		}
		if err := d.handleEvent(event); err != nil {
			return err
		}
	}
}

// handleEvent passes one event on to the client. An engine that resumes too early
// repeats tokens that have been delivered; these are recognized by their offset
// and dropped.
func (d *delivery) handleEvent(event upstream.Event) error {
	if event.Response.Usage != nil {
		d.usage = event.Response.Usage
	}
	if event.Offset > 0 && event.Offset <= d.call.offset {
		return nil
	}
	if event.Offset > 0 {
		if d.call.offset == 0 {
			d.call.e.metrics.timeToFirstToken.UpdateSince(d.call.r.started)
		}
		d.call.offset = event.Offset
	}
	return d.call.out.event(event.Offset, &event.Response)
}

// tokensUsed returns the usage that the engine reported, or maxCost if it
// reported none.
func (d *delivery) tokensUsed(maxCost int64) int64 {
	if d.usage == nil {
		return maxCost
	}
	return d.usage.Total()
}
