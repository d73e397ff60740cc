// Package httpcall makes HTTP calls, each on a new connection.
//
// Each call dials, sends, reads and closes. This avoids three faults of pooled
// connections: the client library retries a request with an idempotent method
// when a reused connection breaks, a pooled connection may have stopped
// responding for good, and a deadline that only ends the wait lets the request
// run on. Here the end of the context closes the connection, and
// Options.OnSending is called before the first byte of the request is sent.
package httpcall

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/client"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
)

// Defaults of a call.
const (
	defaultDialTimeout  = time.Second
	maxIdleConnDuration = time.Second
	// maxFramingFactor bounds the bytes read of a response, per byte of its largest body: small chunks
	// take more bytes than their contents.
	maxFramingFactor = 4
)

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
	// MaxResponseBytes limits the body of a response; 0 means no limit. Of a
	// streamed body it limits what is read before Call returns, which is all of a
	// body that ends with its connection. The library streams bodies of the type
	// text/event-stream also without Stream.
	MaxResponseBytes int
	// Stream leaves the response body to be read by the caller.
	Stream bool
	// OnSending, if not nil, is called when the connection is established, before
	// the request is sent.
	OnSending func()
}

// Call sends the request and reads the response, or only its header if the body
// is streamed. The returned function ends the call and must be called; with a
// streamed body, only after the body has been read. When ctx ends, the connection
// is closed immediately, even while a body is being read. Errors are *Error, which wraps
// ErrHeadTooLong for a head that is too long.
func Call(ctx context.Context, opts Options, req *protocol.Request, resp *protocol.Response) (end func(), err error) {
	if err := ctx.Err(); err != nil {
		return func() {}, &Error{Step: "dial", Peer: opts.Address, Err: err}
	}
	dialer := &oneShotDialer{Dialer: standard.NewDialer(), onSending: opts.OnSending, maxBytes: maxFramingFactor * opts.MaxResponseBytes}
	host := newHostClient(opts, dialer)
	req.SetConnectionClose()
	stop := context.AfterFunc(ctx, dialer.close)
	end = func() {
		stop()
		dialer.release()
	}
	if err := host.Do(ctx, req, resp); err != nil {
		defer end()
		return func() {}, &Error{Step: dialer.failedStep(), Peer: opts.Address, Err: withContextCause(ctx, dialer.cause(err))}
	}
	dialer.noteReturn()
	return end, nil
}

func newHostClient(opts Options, dialer network.Dialer) client.HostClient {
	dialTimeout := opts.DialTimeout
	if dialTimeout <= 0 {
		dialTimeout = defaultDialTimeout
	}
	maxBodyBytes := opts.MaxResponseBytes
	if opts.Stream {
		maxBodyBytes = 0 // a body of known length may be longer than what is read at once
	}
	host := http1.NewHostClient(&http1.ClientOptions{
		Dialer:              dialer,
		DialTimeout:         dialTimeout,
		MaxConns:            1,
		MaxIdleConnDuration: maxIdleConnDuration,
		MaxResponseBodySize: maxBodyBytes,
		ResponseBodyStream:  opts.Stream,
	})
	host.SetDynamicConfig(&client.DynamicConfig{Addr: opts.Address})
	return host
}

func withContextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(context.Cause(ctx), err)
	}
	return err
}

// oneShotDialer dials at most once. A second dial would mean that the library
// sends the request again, which must not happen to a non-idempotent request.
type oneShotDialer struct {
	network.Dialer
	onSending func()
	// maxBytes bounds the bytes read before Call returns; 0 for no bound.
	maxBytes int

	mu     sync.Mutex
	dialed bool
	closed bool
	conn   *limitedConn
}

// errSecondDial is returned when the library tries to send the request again.
var errSecondDial = errors.New("one connection per call: second dial refused")

// errCallEnded is returned when the context ended before the connection was established.
var errCallEnded = errors.New("call ended before its connection was made")

// DialConnection implements network.Dialer.
func (d *oneShotDialer) DialConnection(
	netw, address string, timeout time.Duration, tlsConfig *tls.Config,
) (network.Conn, error) {
	if !d.markDialed() {
		return nil, errSecondDial
	}
	conn, err := d.Dialer.DialConnection(netw, address, timeout, tlsConfig)
	if err != nil {
		return nil, err
	}
	return d.setConn(conn)
}

func (d *oneShotDialer) markDialed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := !d.dialed
	d.dialed = true
	return first
}

func (d *oneShotDialer) setConn(conn network.Conn) (network.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		_ = conn.Close()
		return nil, errCallEnded
	}
	if d.onSending != nil {
		d.onSending()
	}
	d.conn = &limitedConn{Conn: conn, maxBytes: d.maxBytes}
	return d.conn, nil
}

// noteReturn lifts the limit on what is read, as the caller reads the rest of a streamed body.
func (d *oneShotDialer) noteReturn() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn.maxBytes = 0
}

// cause returns why a call failed. The library does not pass on the error of a head that is too long.
func (d *oneShotDialer) cause(err error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn != nil && d.conn.exceeded.Load() {
		return ErrHeadTooLong
	}
	return err
}

func (d *oneShotDialer) failedStep() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn == nil {
		return "dial"
	}
	return "exchange"
}

// release closes the call's connection and drops it. The library keeps the dialer for another second, and the
// connection's buffers refer to the request's body.
func (d *oneShotDialer) release() {
	d.close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn = nil
}

// close closes the call's connection, also one that is established later. It is
// safe to call more than once.
func (d *oneShotDialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.conn != nil {
		_ = d.conn.Close()
	}
}
