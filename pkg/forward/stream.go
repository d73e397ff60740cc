package forward

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/lavenderring/lavenderring/pkg/buffermem"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// Bounds of a stream.
const (
	// streamReadBytes is the maximum size of one read of a stream.
	streamReadBytes = 8 << 10
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 1 << 20
)

// eventReader reads the events of a streamed answer.
type eventReader struct {
	body io.Reader
	// onData is called when something has been received.
	onData func()
	// piece is the buffer of one read.
	piece []byte
	// received holds what has been received. Its first numReturned bytes have been returned; up to
	// numComplete it holds complete events that have not.
	received                 answerBuffer
	numReturned, numComplete int
	// hadData reports that an event with an id or data has been returned.
	hadData bool
	// err is why no more can be read.
	err error
}

func newEventReader(body io.Reader, memory *buffermem.Hold, onData func()) *eventReader {
	return &eventReader{
		body: body, onData: onData, piece: make([]byte, streamReadBytes), received: answerBuffer{memory: memory},
	}
}

// fill reads until a complete event has been received. It returns why there is none: io.EOF after the last
// one, errIncomplete, errEventTooLong, buffermem.ErrShort, buffermem.ErrFull or an error of the connection.
func (r *eventReader) fill() error {
	for r.numComplete == 0 {
		if r.err == nil {
			r.err = r.readOnce()
		}
		if r.numComplete == 0 && r.err != nil {
			return r.err
		}
	}
	return nil
}

// readOnce receives what one read returns. It returns why no more can be read.
func (r *eventReader) readOnce() error {
	if err := r.dropReturned(); err != nil {
		return err
	}
	n, readErr := r.body.Read(r.piece)
	if n > 0 {
		r.onData()
	}
	if err := r.received.append(r.piece[:n]); err != nil {
		return err
	}
	r.numComplete = r.received.completeEventsLen()
	return r.check(readErr)
}

func (r *eventReader) dropReturned() error {
	if r.numReturned == 0 {
		return nil
	}
	size := r.numReturned
	r.numReturned = 0
	return r.received.drop(size)
}

// check returns the error of a read, or why the present event cannot be read whole.
func (r *eventReader) check(err error) error {
	incomplete := len(r.received.data) - r.numComplete
	switch {
	case err == nil && incomplete > maxEventBytes:
		return errEventTooLong
	case err == nil:
		return nil
	case errors.Is(err, io.EOF) && incomplete > 0:
		err = errIncomplete
	}
	return readError(err, r.received.memory)
}

// next returns the complete events that have been received, at least one. They are valid until the next call.
func (r *eventReader) next() ([]byte, error) {
	if err := r.fill(); err != nil {
		return nil, err
	}
	events := r.complete()
	r.skip()
	return events, nil
}

// complete returns the complete events that have been received. They are valid until the next read.
func (r *eventReader) complete() []byte { return r.received.data[:r.numComplete] }

// skip passes over the complete events.
func (r *eventReader) skip() {
	r.hadData = r.hadData || dropDelivered(r.complete(), "").hasData()
	r.numReturned, r.numComplete = r.numComplete, 0
}

// deliverStream delivers complete events as they arrive.
func (a *attempt) deliverStream() *failure {
	for {
		events, err := a.events.next()
		switch {
		case errors.Is(err, io.EOF) && a.endsWithConnection() && !a.events.hadData:
			return a.streamEnded(errNoStream)
		case errors.Is(err, io.EOF):
			return a.finishStream()
		case err != nil:
			return a.streamFailed(err)
		}
		if failed := a.deliverEvents(events); failed != nil {
			return failed
		}
	}
}

