package forward

import (
	"bytes"
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
	// readBytes is the size of one read of a stream.
	readBytes = 8 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// stream forwards whole events as they come.
func (a *attempt) stream(response *http.Response, head *AnswerHead) *failure {
	var rest []byte
	buffer := make([]byte, readBytes)
	for {
		a.setSilence()
		n, err := response.Body.Read(buffer)
		rest = append(rest, buffer[:n]...)
		whole := wholeEvents(rest)
		if whole > 0 {
			if failed := a.forward(rest[:whole], head); failed != nil {
				return failed
			}
			rest = append(rest[:0], rest[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return a.streamEnd(response, head, rest)
		case err != nil:
			return a.streamBroken(err)
		case len(rest) > maxEventBytes:
			return a.unknown("stream", errBroken)
		}
	}
}

// setSilence bounds the wait for the next piece where the stream can go on
// elsewhere.
func (a *attempt) setSilence() {
	c := a.c
	deadline := c.deadline
	if c.route.Resumable && c.sent < c.route.MaxAttempts {
		silence := silenceFactor * max(c.route.Pause, c.route.Objective)
		if early := c.f.Now().Add(silence); early.Before(deadline) {
			deadline = early
		}
	}
	a.conn.SetDeadline(deadline)
}

// wholeEvents returns the length of the whole events at the beginning; an event
// ends with an empty line.
func wholeEvents(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + len("\n\n")
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+len("\r\n\r\n"))
	}
	return end
}

// forward delivers whole events, with the answer's head before the first.
func (a *attempt) forward(events []byte, head *AnswerHead) *failure {
	c := a.c
	events, count, last := unseen(events, c.lastEventID)
	if count == 0 {
		return nil
	}
	if !c.begun {
		c.begun = true
		c.f.meters.firstEvent.Update(c.f.Now().Sub(c.r.Arrived))
		if err := c.client.Begin(head.Status, head.Header); err != nil {
			return &failure{step: "deliver", err: err, final: true}
		}
	}
	c.pace.event(c.f.Now(), c.r.Arrived)
	a.place.FirstEvent()
	c.events += count // what may have reached the client is billed
	if err := c.client.Event(events); err != nil {
		return &failure{step: "deliver", err: err, final: true}
	}
	if last != "" {
		c.lastEventID = last
	}
	return nil
}

// unseen drops the events up to the one that the client has, and returns the
// rest, their number and the last id among them. An upstream that resumes a
// stream may begin with the event it is to go on behind.
func unseen(events []byte, have string) (rest []byte, count int64, last string) {
	limit, limited := number(have)
	rest = events
	for len(events) > 0 {
		size := firstEvent(events)
		event := events[:size]
		events = events[size:]
		id := eventID(event)
		if n, numbered := number(id); limited && numbered && n <= limit {
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

func number(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// firstEvent returns the length of the first event of whole events.
func firstEvent(events []byte) int {
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

// streamEnd is the orderly end of the answer. Bytes behind the last event mean
// that it broke off within one.
func (a *attempt) streamEnd(response *http.Response, head *AnswerHead, rest []byte) *failure {
	if len(rest) > 0 {
		return a.unknown("stream", errBroken)
	}
	c := a.c
	if !c.begun { // a success without any event
		if err := c.client.Begin(head.Status, head.Header); err != nil {
			return &failure{step: "deliver", err: err, final: true}
		}
		c.begun = true
	}
	if !response.Close {
		a.reuse = head.KeepFor
	}
	took := c.f.Now().Sub(c.r.Arrived)
	c.f.meters.streamed.Inc(1)
	c.f.meters.whole.Update(took)
	fields := eventlog.Fields{
		"status": head.Status, "events": c.events, "took_ms": took.Milliseconds(), "sent": c.sent,
	}
	c.pace.tell(fields)
	c.f.Log.Event(eventlog.RequestRan, c.r.ID, fields)
	return nil
}

// streamBroken is a stream that did not end in order. One that may be resumed
// goes on at another upstream behind the last event that was delivered.
func (a *attempt) streamBroken(err error) *failure {
	failed := a.broken("stream", err)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() && a.c.remaining() <= leastAttemptTime {
		failed.final = true
	}
	if a.c.begun && !(a.c.route.Kind == routing.Stream && a.c.route.Resumable) {
		failed.final = true
	}
	if a.c.begun && !failed.final {
		a.c.f.meters.resumed.Inc(1)
	}
	return failed
}
