package buffermem

import (
	"errors"
	"io"
)

// ErrTooLong means that a message is larger than its limit.
var ErrTooLong = errors.New("message exceeds its limit")

// Message describes a message that is to be read whole.
type Message struct {
	// Length is the announced length in bytes; negative if none is.
	Length int
	// Limit is the largest length that is read.
	Limit int
	// FirstBytes is the size of the first buffer, whatever length is announced.
	FirstBytes int
	// MaxReadBytes bounds one read; 0 for no bound.
	MaxReadBytes int
	// Take takes memory for a buffer of a size, before it is made.
	Take func(bytes int) error
}

// ReadAll reads a message whole into a buffer whose memory is taken as the message arrives. Errors: ErrTooLong,
// io.ErrUnexpectedEOF, those of Take and of the body.
func ReadAll(body io.Reader, m Message) ([]byte, error) {
	if m.Length > m.Limit {
		return nil, ErrTooLong
	}
	most := m.Limit + 1 // the byte beyond the limit shows that the message exceeds it
	if m.Length >= 0 {
		most = m.Length
	}
	var data []byte
	for m.Length < 0 || len(data) < m.Length {
		if len(data) == cap(data) {
			size := min(max(2*cap(data), m.FirstBytes), most)
			if err := m.Take(size); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
		}
		room := data[len(data):cap(data)]
		if m.MaxReadBytes > 0 {
			room = room[:min(len(room), m.MaxReadBytes)]
		}
		n, err := body.Read(room)
		data = data[:len(data)+n]
		switch {
		case len(data) > m.Limit:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF) && m.Length >= 0 && len(data) < m.Length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
	return data, nil
}
