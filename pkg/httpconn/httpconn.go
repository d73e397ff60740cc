// Package httpconn implements an HTTP/1.1 client on a single TCP connection that its
// caller owns, and a pool of such connections.
//
// The HTTP library used elsewhere hides its client sockets: an idle connection cannot be
// checked before it is reused, a silent one cannot be probed, and the library itself sends
// a request with an idempotent method again when a reused connection breaks. This package
// never sends anything twice, checks an idle connection with a read before each use, and
// has the kernel probe silent ones. Heads and bodies are read by the standard library's
// parser.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Detection of silent connections. A connection may go silent for good without a
// reset. The kernel ends it by keep-alive probes and a timeout of unacknowledged data.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// upstreamAckTimeout bounds how long data and probes to an upstream stay unacknowledged. A sound link
	// may lose everything for two seconds, and the next packet may be due a second after that.
	upstreamAckTimeout = 3500 * time.Millisecond
	// storeAckTimeout is the same for the store: no request is lost with the connection, and a change must
	// not be noticed late.
	storeAckTimeout = 2500 * time.Millisecond
	// optTCPUserTimeout is TCP_USER_TIMEOUT from linux/tcp.h.
	optTCPUserTimeout = 18
	// readBufferBytes is enough for a typical head in one read.
	readBufferBytes = 4 << 10
)

// Error says at which step and with which peer an exchange failed.
type Error struct {
	// Step is "dial", "send", "head" or "body".
	Step string
	// Peer is the peer's address.
	Peer string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Conn is one connection. Only Close and Wake may be called concurrently with others.
type Conn struct {
	// Peer is the address that was dialed.
	Peer string
	// DialDuration is how long the connection setup took, one round trip.
	DialDuration time.Duration
	// PeerBorn is the start of the process at the other end in Unix milliseconds, as it said on this
	// connection. It is 0 if it has not been asked, and UnknownBorn if it did not say.
	PeerBorn int64

	raw    net.Conn
	ending *ending
	source *source
	limit  *headLimit
	reader *bufio.Reader // reads from limit, and limit from source
	// idleSince is when the connection became idle; maxIdle bounds how long it may stay so.
	idleSince time.Time
	maxIdle   time.Duration
}

// UnknownBorn is the PeerBorn of a process that does not say when it started.
const UnknownBorn = -1

// keepAlive configures the kernel's keep-alive probes.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// setAckTimeout returns a function that sets TCP_USER_TIMEOUT on a socket before it is connected.
func setAckTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(timeout.Milliseconds()))
		})
		return errors.Join(err, sockErr)
	}
}

// DialFunc establishes a connection to an address. It fails when ctx ends.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the DialFunc of a direct connection to an upstream. The kernel ends the connection when it has
// gone silent.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return dialTCP(ctx, address, upstreamAckTimeout)
}

func dialTCP(ctx context.Context, address string, ackTimeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive, Control: setAckTimeout(ackTimeout)}
	return dialer.DialContext(ctx, "tcp4", address)
}

// DialStore opens a connection to the platform's store. It fails when ctx ends or the timeout is over.
// Errors: *Error with step "dial".
func DialStore(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return dialTCP(ctx, address, storeAckTimeout)
	}
	return DialWith(ctx, dial, address, timeout)
}

// DialWith opens a connection by the function dial. It fails when ctx ends or the timeout is over.
// Errors: *Error with step "dial".
func DialWith(ctx context.Context, dial DialFunc, address string, timeout time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return DialUntil(ctx, dial, address)
}

// DialUntil opens a connection by the function dial. It fails when ctx ends. Errors: *Error with step "dial".
func DialUntil(ctx context.Context, dial DialFunc, address string) (*Conn, error) {
	began := time.Now()
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, &Error{Step: "dial", Peer: address, Err: err}
	}
	conn := NewConn(raw, address)
	conn.DialDuration = time.Since(began)
	return conn, nil
}

// NewConn returns a connection to a peer over raw.
func NewConn(raw net.Conn, peer string) *Conn {
	e := &ending{raw: raw}
	s := &source{raw: raw, ending: e}
	limit := &headLimit{source: s}
	return &Conn{
		Peer: peer, raw: raw, ending: e, source: s, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes),
	}
}

// Send writes a whole request. Errors: *Error with step "send".
func (c *Conn) Send(head, body []byte) error {
	buffers := net.Buffers{head}
	if len(body) > 0 {
		buffers = append(buffers, body)
	}
	if _, err := c.ending.writeAll(&buffers); err != nil {
		return &Error{Step: "send", Peer: c.Peer, Err: err}
	}
	return nil
}

// Read and Write transfer the connection's bytes unchanged. Read returns io.EOF only after an orderly end of the
// connection, and ErrReset for another one, whichever call the kernel told of it.
func (c *Conn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Write implements io.Writer; see Read.
func (c *Conn) Write(p []byte) (int, error) { return c.ending.Write(p) }

// finisher is a connection that is not kept by its user: Finish ends it after a complete exchange and
// says how long the peer keeps the idle connection, 0 if it did not say.
type finisher interface {
	Finish(idleTimeout time.Duration)
}

// Finish ends a connection that is not to be kept after a complete exchange, and reports whether it is
// such a connection.
func (c *Conn) Finish(idleTimeout time.Duration) bool {
	f, ok := c.raw.(finisher)
	if ok {
		f.Finish(idleTimeout)
	}
	return ok
}

// ReadHead reads a response's head; method is the request's. Interim responses are skipped. After an error the
// connection is closed. Errors: *Error with step "head", which wraps ErrHeadTooLong for a head that is too long and
// ErrNoAnswer for bytes that are not a response of this protocol.
func (c *Conn) ReadHead(method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	c.limit.begin(c.reader.Buffered())
	defer c.limit.end()
	for {
		response, err := c.readHead(request)
		if err != nil {
			c.Close() // the peer may go on sending
			return nil, &Error{Step: "head", Peer: c.Peer, Err: err}
		}
		if !isInterim(response) {
			return response, nil
		}
	}
}

// readHead reads and checks one head.
func (c *Conn) readHead(request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(c.reader, request)
	switch {
	case c.limit.exceeded:
		return nil, ErrHeadTooLong
	case err != nil:
		return nil, c.parseError(err)
	}
	if err := checkHead(response); err != nil {
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &chunkedBody{ReadCloser: response.Body, conn: c, response: response}
	}
	return response, nil
}

// parseError returns the error of a connection unchanged, and one of the parser as ErrNoAnswer.
func (c *Conn) parseError(err error) error {
	if c.source.err != nil {
		return err
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}

// SetDeadline sets the deadline of all following reads and writes.
func (c *Conn) SetDeadline(t time.Time) { _ = c.raw.SetDeadline(t) }

// SetReadDeadline sets the deadline of all following reads.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.raw.SetReadDeadline(t) }

// IsTimeout reports whether an error says that a deadline has passed, or that the kernel ended a connection
// that had gone silent.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// FullyRead reports whether no unread data is buffered. If a response is followed by
// unsolicited bytes, the connection must not be reused, since the next request would get
// them as its answer.
func (c *Conn) FullyRead() bool { return c.reader.Buffered() == 0 }

// Close closes the connection immediately; it may be called at any time.
func (c *Conn) Close() { _ = c.raw.Close() }

// isReusable checks an idle connection with a non-blocking read, which finds nothing on a
// usable one. A close, a reset or unsolicited bytes make it unusable; without this check the
// next request would be lost or get an answer that belongs to another.
func (c *Conn) isReusable() bool {
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, readErr := syscall.Read(int(fd), one[:])
		noData = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}
