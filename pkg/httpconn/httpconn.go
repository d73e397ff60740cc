// Package httpconn speaks HTTP/1.1 as a client on one TCP connection that its
// caller owns, and keeps such connections for reuse.
//
// The house's HTTP library hides its client sockets: a kept connection cannot be
// checked before it is reused, a silent one cannot be probed, and a request with
// an idempotent method is sent again on its own when a reused connection breaks.
// Here nothing is ever sent twice, a kept connection is read-checked before each
// use, and the kernel probes silent ones. Heads and bodies are read by the
// standard library's parser.
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

// How a silent connection is found. A connection may go silent for good without
// a reset; the probes and the bound on unacknowledged bytes end it after about
// three seconds, the time that the users' bounds allow for a return to service.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeoutMillis bounds how long sent bytes may stay unacknowledged.
	userTimeoutMillis = 2500
	// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h.
	tcpUserTimeout = 18
	// readBufferBytes holds a usual head in one read.
	readBufferBytes = 4 << 10
)

// Error tells at which step and peer an exchange failed.
type Error struct {
	// Step is "dial", "send", "head" or "body".
	Step string
	// Peer is the address.
	Peer string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Conn is one connection. Only Close may be called concurrently with others.
type Conn struct {
	// Peer is the address that was dialled.
	Peer string
	// DialTook is how long the connection took to be set up, one round trip.
	DialTook time.Duration

	tcp    *net.TCPConn
	reader *bufio.Reader
	// idleSince is when the connection was kept; idleFor how long it may be.
	idleSince time.Time
	idleFor   time.Duration
}

// keepAlive is the probing of connections.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// setUserTimeout bounds unacknowledged bytes on a socket about to be used.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMillis)
	})
	return errors.Join(err, failed)
}

// Dial opens a connection; the context's end or the timeout gives up. Errors:
// *Error with step "dial".
func Dial(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	began := time.Now()
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, &Error{Step: "dial", Peer: address, Err: err}
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, &Error{Step: "dial", Peer: address, Err: errors.New("not a TCP connection")}
	}
	return &Conn{Peer: address, DialTook: time.Since(began), tcp: tcp, reader: bufio.NewReaderSize(tcp, readBufferBytes)}, nil
}

// Send writes a whole request. Errors: *Error with step "send".
func (c *Conn) Send(head, body []byte) error {
	buffers := net.Buffers{head}
	if len(body) > 0 {
		buffers = append(buffers, body)
	}
	if _, err := buffers.WriteTo(c.tcp); err != nil {
		return &Error{Step: "send", Peer: c.Peer, Err: err}
	}
	return nil
}

// ReadHead reads a response's head; method is the request's. Interim responses
// are passed over. Errors: *Error with step "head".
func (c *Conn) ReadHead(method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, &Error{Step: "head", Peer: c.Peer, Err: err}
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// SetDeadline bounds every read and write from now on.
func (c *Conn) SetDeadline(t time.Time) { _ = c.tcp.SetDeadline(t) }

// Clean reports that nothing is left to be read: a response followed by bytes
// that no request asked for must not have the next request's answer read after
// them.
func (c *Conn) Clean() bool { return c.reader.Buffered() == 0 }

// Close ends the connection at once; it may be called at any time.
func (c *Conn) Close() { _ = c.tcp.Close() }

// alive reads without waiting: a good idle connection has nothing to read. An
// end, a reset or bytes that nobody asked for make it unusable; without this
// check the next request would be lost or get another's answer.
func (c *Conn) alive() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, readErr := syscall.Read(int(fd), one[:])
		quiet = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
