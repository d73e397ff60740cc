package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/dispatch"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
	"github.com/lavenderring/lavenderring/pkg/upstream"
)

// Bounds of an engine's silence.
const (
	// minSilenceBound is the least silence after which an answer is given up. A sound engine may fall
	// silent for a second or more, even if a service document sets a short idle timeout.
	minSilenceBound = 5 * time.Second
	// minAskInterval is the least interval at which something better is asked for during a silence.
	minAskInterval = 500 * time.Millisecond
	// maxAnswerTextBytes bounds the text of an answer, all of which is kept in memory.
	maxAnswerTextBytes = 16 << 20
)

// errClientGone means that the answer could not be written to the client, or that the client left before the
// request was sent.
var errClientGone = errors.New("the caller is gone")

// delivery passes one engine's answer on to the client. It resumes the stream at
// its offset when the connection breaks. If the engine falls silent, it asks for
// the rest over a second connection, and gives up the first one only when the
// second one goes on.
type delivery struct {
	attempt *attempt
	call    *chatCall
	lease   *dispatch.Lease
	run     *quarantine.Run
	// offset is the number of tokens delivered so far.
	offset int64
	usage  *chat.Usage
	// textBytes is the length of the text delivered so far.
	textBytes int
	// incarnation is the process that generated the tokens delivered so far; empty if it did not say.
	incarnation string
	// sent is false while every attempt failed before the request was sent.
	sent atomic.Bool

	// parts receives what the readers of the connections receive.
	parts   chan part
	readers sync.WaitGroup
	// current is the connection whose events are delivered; replacement, if not nil, is one that is to
	// replace it.
	current, replacement *connection
	// replacementErr is why the last replacement since the last token failed.
	replacementErr error
	// numResumes counts the connections that asked for the rest since the last token.
	numResumes int
	// lastProgress is the time of the last token, or of the request; silence fires when something better
	// is to be asked for, numAsks times since then.
	lastProgress time.Time
	silence      *time.Timer
	numAsks      int
	// isSilent is true from the idle timeout on until the next token.
	isSilent atomic.Bool
}

// deliver sends the request to the engine and delivers its answer. It returns nil once the answer is whole.
func (d *delivery) deliver(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.parts = make(chan part)
	d.silence = time.NewTimer(d.idleTimeout())
	defer d.silence.Stop()
	d.lastProgress = d.call.e.Now()
	d.current = d.connect(ctx, false)
	err := d.awaitEnd(ctx)
	if err != nil {
		cancel()
		d.readers.Wait() // no reader sets d.sent any more
	}
	return err
}

// awaitEnd handles what the connections receive until the answer is whole or given up.
func (d *delivery) awaitEnd(ctx context.Context) error {
	for {
		select {
		case p := <-d.parts:
			if whole, err := d.handlePart(ctx, p); whole || err != nil {
				return err
			}
		case <-d.silence.C:
			if whole, err := d.handleTimer(ctx); whole || err != nil {
				return err
			}
		case <-ctx.Done():
			return d.streamError(context.Cause(ctx))
		}
	}
}

// handleTimer is called when the time of a silence is over. What has been received meanwhile comes first: a client
// that reads slowly is no silence of the engine.
func (d *delivery) handleTimer(ctx context.Context) (whole bool, err error) {
	select {
	case p := <-d.parts:
		d.silence.Reset(minAskInterval)
		return d.handlePart(ctx, p)
	default:
		return false, d.handleSilence(ctx)
	}
}

// handlePart handles one part and reports whether the answer is whole.
func (d *delivery) handlePart(ctx context.Context, p part) (whole bool, err error) {
	switch {
	case p.from != d.current && p.from != d.replacement:
		return false, nil // given up while the part was on its way
	case p.err != nil:
		return false, d.handleEnd(ctx, p)
	case p.header != nil:
		d.handleHeader(p)
		return false, nil
	case d.isRepeated(p.event):
		return false, nil
	}
	d.choose(p.from)
	if p.event.End {
		d.run.NoteWhole(d.call.e.Now())
		return true, nil
	}
	return false, d.handleEvent(p.event)
}

func (d *delivery) handleHeader(p part) {
	p.from.incarnation = p.header.incarnation
	d.lease.ReportLoad(p.header.load)
	d.call.e.recordIncarnation(d.lease.Upstream.Address, p.header.incarnation, p.from.sentAt)
}

// isRepeated reports whether an event's tokens have been delivered: an engine that
// resumes too early repeats them.
func (d *delivery) isRepeated(event upstream.Event) bool {
	return event.Offset > 0 && event.Offset <= d.offset
}

// choose delivers the rest from the connection that goes on, and gives the other one up. Events of two
// connections are never mixed: they may join several tokens differently.
func (d *delivery) choose(goesOn *connection) {
	if goesOn == d.replacement {
		d.current.cancel()
		d.current, d.replacement = d.replacement, nil
	}
	d.cancelReplacement()
}

func (d *delivery) cancelReplacement() {
	if d.replacement != nil {
		d.replacement.cancel()
		d.replacement = nil
	}
}

