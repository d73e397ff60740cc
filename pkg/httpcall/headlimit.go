package httpcall

import (
	"errors"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/network"
)

// maxHeadBytes bounds the bytes of a response's head, of its trailers, and of the line before a chunk; it is the
// bound on callers' heads too.
const maxHeadBytes = 64 << 10

// ErrHeadTooLong means that a response's head or trailers exceeded maxHeadBytes.
var ErrHeadTooLong = errors.New("response head exceeds the limit")

// ErrResponseTooLong means that a body that ends with its connection exceeded Options.MaxResponseBytes.
var ErrResponseTooLong = errors.New("response exceeds the limit")

// limitedConn bounds the parts of a response for which the HTTP library has no bound. The library reads a head or
// trailers by asking again and again for one byte more than is buffered, until it can parse them, and the
// line before a chunk byte by byte; other parts it reads with their length known.
type limitedConn struct {
	network.Conn
	// growths is how often more than the buffered bytes was asked for since bytes were last consumed.
	growths int
	// lineBytes is how many bytes were read one by one.
	lineBytes int
	// maxBytes bounds the bytes that are read before Call returns; 0 for no bound. numBytes is how many were.
	maxBytes, numBytes int
	exceeded           atomic.Bool
}

// Peek implements network.Reader.
func (c *limitedConn) Peek(n int) ([]byte, error) {
	c.lineBytes = 0
	buffered := c.Len()
	if buffered > 0 && n == buffered+1 {
		c.growths++
	}
	// A single step may be the rest of a body whose length is known.
	if n > buffered && buffered >= maxHeadBytes && c.growths > 1 {
		return nil, c.exceed()
	}
	if c.maxBytes > 0 && c.numBytes > c.maxBytes {
		return nil, ErrResponseTooLong
	}
	return c.Conn.Peek(n)
}

// Skip implements network.Reader.
func (c *limitedConn) Skip(n int) error {
	c.growths = 0
	c.numBytes += n
	return c.Conn.Skip(n)
}

// ReadByte implements network.Reader.
func (c *limitedConn) ReadByte() (byte, error) {
	c.growths = 0
	if c.lineBytes++; c.lineBytes > maxHeadBytes {
		return 0, c.exceed()
	}
	return c.Conn.ReadByte()
}

// exceed closes the connection: the peer may go on sending.
func (c *limitedConn) exceed() error {
	c.exceeded.Store(true)
	_ = c.Close()
	return ErrHeadTooLong
}

// ToHertzError implements network.ErrorNormalization.
func (c *limitedConn) ToHertzError(err error) error {
	if normalizing, ok := c.Conn.(network.ErrorNormalization); ok {
		return normalizing.ToHertzError(err)
	}
	return err
}
