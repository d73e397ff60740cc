// Package upstream calls model engines and plain services.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/buffermem"
	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/httpcall"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/outcome"
)

// Errors of a call.
var (
	// ErrRequestIDMismatch means that the answer carries another request's id.
	// The answer and its connection are discarded.
	ErrRequestIDMismatch = errors.New("answer carries another request's id")
	// ErrUnknownRequest means that the engine does not know the request, or does
	// not know it any more.
	ErrUnknownRequest = errors.New("upstream does not know the request")
	// ErrOtherProcess means that another process answers at the engine's address, or one that does not
	// say which it is.
	ErrOtherProcess = errors.New("another process answers at the address")
	// ErrTruncated means that a stream ended without its end mark.
	ErrTruncated = errors.New("stream ended without its end mark")
	// ErrTooLong means that the answer, its head or an event exceeded a limit: this side ended the connection.
	ErrTooLong = errors.New("answer exceeds the limit")
	// ErrIdleTimeout means that an upstream was silent for longer than its answer may wait.
	ErrIdleTimeout = errors.New("upstream fell silent")
)

// CallError describes at which step and upstream a call failed.
type CallError struct {
	// Step is "dial", "exchange", "status", "stream", "load" or "cancel".
	Step string
	// Peer is the upstream's address.
	Peer string
	// Status is the HTTP status; 0 if none was received.
	Status int
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("upstream %s %s (status %d): %v", e.Step, e.Peer, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

func callError(address string, err error) error {
	if errors.Is(err, httpconn.ErrHeadTooLong) || errors.Is(err, httpcall.ErrResponseTooLong) || errors.Is(err, buffermem.ErrTooLong) ||
		errors.Is(err, buffermem.ErrShort) || errors.Is(err, buffermem.ErrFull) {
		err = &httpcall.Error{Step: "exchange", Peer: address, Err: errors.Join(ErrTooLong, err)}
	}
	var call *httpcall.Error
	if errors.As(err, &call) {
		return &CallError{Step: call.Step, Peer: address, Err: call.Err}
	}
	return &CallError{Step: "exchange", Peer: address, Err: err}
}

// Sizes of a plain service's answer.
const (
	// maxAnswerBytes bounds its body.
	maxAnswerBytes = 16 << 20
	// firstAnswerBytes is the size of the first buffer, and maxAnswerReadBytes bounds one read: the library gathers
	// so much of a chunk.
	firstAnswerBytes   = 4 << 10
	maxAnswerReadBytes = 16 << 10
)

// PlainRequest is a request to a plain service.
type PlainRequest struct {
	ID, Method, Path, Query, ContentType, IdempotencyKey string
	Body                                                 []byte // not changed, and not copied
}

// PlainAnswer is the answer of a plain service.
type PlainAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// Load is the load that the upstream reported; negative if it reported none.
	Load float64
	// Incarnation identifies the upstream's process; empty if the upstream did
	// not name it.
	Incarnation string
}

// CallPlain calls a plain service. tracker is marked before the first byte is
// sent. The answer's body is held in memory, which the caller releases. Errors: *CallError.
func CallPlain(
	ctx context.Context, address string, r PlainRequest, tracker *outcome.Tracker, memory *buffermem.Hold,
) (*PlainAnswer, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	uri := "http://" + address + r.Path
	if r.Query != "" {
		uri += "?" + r.Query
	}
	req.SetMethod(r.Method)
	req.SetRequestURI(uri)
	req.SetBodyRaw(r.Body)
	req.Header.Set(chat.HeaderRequestID, r.ID)
	if r.ContentType != "" {
		req.Header.SetContentTypeBytes([]byte(r.ContentType))
	}
	if r.IdempotencyKey != "" {
		req.Header.Set(chat.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	opts := httpcall.Options{Address: address, OnSending: tracker.MarkSending, Stream: true}
	closeCall, err := httpcall.Call(ctx, opts, req, resp)
	defer closeCall()
	if err != nil {
		return nil, callError(address, err)
	}
	body, err := readBody(resp, memory)
	if err != nil {
		return nil, callError(address, err)
	}
	if resp.Header.Get(chat.HeaderRequestID) != r.ID {
		return nil, &CallError{Step: "exchange", Peer: address, Status: resp.StatusCode(), Err: ErrRequestIDMismatch}
	}
	return &PlainAnswer{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        body,
		Load:        parseLoad(resp.Header.Get(chat.HeaderLoad)),
		Incarnation: resp.Header.Get(chat.HeaderIncarnation),
	}, nil
}

// unknownLength is the length of a body that is not announced.
const unknownLength = -1

// readBody reads a response's body into memory that is taken for it.
func readBody(resp *protocol.Response, memory *buffermem.Hold) ([]byte, error) {
	if !resp.IsBodyStream() {
		return nil, memory.MarkWhole() // there is none
	}
	body, err := buffermem.ReadAll(resp.BodyStream(), buffermem.Message{
		Length: max(resp.Header.ContentLength(), unknownLength), Limit: maxAnswerBytes, FirstBytes: firstAnswerBytes, MaxReadBytes: maxAnswerReadBytes, Take: memory.Resize,
	})
	if memory.IsGivenUp() {
		err = buffermem.ErrShort // the connection was ended for it
	}
	if err == nil {
		err = memory.MarkWhole()
	}
	return body, err
}

// parseLoad parses "running/waiting" and returns the sum, or -1 if text is not a
// valid load.
func parseLoad(text string) float64 {
	running, waiting, found := strings.Cut(text, "/")
	r, errRunning := strconv.ParseFloat(running, 64)
	w, errWaiting := strconv.ParseFloat(waiting, 64)
	if !found || errRunning != nil || errWaiting != nil || !(r >= 0) || !(w >= 0) {
		return -1
	}
	return r + w
}

// FetchLoad queries an engine for its load, the number of its running and waiting
// requests. Errors: *CallError.
func FetchLoad(ctx context.Context, address string) (float64, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(consts.MethodGet)
	req.SetRequestURI("http://" + address + "/load")
	closeCall, err := httpcall.Call(ctx, httpcall.Options{Address: address, MaxResponseBytes: maxEventBytes}, req, resp)
	defer closeCall()
	if err != nil {
		return 0, callError(address, err)
	}
	load := parseLoad(resp.Header.Get(chat.HeaderLoad))
	if resp.StatusCode() != consts.StatusOK || load < 0 {
		return 0, &CallError{Step: "load", Peer: address, Status: resp.StatusCode(), Err: errNoLoad}
	}
	return load, nil
}

// errNoLoad means that an engine did not report a valid load.
var errNoLoad = errors.New("no load reported")

// FetchIncarnation queries an upstream for its incarnation by an OPTIONS request, which has no side
// effects; the result is empty if the upstream does not name it. Errors: *CallError.
func FetchIncarnation(ctx context.Context, address string) (string, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(consts.MethodOptions)
	req.SetRequestURI("http://" + address + "/")
	closeCall, err := httpcall.Call(ctx, httpcall.Options{Address: address, MaxResponseBytes: maxEventBytes}, req, resp)
	defer closeCall()
	if err != nil {
		return "", callError(address, err)
	}
	return resp.Header.Get(chat.HeaderIncarnation), nil
}

// Cancel cancels a request on an engine and returns the tokens that it used.
// Errors: *CallError, which wraps ErrUnknownRequest if the engine never had
// the request.
func Cancel(ctx context.Context, address, id string) (chat.Usage, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI("http://" + address + "/cancel/" + id)
	opts := httpcall.Options{Address: address, MaxResponseBytes: maxEventBytes}
	closeCall, err := httpcall.Call(ctx, opts, req, resp)
	defer closeCall()
	if err != nil {
		return chat.Usage{}, callError(address, err)
	}
	if resp.StatusCode() == consts.StatusNotFound {
		return chat.Usage{}, &CallError{Step: "cancel", Peer: address, Status: resp.StatusCode(), Err: ErrUnknownRequest}
	}
	var usage chat.Usage
	if err := decodeAnswer(resp.Body(), &usage); err != nil {
		return chat.Usage{}, &CallError{Step: "cancel", Peer: address, Status: resp.StatusCode(), Err: err}
	}
	return usage, nil
}
