package forward

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/lavenderring/lavenderring/pkg/buffermem"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
)

// Bounds of the buffers.
const (
	// maxAnswerBytes bounds an answer that is buffered whole.
	maxAnswerBytes = 16 << 20
	// firstBufferBytes is the size of a buffer for an answer of unknown length, and the largest for which an
	// answer's announced length is believed.
	firstBufferBytes = 4 << 10
	// maxIdleBytes is the largest buffer that a stream keeps between its events.
	maxIdleBytes = 4 * streamReadBytes
	// defaultAnswerMemory bounds the memory for all answers together, in bytes, if the process has no limit.
	defaultAnswerMemory = 64 << 20
)

// errAnswerTooLong means that an answer has more than maxAnswerBytes: it is discarded, never cut.
var errAnswerTooLong = errors.New("answer exceeds the limit for a whole answer")

// isTooLong reports whether an attempt failed because an answer, or a part of it, took more memory than it may.
// The connection was then ended by this instance.
func isTooLong(err error) bool {
	return errors.Is(err, errAnswerTooLong) || errors.Is(err, buffermem.ErrShort) ||
		errors.Is(err, buffermem.ErrFull) || errors.Is(err, httpconn.ErrHeadTooLong)
}

// newMemory returns the hold of the attempt's answer, which waits for room until the request's deadline. An answer
// that is given up loses its connection. cancel must be called.
func (a *attempt) newMemory(ctx context.Context) (memory *buffermem.Hold, cancel context.CancelFunc) {
	ctx, cancel = context.WithDeadline(ctx, a.c.deadline)
	return a.c.f.answerMemory.NewHold(ctx, a.conn.Close), cancel
}

// readError returns why a read failed: an error of a connection that was closed because the answer was given
// up is buffermem.ErrShort. That may look like an end by the upstream.
func readError(err error, memory *buffermem.Hold) error {
	if memory.IsGivenUp() {
		return buffermem.ErrShort
	}
	return err
}

// readAnswer reads an answer's body whole. What the body takes is counted in memory, which the caller must
// release. Errors: errAnswerTooLong, buffermem.ErrShort, buffermem.ErrFull or that of
// the body.
func readAnswer(response *http.Response, memory *buffermem.Hold) ([]byte, error) {
	length := response.ContentLength
	if response.Body == http.NoBody {
		length = 0 // the announced length is that of the answer to another method
	}
	if length > maxAnswerBytes {
		return nil, errAnswerTooLong
	}
	limit := maxAnswerBytes + 1
	if length >= 0 {
		limit = int(length) + 1 // the end is read without another buffer
	}
	buffer := answerBuffer{memory: memory, limit: limit}
	if err := buffer.resize(min(firstBufferBytes, limit)); err != nil {
		return nil, err
	}
	for {
		err := buffer.readOnce(response.Body)
		if errors.Is(err, io.EOF) {
			return buffer.data, memory.MarkWhole()
		}
		if err != nil {
			return nil, readError(err, memory)
		}
	}
}

// answerBuffer is a buffer whose capacity is counted in the memory for answers.
type answerBuffer struct {
	memory *buffermem.Hold
	data   []byte
	// limit is the largest size of the buffer of a whole answer, one byte more than the answer may have.
	limit int
	// searched is the length of the data in which the end of an event has been searched for.
	searched int
}

// resize moves the data to a buffer of a size. Errors: buffermem.ErrShort, buffermem.ErrFull.
func (b *answerBuffer) resize(size int) error {
	if err := b.memory.Resize(size); err != nil {
		return err
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return nil
}

// readOnce appends what one read of an answer returns.
func (b *answerBuffer) readOnce(body io.Reader) error {
	if len(b.data) == cap(b.data) {
		if err := b.resize(min(2*cap(b.data), b.limit)); err != nil {
			return err
		}
	}
	n, err := body.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	if len(b.data) >= b.limit {
		return errAnswerTooLong
	}
	return err
}

// append adds a piece of a stream.
func (b *answerBuffer) append(piece []byte) error {
	if size := len(b.data) + len(piece); size > cap(b.data) {
		if err := b.resize(max(size, 2*cap(b.data))); err != nil {
			return err
		}
	}
	b.data = append(b.data, piece...)
	return nil
}

// completeEventsLen returns the length of the complete events at the beginning. Data in which there was no end of an
// event is not searched again: for a long event, that would take time in proportion to the square of its length.
func (b *answerBuffer) completeEventsLen() int {
	from := max(b.searched-len("\r\n\r\n")+1, 0)
	b.searched = len(b.data)
	if size := completeEventsLen(b.data[from:]); size > 0 {
		return from + size
	}
	return 0
}

// drop removes complete events from the beginning, and returns the memory that a long one took.
func (b *answerBuffer) drop(size int) error {
	rest := copy(b.data, b.data[size:])
	b.data, b.searched = b.data[:rest], rest
	if cap(b.data) > maxIdleBytes && rest <= maxIdleBytes {
		return b.resize(maxIdleBytes)
	}
	return nil
}
