// Package httpcall makes one HTTP call on one connection of its own.
//
// Each call dials, sends, reads and closes. That settles three faults that
// pooled connections bring: the client library repeats a request with an
// idempotent method when a reused connection breaks, a pooled connection may
// have gone silent for good, and a deadline that only stops waiting lets the
// request run on. Here the end of the context closes the connection, and a
// connection that was handed over is known before its first byte.
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
	cleanerIntervalIdle = time.Second
)

// Error tells at which step and peer a call failed.
type Error struct {
	// Step is "dial" or "exchange".
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

// Options bounds one call.
type Options struct {
	// Address is the IP address and port to call.
	Address string
	// DialTimeout bounds the connection's set-up. Default 1 s.
	DialTimeout time.Duration
	// MaxResponseBytes bounds an answer that is read whole; 0 is no bound.
	MaxResponseBytes int
	// Stream leaves the answer's body to be read by the caller.
	Stream bool
	// OnHanded is called when a connection is about to take the request.
	OnHanded func()
}

// Call sends the request and reads the response, or its head if streaming.
// The returned function ends the call and must be called; with a streamed body
// only after the body has been read. When ctx ends, the connection is closed at
// once, also while a body is being read. Errors are *Error.
func Call(ctx context.Context, opts Options, req *protocol.Request, resp *protocol.Response) (end func(), err error) {
	if err := ctx.Err(); err != nil {
		return func() {}, &Error{Step: "dial", Peer: opts.Address, Err: err}
	}
	dialer := &oneShotDialer{Dialer: standard.NewDialer(), onHanded: opts.OnHanded}
	host := newHostClient(opts, dialer)
	req.SetConnectionClose()
	stop := context.AfterFunc(ctx, dialer.close)
	end = func() {
		stop()
		dialer.close()
	}
	if err := host.Do(ctx, req, resp); err != nil {
		end()
		return func() {}, &Error{Step: dialer.step(), Peer: opts.Address, Err: cause(ctx, err)}
	}
	return end, nil
}

func newHostClient(opts Options, dialer network.Dialer) client.HostClient {
	dialTimeout := opts.DialTimeout
	if dialTimeout <= 0 {
		dialTimeout = defaultDialTimeout
	}
	host := http1.NewHostClient(&http1.ClientOptions{
		Dialer:              dialer,
		DialTimeout:         dialTimeout,
		MaxConns:            1,
		MaxIdleConnDuration: cleanerIntervalIdle,
		MaxResponseBodySize: opts.MaxResponseBytes,
		ResponseBodyStream:  opts.Stream,
	})
	host.SetDynamicConfig(&client.DynamicConfig{Addr: opts.Address})
	return host
}

func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(context.Cause(ctx), err)
	}
	return err
}

// oneShotDialer dials at most once: a second dial would be the library sending
// the request again, which is what a request that may not be repeated must
// never suffer.
type oneShotDialer struct {
	network.Dialer
	onHanded func()

	mu     sync.Mutex
	dialed bool
	closed bool
	conn   network.Conn
}

// errSecondDial is returned when the library tries to send a request again.
var errSecondDial = errors.New("one connection per call: second dial refused")

// errCallEnded is returned when the context ended before the connection stood.
var errCallEnded = errors.New("call ended before its connection was made")

// DialConnection implements network.Dialer.
func (d *oneShotDialer) DialConnection(
	netw, address string, timeout time.Duration, tlsConfig *tls.Config,
) (network.Conn, error) {
	if !d.first() {
		return nil, errSecondDial
	}
	conn, err := d.Dialer.DialConnection(netw, address, timeout, tlsConfig)
	if err != nil {
		return nil, err
	}
	return d.adopt(conn)
}

func (d *oneShotDialer) first() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := !d.dialed
	d.dialed = true
	return first
}

func (d *oneShotDialer) adopt(conn network.Conn) (network.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		_ = conn.Close()
		return nil, errCallEnded
	}
	if d.onHanded != nil {
		d.onHanded()
	}
	d.conn = conn
	return conn, nil
}

func (d *oneShotDialer) step() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn == nil {
		return "dial"
	}
	return "exchange"
}

// close ends the call's connection; it is safe to call more than once.
func (d *oneShotDialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.conn != nil {
		_ = d.conn.Close()
	}
}
