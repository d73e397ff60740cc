package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/routing"
)

// Bounds of a stream.
const (
	// streamReadBytes is the maximum size of one read of a stream.
	streamReadBytes = 8 << 10
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 1 << 20
)

// deliverStream delivers complete events as they arrive.
func (a *attempt) deliverStream(ctx context.Context, response *http.Response, head *AnswerHead) *failure {
	memory, cancel := a.newMemory(ctx)
	defer cancel()
	defer memory.Release()
	rest := answerBuffer{memory: memory}
	buffer := make([]byte, streamReadBytes)
	for {
		a.setSilenceDeadline()
		n, err := response.Body.Read(buffer)
		if n > 0 && a.via == "" {
			a.c.f.Links.NoteHeard(a.lease.Service)
		}
		if short := rest.append(buffer[:n]); short != nil {
			return a.streamFailed(short)
		}
		if whole := rest.completeEventsLen(); whole > 0 {
			if failed := a.deliverEvents(rest.data[:whole], head); failed != nil {
				return failed
			}
			if short := rest.drop(whole); short != nil {
				return a.streamFailed(short)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return a.finishStream(response, head, rest.data)
		case err != nil:
			return a.streamFailed(readError(err, memory))
		case len(rest.data) > maxEventBytes:
			return a.outcomeUnknown("stream", errIncomplete)
		}
	}
}

// setSilenceDeadline bounds the wait for the next data if the stream can be resumed at
// another upstream.
func (a *attempt) setSilenceDeadline() {
	c := a.c
	deadline := c.deadline
	if c.route.Resumable && c.numSent < c.route.MaxAttempts {
		silence := silenceFactor * max(c.route.MaxPause, c.route.Objective)
		if earlier := c.f.Now().Add(silence); earlier.Before(deadline) {
			deadline = earlier
		}
	}
	a.conn.SetDeadline(deadline)
}

// completeEventsLen returns the length of the complete events at the beginning of data; an
// event ends with an empty line.
func completeEventsLen(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + len("\n\n")
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+len("\r\n\r\n"))
	}
	return end
}

// deliverEvents delivers complete events, and the answer's head before the first.
func (a *attempt) deliverEvents(events []byte, head *AnswerHead) *failure {
	c := a.c
	events, count, last := dropDelivered(events, c.lastEventID)
	if count == 0 {
		return nil
	}
	if !c.begun {
		c.begun = true
		c.recordOrigin(a.lease)
		c.f.meters.firstEventTime.Update(c.f.Now().Sub(c.r.Arrived))
		if err := c.client.Begin(head.Status, head.Header); err != nil {
			return &failure{step: "deliver", err: err, noRetry: true}
		}
	}
	c.timing.recordEvent(c.f.Now(), c.r.Arrived)
	a.lease.ReportFirstEvent()
	c.numEvents += count // before the write: events that may have reached the client are billed
	if err := c.client.Event(events); err != nil {
		return &failure{step: "deliver", err: err, noRetry: true}
	}
	if last != "" {
		c.lastEventID = last
	}
	return nil
}

// dropDelivered drops the events up to the one with the id have, the last that the client has. It
// returns the remaining events, their number and the last id among them. An upstream that resumes
// a stream may repeat the event after which it is to continue.
func dropDelivered(events []byte, have string) (rest []byte, count int64, last string) {
	limit, limited := parseEventNumber(have)
	rest = events
	for len(events) > 0 {
		size := firstEventLen(events)
		event := events[:size]
		events = events[size:]
		id := eventID(event)
		if n, numbered := parseEventNumber(id); limited && numbered && n <= limit {
			rest = events
			continue
		}
		if id != "" {
			last = id
		}
		count++
	}
	return rest, count, last
}

func parseEventNumber(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// firstEventLen returns the length of the first of one or more complete events.
func firstEventLen(events []byte) int {
	size := len(events)
	if i := bytes.Index(events, []byte("\n\n")); i >= 0 {
		size = i + len("\n\n")
	}
	if i := bytes.Index(events, []byte("\r\n\r\n")); i >= 0 {
		size = min(size, i+len("\r\n\r\n"))
	}
	return size
}

// eventID returns the id of an event; empty if it has none.
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// finishStream handles the end of the answer. Bytes after the last complete event mean
// that the answer broke off within an event.
func (a *attempt) finishStream(response *http.Response, head *AnswerHead, rest []byte) *failure {
	if len(rest) > 0 {
		return a.outcomeUnknown("stream", errIncomplete)
	}
	c := a.c
	if !c.begun { // a success without any event
		if err := c.client.Begin(head.Status, head.Header); err != nil {
			return &failure{step: "deliver", err: err, noRetry: true}
		}
		c.begun = true
	}
	if !response.Close {
		a.keepFor = head.KeepFor
	}
	took := c.f.Now().Sub(c.r.Arrived)
	c.f.meters.streamed.Inc(1)
	c.f.meters.answerTime.Update(took)
	fields := eventlog.Fields{
		"status": head.Status, "events": c.numEvents, "took_ms": took.Milliseconds(), "sent": c.numSent,
	}
	c.timing.addFields(fields)
	c.f.Log.Event(eventlog.RequestRan, c.r.ID, fields)
	return nil
}

// streamFailed returns the failure of a stream that broke off. If the route allows it, the
// stream is resumed at another upstream after the last event that was delivered.
func (a *attempt) streamFailed(err error) *failure {
	failed := a.connFailed("stream", err)
	failed.version = a.lease.Version
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() && a.c.remaining() <= minAttemptTime {
		failed.noRetry = true
	}
	if a.c.begun && !(a.c.route.Kind == routing.Stream && a.c.route.Resumable) {
		failed.noRetry = true
	}
	if a.c.begun && !failed.noRetry {
		a.c.f.meters.resumed.Inc(1)
	}
	return failed
}
