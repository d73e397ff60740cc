package httpserve

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Bounds of reading on a connection that the server has ended, until its client ends it too.
const (
	// lingerTimeout bounds how long one connection is read.
	lingerTimeout = time.Second
	// maxLingering bounds how many connections of a server are read. Each holds a file descriptor, and
	// clients decide how long.
	maxLingering = 256
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// conn is a client's connection. It knows whether a request is on its way, and it is closed in a way that
// does not destroy the last answer.
type conn struct {
	net.Conn
	server *Server
	// stream is what is read of the client: the connection itself, or TLS on it.
	stream net.Conn
	// reader reads requests from it.
	reader *requestReader

	mu sync.Mutex
	// interrupted says that reading is to end.
	interrupted bool
	// readDeadline is the one that the library has set.
	readDeadline time.Time
	numReading   int
	// fresh says that nothing of a next request has been received.
	fresh bool
	// serving says that a request is being served, not refused.
	serving bool
	// ending says that the connection is to end if nothing of a next request has arrived.
	ending bool
	// silent says that the connection has ended without a next request.
	silent bool
	// broken says that the client is gone, or that its answer is incomplete.
	broken, closed bool
	// cancel ends the context of the request in progress; nil before the first request.
	cancel context.CancelFunc
}

// connOf returns the connection of a request by the context of its handler; nil if there is none.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.addReading(1)
	defer c.addReading(-1)
	for {
		n, err := c.Conn.Read(p)
		again, err := c.noteRead(n, err)
		if !again {
			return n, err
		}
	}
}

func (c *conn) addReading(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.numReading += n
}

// noteRead notes the result of a read, and returns whether to read on, and the error for the library. It
// decides whether a connection that was asked to end does: it does not if a request has arrived.
func (c *conn) noteRead(n int, err error) (again bool, result error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ending := c.ending
	if ending {
		c.ending = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	switch {
	case n > 0:
		c.fresh = false
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		c.broken = true // the client sends no more, so no unread bytes can destroy its answer
	case c.fresh && ending && c.hasUnread():
		return true, nil
	case c.fresh && !c.interrupted && c.hasUnread(): // the process was late, not the client
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.server.limits().HeadTimeout))
		return true, nil
	case c.fresh && ending:
		c.silent = true
		return false, io.EOF // for a time-out, the library would answer with 408
	case c.fresh:
		c.silent = true
	}
	return false, err
}

// hasUnread reports whether bytes of the client wait to be read.
func (c *conn) hasUnread() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return nil
	}
	c.readDeadline = t
	c.ending = false
	return c.Conn.SetReadDeadline(t)
}

// interruptReading ends the reading of a request whose memory has been given up.
func (c *conn) interruptReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(pastTime)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		c.broken = true
		c.mu.Unlock()
	}
	return n, err
}

// beginServing notes that a request is being served, and returns its context, which also ends when the client has been
// found to be gone. The returned function must be called when the handler has returned.
func (c *conn) beginServing(ctx context.Context) (context.Context, context.CancelFunc) {
	serving, cancel := context.WithCancel(ctx)
	c.server.conns.noteServing(c)
	c.mu.Lock()
	c.serving, c.cancel = true, cancel
	c.mu.Unlock()
	if !c.server.opts.CancelOnDisconnect {
		return serving, cancel
	}
	stop := c.reader.watchClient(cancel)
	return serving, func() { stop(); cancel() }
}

// finishRequest notes that a request's response has been written to its end, and begins to wait for the next one.
func (c *conn) finishRequest() {
	c.mu.Lock()
	c.serving = false
	if !c.broken && !c.closed {
		c.fresh = c.reader.Len() == 0
	}
	c.mu.Unlock()
	c.reader.awaitRequest()
	c.server.conns.noteWaiting(c)
}

// endIfIdle ends the connection if it waits for a next request of which nothing has arrived. The reader
// decides that, so that nothing is read of a request that is not answered.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fresh && c.numReading > 0 && !c.closed {
		c.ending = true
		_ = c.Conn.SetReadDeadline(pastTime)
	}
}

// pastTime is a deadline that has passed.
var pastTime = time.Unix(1, 0)

// cutIfServing closes the connection at once if a request is being served.
func (c *conn) cutIfServing() {
	c.mu.Lock()
	serving := c.serving
	c.mu.Unlock()
	if serving {
		c.cut()
	}
}

// cutIfWaiting closes the connection at once unless a request is being served, and reports whether it did. A request
// that was read meanwhile finds its client gone, so it is not begun.
func (c *conn) cutIfWaiting() bool {
	c.mu.Lock()
	serving := c.serving
	if !serving {
		c.broken, c.closed = true, true
	}
	c.mu.Unlock()
	if serving {
		return false
	}
	c.cut()
	return true
}

// cut closes the connection at once.
func (c *conn) cut() {
	c.mu.Lock()
	c.broken, c.closed = true, true
	c.mu.Unlock()
	c.server.conns.remove(c)
	_ = c.Conn.Close()
}

// Close implements net.Conn. It ends the sending first and reads on for a while: closing a connection with
// unread bytes resets it, and a reset destroys what the client has not received yet.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	lingers := c.server.lingers && !c.broken && !c.silent && c.numReading == 0
	c.mu.Unlock()
	if lingers && c.server.conns.beginLinger() {
		defer c.server.conns.endLinger()
		c.linger()
	}
	c.server.conns.remove(c)
	return c.Conn.Close()
}

// linger ends the sending and reads until the client ends the connection too.
func (c *conn) linger() {
	sender, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || sender.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.Conn)
}