func (a *attempt) noteHeard() {
	a.heardAt = a.c.f.Now()
	if a.via == "" {
		a.c.f.Links.NoteHeard(a.lease.Service)
	}
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
func (a *attempt) deliverEvents(events []byte) *failure {
	c := a.c
	batch := dropDelivered(events, c.resumeAfter())
	if batch.count == 0 {
		return nil
	}
	if batch.hasData() {
		a.run.NoteAnswering(c.f.Now())
	}
	c.abandonHedges()
	if !c.begun {
		c.begun = true
		c.recordOrigin(a)
		c.f.meters.firstEventTime.Update(c.f.Now().Sub(c.r.Arrived))
		if err := c.client.Begin(a.head.Status, a.head.Header); err != nil {
			return &failure{step: "deliver", err: err, noRetry: true}
		}
	}
	c.timing.recordEvent(c.f.Now(), c.r.Arrived)
	a.lease.ReportFirstEvent()
	c.numEvents.Add(batch.count) // before the write: events that may have reached the client are billed
	if err := c.client.Event(batch.events); err != nil {
		return &failure{step: "deliver", err: err, noRetry: true}
	}
	if batch.lastID != "" {
		c.lastEventID, c.unnumbered = batch.lastID, false
	}
	c.unnumbered = c.unnumbered || batch.unnumbered
	return nil
}

// eventBatch is one or more complete events.
type eventBatch struct {
	events []byte
	count  int64
	// lastID is the last id among the events; empty if none has one.
	lastID string
	// unnumbered says that the last event with data has no id.
	unnumbered bool
}

// hasData reports whether an event has an id or data.
func (b eventBatch) hasData() bool { return b.lastID != "" || b.unnumbered }

// dropDelivered drops the events up to the one with the id have, the last that the client has, and
// returns the remaining ones. An upstream that resumes a stream may repeat the event after which it is
// to continue.
func dropDelivered(events []byte, have string) eventBatch {
	limit, limited := parseEventNumber(have)
	batch := eventBatch{events: events}
	for len(events) > 0 {
		size := firstEventLen(events)
		event := events[:size]
		events = events[size:]
		id := eventID(event)
		if n, numbered := parseEventNumber(id); limited && numbered && n <= limit {
			batch.events = events
			continue
		}
		switch {
		case id != "":
			batch.lastID, batch.unnumbered = id, false
		case hasData(event):
			batch.unnumbered = true
		}
		batch.count++
	}
	return batch
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

// hasData reports whether an event carries data; a comment, for instance, does not.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data")) || bytes.Contains(event, []byte("\ndata"))
}

// finishStream handles the end of the answer.
func (a *attempt) finishStream() *failure {
	c := a.c
	if a.events.hadData {
		a.run.NoteWhole(c.f.Now())
	}
	c.abandonHedges()
	if !c.begun { // a success without any event
		if err := c.client.Begin(a.head.Status, a.head.Header); err != nil {
			return &failure{step: "deliver", err: err, noRetry: true}
		}
		c.begun = true
	}
	if !a.response.Close {
		a.keepFor = a.head.KeepFor
	}
	took := c.f.Now().Sub(c.r.Arrived)
	c.f.meters.streamed.Inc(1)
	c.f.meters.answerTime.Update(took)
	fields := eventlog.Fields{
		"status": a.head.Status, "events": c.numEvents.Load(), "took_ms": took.Milliseconds(), "sent": c.numSent,
	}
	c.timing.addFields(fields)
	c.f.Log.Event(eventlog.RequestRan, c.r.ID, fields)
	return nil
}

// endsWithConnection reports whether the answer has neither a length nor chunks: its end looks like that of an
// upstream that crashes.
func (a *attempt) endsWithConnection() bool {
	return a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0
}

// streamEnded returns the failure of a stream that ended too soon.
func (a *attempt) streamEnded(err error) *failure {
	failed := a.outcomeUnknown("stream", err)
	failed.connEnded = a.endsWithConnection()
	failed.version = a.lease.Version
	return failed
}

// streamFailed returns the failure of a stream that broke off. If the route allows it, the
// stream is resumed at another upstream after the last event that was delivered.
func (a *attempt) streamFailed(err error) *failure {
	switch {
	case errors.Is(err, errEventTooLong):
		return a.outcomeUnknown("stream", err)
	case errors.Is(err, errIncomplete):
		return a.streamEnded(err)
	}
	failed := a.connFailed("stream", err)
	failed.version = a.lease.Version
	return failed
}