// handleEvent passes one event on to the client.
func (d *delivery) handleEvent(event upstream.Event) error {
	if event.Response.Usage != nil {
		d.usage = event.Response.Usage
	}
	text := textLength(&event.Response)
	if d.textBytes += text; d.textBytes > maxAnswerTextBytes {
		return d.streamError(upstream.ErrTooLong)
	}
	if event.Offset > 0 || text > 0 {
		d.noteProgress()
	}
	if event.Offset > 0 {
		d.run.NoteAnswering(d.call.e.Now())
		if d.offset == 0 {
			d.incarnation = d.current.incarnation
			d.call.e.metrics.timeToFirstToken.UpdateSince(d.call.r.started)
		}
		d.offset = event.Offset
	}
	return d.attempt.event(event.Offset, &event.Response)
}

func textLength(response *chat.Response) int {
	length := 0
	for _, choice := range response.Choices {
		if choice.Delta != nil {
			length += len(choice.Delta.Content)
		}
	}
	return length
}

func (d *delivery) noteProgress() {
	d.lastProgress = d.call.e.Now()
	d.numResumes, d.numAsks, d.replacementErr = 0, 0, nil
	if d.isSilent.Swap(false) {
		d.call.cancelLater(d.attempt)
	}
	d.silence.Reset(d.idleTimeout())
}

// handleEnd handles the end of a connection before the answer is whole. It returns an error if nothing more
// can come.
func (d *delivery) handleEnd(ctx context.Context, p part) error {
	if p.from == d.replacement {
		d.replacement, d.replacementErr = nil, p.err
		d.logResume(eventlog.RequestBrokeOff, p.err)
		return nil
	}
	if d.replacement != nil && !errors.Is(p.err, upstream.ErrRequestIDMismatch) {
		d.current, d.replacement = d.replacement, nil
		return nil
	}
	if !d.isBroken(p.err) || !d.mayResume() || !pause.For(ctx, resumeDelay) {
		return p.err
	}
	d.current = d.resume(ctx, p.err)
	return nil
}

// isBroken reports whether the engine may still have the rest after a connection has ended. A connection that gave
// no answer at all when the rest was asked for counts only if no other engine may be tried.
func (d *delivery) isBroken(err error) bool {
	if errors.Is(err, upstream.ErrTruncated) {
		return true
	}
	var call *upstream.CallError
	unanswered := errors.As(err, &call) && call.Status == 0 && !errors.Is(err, upstream.ErrTooLong)
	return unanswered && d.numResumes > 0 && !d.call.canRetry(err, true)
}

// mayResume reports whether the engine may be asked for the rest: it may have the
// request, and has not been asked too often since the last token. Tokens of a
// process that is not known could come from another software version than the
// rest.
func (d *delivery) mayResume() bool {
	processKnown := d.offset == 0 || d.incarnation != ""
	return d.sent.Load() && processKnown && d.numResumes < maxResumes
}

// resume asks the same engine for the rest over a new connection.
func (d *delivery) resume(ctx context.Context, cause error) *connection {
	d.numResumes++
	d.call.e.metrics.resumed.Inc(1)
	d.logResume(eventlog.RequestResumed, cause)
	return d.connect(ctx, true)
}

func (d *delivery) logResume(number eventlog.Number, cause error) {
	d.call.e.Log.Event(number, d.call.r.id, eventlog.Fields{"offset": d.offset, "cause": cause.Error()})
}

// handleSilence asks for something better than an engine that has been silent for the idle timeout: first
// for the rest over a new connection, then also for another engine. What there is, is kept meanwhile. It
// returns an error if the silence has lasted too long.
func (d *delivery) handleSilence(ctx context.Context) error {
	remaining := d.silenceBound() - d.call.e.Now().Sub(d.lastProgress)
	if remaining <= 0 {
		return d.silenceError()
	}
	d.numAsks++
	d.isSilent.Store(true)
	mayResume := d.mayResume()
	if mayResume {
		d.cancelReplacement()
		d.replacement = d.resume(ctx, upstream.ErrIdleTimeout)
	}
	if d.numAsks > 1 || !mayResume {
		d.call.reportSilence(d.attempt)
	}
	d.silence.Reset(min(remaining, max(d.idleTimeout(), minAskInterval)))
	return nil
}

func (d *delivery) idleTimeout() time.Duration { return d.call.r.doc.Limits.StreamIdleTimeout() }

// silenceBound returns how long an engine may be silent before its answer is given up.
func (d *delivery) silenceBound() time.Duration {
	return max((1+maxResumes)*d.idleTimeout(), minSilenceBound)
}

// silenceError returns why an answer ends after a silence: the engine's refusal of the rest, if it refused.
func (d *delivery) silenceError() error {
	if d.replacementErr != nil {
		return d.replacementErr
	}
	return d.streamError(upstream.ErrIdleTimeout)
}

// supersededError returns why an attempt ended that lost against another one: its engine's silence, if it
// was silent.
func (d *delivery) supersededError() error {
	if d.isSilent.Load() {
		return d.silenceError()
	}
	return errSuperseded
}

func (d *delivery) streamError(err error) error {
	return &upstream.CallError{Step: "stream", Peer: d.lease.Upstream.Address, Status: consts.StatusOK, Err: err}
}

// tokensUsed returns the usage that the engine reported, or maxCost if it
// reported none.
func (d *delivery) tokensUsed(maxCost int64) int64 {
	if d.usage == nil {
		return maxCost
	}
	return d.usage.Total()
}
