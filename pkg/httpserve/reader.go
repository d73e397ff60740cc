package httpserve

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"

	"github.com/lavenderring/lavenderring/pkg/buffermem"
)

// Sizes of a reader's buffer.
const (
	// firstBufferBytes is the size of a buffer when something arrives.
	firstBufferBytes = 1 << 10
	// uncountedBytes is the size up to which a buffer is part of what every connection takes, which the bound of
	// connections covers. A buffer of this size is kept between requests.
	uncountedBytes = 4 << 10
	// headLineBytes is what a head may have beside the header lines and the target that limits count.
	headLineBytes = 1 << 10
	// idlePeekBytes is how many bytes the library waits for before it begins to read a request.
	idlePeekBytes = 4
)

// phase is the part of a request that a reader expects.
type phase int

const (
	// phaseIdle lasts until something of a request arrives.
	phaseIdle phase = iota
	// phaseHead lasts until the library has taken the head.
	phaseHead
	// phaseBody lasts until the request has been answered.
	phaseBody
)

// requestReader is a connection as the library sees it. It is written to as the library does it, and read through one
// buffer, whose memory is taken before it is filled. The library's own reader keeps all bytes of a request, and copies
// of them, for as long as the request lasts.
type requestReader struct {
	network.Conn
	conn *conn
	// hold is the memory of what the client sends: a buffer beyond uncountedBytes, and the body. taken is its size,
	// bodyBytes the part for the body.
	hold             *buffermem.Hold
	taken, bodyBytes int

	buffer     []byte
	start, end int // of the unread bytes
	phase      phase
	// scanned is the number of unread bytes in which there is no end of a head.
	scanned int
	// readBy is when the request must have been read.
	readBy time.Time
}

func newRequestReader(ctx context.Context, written network.Conn, c *conn) *requestReader {
	r := &requestReader{Conn: written, conn: c}
	r.hold = c.server.memory.NewHold(ctx, c.interruptReading)
	c.reader = r
	r.awaitRequest()
	return r
}

// awaitRequest begins to wait for a request. What the last one took is returned.
func (r *requestReader) awaitRequest() {
	r.phase, r.scanned, r.taken, r.bodyBytes = phaseIdle, 0, 0, 0
	r.hold.Reset()
	r.shrink()
	_ = r.conn.SetReadDeadline(time.Now().Add(r.conn.server.limits().IdleTimeout))
	if r.Len() > 0 {
		r.noteReceived()
	}
}

// release returns the memory of a connection that has ended.
func (r *requestReader) release() { r.hold.Release() }

// Len implements network.Reader.
func (r *requestReader) Len() int { return r.end - r.start }

// Peek implements network.Reader. The library asks for a head again and again, with one more byte each time, and parses
// what there is; it gets the rest of a head at once.
func (r *requestReader) Peek(n int) ([]byte, error) {
	if n > r.Len() && n > idlePeekBytes && r.phase != phaseBody {
		if err := r.fillHead(); err != nil {
			return nil, err
		}
	}
	if err := r.fill(n); err != nil {
		return nil, err
	}
	return r.buffer[r.start : r.start+n], nil
}

// fillHead receives until the head is complete, or longer than it may be.
func (r *requestReader) fillHead() error {
	limits := r.conn.server.limits()
	_ = r.conn.SetReadDeadline(time.Now().Add(limits.HeadTimeout))
	for !r.hasHead() {
		if r.Len() > limits.HeadBytes+headLineBytes {
			return hertzerrors.ErrHeaderTooLarge
		}
		if err := r.receive(); err != nil {
			return err
		}
	}
	return nil
}

// hasHead reports whether the unread bytes contain the empty line at the end of a head.
func (r *requestReader) hasHead() bool {
	unread := r.buffer[r.start:r.end]
	from := max(r.scanned-len("\n\r"), 0)
	r.scanned = len(unread)
	return bytes.Contains(unread[from:], []byte("\n\r\n")) || bytes.Contains(unread[from:], []byte("\n\n"))
}

// fill receives until there are n unread bytes.
func (r *requestReader) fill(n int) error {
	for r.Len() < n {
		if err := r.receive(); err != nil {
			return err
		}
	}
	return nil
}

