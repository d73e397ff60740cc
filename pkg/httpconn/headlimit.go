package httpconn

import (
	"errors"
	"io"
)

// maxHeadBytes bounds the bytes that are read for a response's head, interim responses included; it is the
// bound on callers' heads too. The trailers of a chunked body are bounded by readBufferBytes.
const maxHeadBytes = 64 << 10

// ErrHeadTooLong means that a response's head, with the interim responses before it, exceeded maxHeadBytes.
var ErrHeadTooLong = errors.New("response head exceeds the limit")

// headLimit reads from a connection and bounds what is read while a head is awaited. It lies beneath the
// connection's buffer, so that the parser's own reads are bounded too.
type headLimit struct {
	source io.Reader
	// limited says that a head is being read; remaining is how many bytes may still be read for it.
	limited   bool
	remaining int
	// exceeded says that more was to be read. The parser may report another error: it takes the beginning
	// of a line for the line.
	exceeded bool
}

// begin starts a head of which some bytes have been read already.
func (l *headLimit) begin(buffered int) {
	l.limited, l.remaining, l.exceeded = true, maxHeadBytes-buffered, false
}

// end ends a head; what follows is not bounded here.
func (l *headLimit) end() { l.limited = false }

// Read implements io.Reader. The error is ErrHeadTooLong if the head has not ended within the limit.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.remaining <= 0 {
		l.exceeded = true
		return 0, ErrHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
