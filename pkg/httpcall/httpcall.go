// Package httpcall makes HTTP calls, each on a new connection.
//
// Each call dials, sends, reads and closes. This avoids three faults of pooled
// connections: the client library retries a request with an idempotent method
// when a reused connection breaks, a pooled connection may have stopped
// responding for good, and a deadline that only ends the wait lets the request
// run on. Here the end of the context closes the connection, and
// Options.OnSending is called before the first byte of the request is sent.
//
// Responses are read by package httpconn, which decides what is one.
package httpcall

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/lavenderring/lavenderring/pkg/httpconn"
)

// defaultDialTimeout limits the time to establish a connection unless Options does.
const defaultDialTimeout = time.Second

// ErrResponseTooLong means that a body exceeded Options.MaxResponseBytes.
var ErrResponseTooLong = errors.New("response exceeds the limit")

// Error reports the step at which a call failed and the address called.
type Error struct {
	// Step is "dial" until a connection is established, then "exchange".
	Step string
	// Peer is the address called.
	Peer string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Options configures one call.
type Options struct {
	// Address is the IP address and port to call.
	Address string
	// DialTimeout limits the time to establish the connection. Default 1 s.
	DialTimeout time.Duration
	// MaxResponseBytes limits the body of a response that is not streamed; 0 means no limit.
	MaxResponseBytes int
	// Stream leaves the response body to be read by the caller, who bounds it.
	Stream bool
	// OnSending, if not nil, is called when the connection is established, before
	// the request is sent.
	OnSending func()
}

// Call sends the request and reads the response, or only its header if the body
// is streamed. The returned function ends the call and must be called; with a
// streamed body, only after the body has been read. When ctx ends, the connection
// is closed immediately, even while a body is being read. The request's body must not
// change until the call has ended. Errors are *Error, which wraps httpconn.ErrHeadTooLong
// for a head that is too long, httpconn.ErrNoAnswer for one that is none, and ErrResponseTooLong.
func Call(ctx context.Context, opts Options, request *protocol.Request, response *protocol.Response) (end func(), err error) {
	conn, err := dial(ctx, opts)
	if err != nil {
		return func() {}, &Error{Step: "dial", Peer: opts.Address, Err: withContextCause(ctx, err)}
	}
	e := &exchange{conn: conn, sent: make(chan struct{})}
	e.stop = context.AfterFunc(ctx, conn.Close)
	if opts.OnSending != nil {
		opts.OnSending()
	}
	if err := e.run(opts, request, response); err != nil {
		e.end()
		return func() {}, &Error{Step: "exchange", Peer: opts.Address, Err: withContextCause(ctx, err)}
	}
	return e.end, nil
}

func dial(ctx context.Context, opts Options) (*httpconn.Conn, error) {
	timeout := opts.DialTimeout
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	dialTCP := func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	return httpconn.DialWith(ctx, dialTCP, opts.Address, timeout)
}

func withContextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(context.Cause(ctx), err)
	}
	return err
}

// exchange is one request with its response on a connection.
type exchange struct {
	conn *httpconn.Conn
	// stop ends the closing of the connection with the context.
	stop func() bool
	// sent is closed when sending has ended; sendErr is its result.
	sent    chan struct{}
	sendErr error
}

// run sends the request and reads the response meanwhile: the server may respond before it has read the request.
func (e *exchange) run(opts Options, request *protocol.Request, response *protocol.Response) error {
	method, head, body := string(request.Method()), encodeHead(request), request.Body()
	go func() {
		defer close(e.sent)
		e.sendErr = e.conn.Send(head, body)
	}()
	received, err := e.conn.ReadHead(method) // after an error the connection is closed, so sending ends
	if err != nil {
		<-e.sent
		return errors.Join(err, e.sendErr)
	}
	return fill(response, received, opts)
}

// encodeHead returns the head of a request, a copy.
func encodeHead(request *protocol.Request) []byte {
	uri := request.URI()
	request.Header.SetHostBytes(uri.Host())
	request.Header.SetRequestURIBytes(uri.RequestURI())
	request.SetConnectionClose()
	if body := request.Body(); len(body) > 0 || !request.Header.IgnoreBody() {
		request.Header.SetContentLength(len(body))
	}
	return bytes.Clone(request.Header.Header())
}

// end closes the connection and waits until nothing refers to the request's body any more. It may be called
// repeatedly.
func (e *exchange) end() {
	e.stop()
	e.conn.Close()
	<-e.sent
}

// fill copies a response that was read into one of the HTTP library.
func fill(response *protocol.Response, from *http.Response, opts Options) error {
	response.SetStatusCode(from.StatusCode)
	for name, values := range from.Header {
		for _, value := range values {
			response.Header.Add(name, value)
		}
	}
	if opts.Stream {
		response.SetBodyStreamNoReset(struct{ io.Reader }{from.Body}, int(from.ContentLength)) // closed with the connection
		return nil
	}
	body, err := readBody(from.Body, opts.MaxResponseBytes)
	if err != nil {
		return err
	}
	response.SetBodyRaw(body)
	return nil
}

// readBody reads a body of at most a number of bytes; 0 means no limit.
func readBody(body io.Reader, maxBytes int) ([]byte, error) {
	if maxBytes > 0 {
		body = io.LimitReader(body, int64(maxBytes)+1)
	}
	var read bytes.Buffer
	if _, err := read.ReadFrom(body); err != nil {
		return nil, err
	}
	if maxBytes > 0 && read.Len() > maxBytes {
		return nil, ErrResponseTooLong
	}
	return read.Bytes(), nil
}