// receive reads once. It returns an error only if nothing was received.
func (r *requestReader) receive() error {
	if r.end == len(r.buffer) {
		if err := r.makeRoom(); err != nil {
			return err
		}
	}
	n, err := r.conn.stream.Read(r.buffer[r.end:])
	if n > 0 {
		r.end += n
		r.noteReceived()
		return nil
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}

// noteReceived records that something of a request has arrived.
func (r *requestReader) noteReceived() {
	r.hold.NoteProgress()
	if r.phase == phaseIdle {
		r.phase = phaseHead
		r.readBy = time.Now().Add(r.conn.server.opts.ReadTimeout)
	}
}

// makeRoom makes room at the end of the buffer. Errors: hertzerrors.ErrHeaderTooLarge, and those of the memory.
func (r *requestReader) makeRoom() error {
	if r.start > 0 {
		r.end = copy(r.buffer, r.buffer[r.start:r.end])
		r.start = 0
		return nil
	}
	most := max(r.conn.server.limits().HeadBytes+headLineBytes, maxBodyReadBytes)
	if len(r.buffer) > most {
		return hertzerrors.ErrHeaderTooLarge // beside heads, only trailers need so much
	}
	size := max(2*len(r.buffer), firstBufferBytes)
	if err := r.take(size, r.bodyBytes); err != nil {
		return err
	}
	grown := make([]byte, size)
	copy(grown, r.buffer[:r.end])
	r.buffer = grown
	return nil
}

// take takes the memory of a buffer and a body. Errors: buffermem.ErrShort, buffermem.ErrFull.
func (r *requestReader) take(bufferBytes, bodyBytes int) error {
	counted := bodyBytes
	if bufferBytes > uncountedBytes {
		counted += bufferBytes
	}
	r.bodyBytes = bodyBytes
	if counted == r.taken {
		return nil
	}
	r.taken = counted
	return r.hold.TryResize(counted)
}

// Skip implements network.Reader.
func (r *requestReader) Skip(n int) error {
	if n > r.Len() {
		return io.ErrShortBuffer
	}
	r.start += n
	if r.phase != phaseBody {
		r.phase, r.scanned = phaseBody, 0 // the library skips a head as a whole
		_ = r.conn.SetReadDeadline(r.readBy)
	}
	return nil
}

// Release implements network.Reader.
func (r *requestReader) Release() error {
	if r.Len() == 0 {
		r.shrink()
	}
	return nil
}

// shrink returns the memory of an empty buffer that is larger than what a connection may keep.
func (r *requestReader) shrink() {
	if r.Len() == 0 {
		r.start, r.end = 0, 0
		if len(r.buffer) > uncountedBytes {
			r.buffer = nil
		}
	}
	_ = r.take(len(r.buffer), r.bodyBytes) // a decrease does not fail
}

// ReadByte implements network.Reader.
func (r *requestReader) ReadByte() (byte, error) {
	if err := r.fill(1); err != nil {
		return 0, err
	}
	b := r.buffer[r.start]
	r.start++
	return b, nil
}

// ReadBinary implements network.Reader.
func (r *requestReader) ReadBinary(n int) ([]byte, error) {
	p, err := r.Peek(n)
	if err != nil {
		return nil, err
	}
	return bytes.Clone(p), r.Skip(n)
}

// Read implements net.Conn.
func (r *requestReader) Read(p []byte) (int, error) {
	if r.Len() > 0 {
		n := copy(p, r.buffer[r.start:r.end])
		r.start += n
		return n, nil
	}
	n, err := r.conn.stream.Read(p)
	if n > 0 {
		r.noteReceived()
	}
	return n, err
}

// SetReadTimeout implements network.Conn. The reader sets the times by the limits in force, so those of the library
// do not count.
func (r *requestReader) SetReadTimeout(time.Duration) error { return nil }

// watchClient cancels a request when its client closes the connection, until the returned function is called. It does
// not look behind bytes of a next request.
func (r *requestReader) watchClient(cancel context.CancelFunc) (stop func()) {
	_ = r.conn.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := r.fill(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel()
		}
	}()
	return func() {
		_ = r.conn.SetReadDeadline(pastTime)
		<-done
	}
}
