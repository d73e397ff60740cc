// Package tunnel carries connections to upstreams through other instances, for instances that do not
// reach an upstream over their own links. The instance at which a request arrived keeps all decisions:
// the other one connects, and copies bytes.
package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderring/lavenderring/pkg/reach"
	"github.com/lavenderring/lavenderring/pkg/tunnel/tunnelpb"
)

// chunkBytes is the largest number of bytes in one message.
const chunkBytes = 16 << 10

// errBrokeOff means that the upstream has ended its connection without closing it in an orderly way: what
// was received may be incomplete.
var errBrokeOff = errors.New("tunnel broke off")

// stream is the opener's end of the messages of a tunnel.
type stream interface {
	Send(*tunnelpb.FromOpener) error
	Recv() (*tunnelpb.FromUpstream, error)
	CloseSend() error
	Close() error
}

// conn is the opener's end of a tunnel as a connection.
type conn struct {
	net.Conn
	far    net.Conn
	stream stream
	// cancel ends the stream and with it the connection to the upstream.
	cancel context.CancelFunc
	closed atomic.Bool // the upstream has closed the connection in an orderly way
	lost   atomic.Bool // the stream broke off before the other instance said how the connection ended
	once   sync.Once
	// received is the number of bytes read from the connection.
	received atomic.Int64
	// finish is set before the near end is closed if the connection may be reused.
	finish atomic.Pointer[tunnelpb.Finish]
}

func newConn(s stream, cancel context.CancelFunc) *conn {
	near, far := net.Pipe()
	c := &conn{Conn: near, far: far, stream: s, cancel: cancel}
	go c.send()
	go c.receive()
	return c
}

// Read implements net.Conn. It returns io.EOF only if the upstream has closed the connection, and
// reach.ErrPathLost if the other instance does not say how it ended.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	switch {
	case !errors.Is(err, io.EOF) || c.closed.Load():
		return n, err
	case c.lost.Load():
		return n, reach.ErrPathLost
	}
	return n, errBrokeOff
}

// Close ends the tunnel; the connection to the upstream is closed at once.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.cancel()
		_ = c.Conn.Close()
	})
	return nil
}

// Finish ends the tunnel after complete exchanges and leaves the connection to the other instance.
func (c *conn) Finish(idleTimeout time.Duration) {
	c.once.Do(func() {
		c.finish.Store(&tunnelpb.Finish{IdleTimeoutMs: idleTimeout.Milliseconds(), ReceivedBytes: c.received.Load()})
		_ = c.Conn.Close()
	})
}

// send sends what is written to the connection, until it is closed.
func (c *conn) send() {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := c.far.Read(buffer)
		if n > 0 {
			if err := c.stream.Send(&tunnelpb.FromOpener{Data: buffer[:n]}); err != nil {
				c.noteEnd(err)
				// What has been received is still delivered; then receive ends the tunnel.
				_, _ = io.Copy(io.Discard, c.far)
				c.cancel()
				return
			}
		}
		if err != nil {
			c.end()
			return
		}
	}
}

// noteEnd records an error of the stream. It is io.EOF if the other instance has ended the stream.
func (c *conn) noteEnd(err error) {
	if !errors.Is(err, io.EOF) {
		c.lost.Store(true)
	}
}

// end tells the other instance that the connection is finished, or breaks it off.
func (c *conn) end() {
	finish := c.finish.Load()
	if finish == nil || c.stream.Send(&tunnelpb.FromOpener{Finish: finish}) != nil || c.stream.CloseSend() != nil {
		c.cancel()
	}
}

// receive delivers what the upstream sends, until either end closes.
func (c *conn) receive() {
	defer c.cancel()
	defer func() { _ = c.far.Close() }()
	for {
		message, err := c.stream.Recv()
		if err != nil {
			c.noteEnd(err)
			return
		}
		if message.Closed {
			c.closed.Store(true)
			return
		}
		if _, err := c.far.Write(message.Data); err != nil {
			c.drain()
			return
		}
	}
}

// drain waits for the end of a finished stream, so that the connection between the instances can be used
// again.
func (c *conn) drain() {
	if c.finish.Load() == nil {
		return
	}
	timer := time.AfterFunc(finishTimeout, c.cancel)
	defer timer.Stop()
	for {
		if _, err := c.stream.Recv(); err != nil {
			return
		}
	}
}

// finishTimeout bounds the end of a finished tunnel.
const finishTimeout = time.Second
