package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/httpcall"
)

// maxEventBytes bounds one event of an engine's stream.
const maxEventBytes = 1 << 20

// StreamRequest starts or resumes a streamed answer.
type StreamRequest struct {
	ID   string
	Body []byte
	// Resume asks for the rest of the answer to a request that the engine knows.
	Resume bool
	// Offset is the number of tokens after which the answer is resumed.
	Offset int64
	// Incarnation is the only process of the engine whose answer is accepted; empty for any.
	Incarnation string
	// Urgent asks the engine to start the request before others.
	Urgent bool
}

// Event is one part of a streamed answer.
type Event struct {
	// Offset is the number of tokens of the answer up to and including this event;
	// 0 for events that carry no token.
	Offset int64
	// Response is the event's content.
	Response chat.Response
	// End is set on the event that ends a whole answer.
	End bool
}

// Stream reads a streamed answer. Close must be called. No read has a time limit: an engine that falls
// silent may go on, so the caller decides when to give it up, and ends the context.
type Stream struct {
	address   string
	id        string
	reader    *sse.Reader
	body      *boundedBody
	resp      *protocol.Response
	closeCall func()
	cancel    context.CancelFunc
	ctx       context.Context
	// Load is the load that the engine reported in the response header; negative
	// if it reported none.
	Load float64
	// Incarnation identifies the engine's process; empty if the engine did not
	// name it.
	Incarnation string
}

// Open sends a request to an engine and reads the response header. onSending is
// called before the first byte is sent. Errors: *CallError.
func Open(ctx context.Context, address string, r StreamRequest, onSending func()) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{address: address, id: r.ID, cancel: cancel, ctx: ctx}
	if err := s.open(ctx, r, onSending); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Stream) open(ctx context.Context, r StreamRequest, onSending func()) error {
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	s.resp = protocol.AcquireResponse()
	fillRequest(req, s.address, r)
	opts := httpcall.Options{Address: s.address, OnSending: onSending, Stream: true}
	closeCall, err := httpcall.Call(ctx, opts, req, s.resp)
	s.closeCall = closeCall
	if err != nil {
		return callError(s.address, err)
	}
	s.Load = parseLoad(s.resp.Header.Get(chat.HeaderLoad))
	s.Incarnation = s.resp.Header.Get(chat.HeaderIncarnation)
	if err := s.checkHead(r.Incarnation); err != nil {
		return err
	}
	s.body = &boundedBody{body: s.resp.BodyStream()}
	s.resp.SetBodyStreamNoReset(s.body, s.resp.Header.ContentLength())
	s.reader, err = sse.NewReader(s.resp)
	if err != nil {
		return &CallError{Step: "stream", Peer: s.address, Status: s.resp.StatusCode(), Err: err}
	}
	s.reader.SetMaxBufferSize(maxEventBytes)
	return nil
}

// boundedBody bounds what is read of a body for one event: the reader keeps all lines of an event in memory
// until its end, which need not come.
type boundedBody struct {
	body      io.Reader
	remaining int
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, ErrTooLong
	}
	n, err := b.body.Read(p)
	b.remaining -= n
	return n, err
}

func fillRequest(req *protocol.Request, address string, r StreamRequest) {
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI("http://" + address + "/v1/chat/completions")
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.Header.Set(chat.HeaderRequestID, r.ID)
	if r.Resume {
		req.Header.Set(chat.HeaderResumeOffset, strconv.FormatInt(r.Offset, 10))
	}
	if r.Urgent {
		req.Header.Set(chat.HeaderPriority, "urgent")
	}
	req.SetBodyRaw(r.Body)
}

// checkHead returns an error if the answer is not one to this request by an accepted process.
func (s *Stream) checkHead(incarnation string) error {
	status := s.resp.StatusCode()
	switch {
	case status == consts.StatusGone:
		return &CallError{Step: "status", Peer: s.address, Status: status, Err: ErrUnknownRequest}
	case status != consts.StatusOK:
		return &CallError{Step: "status", Peer: s.address, Status: status, Err: fmt.Errorf("status %d", status)}
	case s.resp.Header.Get(chat.HeaderRequestID) != s.id:
		return &CallError{Step: "status", Peer: s.address, Status: status, Err: ErrRequestIDMismatch}
	case incarnation != "" && s.Incarnation != incarnation:
		return &CallError{Step: "status", Peer: s.address, Status: status, Err: ErrOtherProcess}
	}
	return nil
}

// Next returns the next event. A stream that ends without its end mark is an
// error, never a shorter answer. Errors: *CallError, which wraps ErrTruncated,
// ErrRequestIDMismatch, a decoding error or the context's cause.
func (s *Stream) Next() (Event, error) {
	s.body.remaining = 2 * maxEventBytes // the reader reads ahead
	event := sse.NewEvent()
	defer event.Release()
	if err := s.reader.Read(event); err != nil {
		return Event{}, s.readError(err)
	}
	if string(event.Data) == chat.EndMark {
		return Event{End: true}, nil
	}
	out := Event{}
	if err := decodeAnswer(event.Data, &out.Response); err != nil {
		return Event{}, s.streamError(err)
	}
	if out.Response.ID != s.id {
		return Event{}, s.streamError(ErrRequestIDMismatch)
	}
	out.Offset, _ = strconv.ParseInt(event.ID, 10, 64)
	return out, nil
}

func (s *Stream) readError(err error) error {
	if s.ctx.Err() != nil {
		return s.streamError(context.Cause(s.ctx))
	}
	if err == io.EOF {
		return s.streamError(ErrTruncated)
	}
	if errors.Is(err, ErrTooLong) {
		return s.streamError(err)
	}
	return s.streamError(fmt.Errorf("%w: %w", ErrTruncated, err))
}

func (s *Stream) streamError(err error) error {
	return &CallError{Step: "stream", Peer: s.address, Status: consts.StatusOK, Err: err}
}

// Close ends the call and its connection.
func (s *Stream) Close() {
	s.cancel()
	if s.closeCall != nil {
		s.closeCall()
	}
}

func decodeAnswer(data []byte, target any) error {
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
