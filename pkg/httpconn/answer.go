package httpconn

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrNoAnswer means that the bytes on a connection are no answer to a request.
var ErrNoAnswer = errors.New("not an answer")

// lastStatus is the last status of HTTP.
const lastStatus = 599

// checkHead returns an error that wraps ErrNoAnswer if a parsed head is not that of an answer. The parser refuses all
// other forms that HTTP forbids, such as control bytes in values and lengths that contradict each other.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 || response.ProtoMinor > 1 {
		return fmt.Errorf("%w: version %q", ErrNoAnswer, response.Proto)
	}
	if status := response.StatusCode; status < http.StatusContinue || status > lastStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %q", ErrNoAnswer, response.Status)
	}
	return checkNames(response.Header)
}

// isInterim reports whether a head that was checked precedes that of the answer.
func isInterim(response *http.Response) bool { return response.StatusCode < http.StatusOK }

// checkNames returns an error that wraps ErrNoAnswer if the name of a field has a byte that no name may have.
func checkNames(header http.Header) error {
	for name := range header {
		for i := range len(name) {
			if !isNameByte(name[i]) {
				return fmt.Errorf("%w: field name %q", ErrNoAnswer, name)
			}
		}
	}
	return nil
}

// isNameByte reports whether a byte may be part of a field's name, a token of RFC 9110.
func isNameByte(b byte) bool {
	switch b {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return '0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
}

// chunkedBody is a body in chunks. What is no chunk or trailer of an answer ends its connection.
type chunkedBody struct {
	io.ReadCloser
	conn     *Conn
	response *http.Response
}

// Read implements io.Reader. Errors: ErrNoAnswer, io.ErrUnexpectedEOF and those of the connection.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		err = checkNames(b.response.Trailer)
	case err != nil:
		err = b.conn.parseError(err)
	default:
		return n, nil
	}
	switch {
	case err == nil:
		return n, io.EOF
	case errors.Is(err, ErrNoAnswer):
		b.conn.Close() // the peer may go on sending
	}
	return n, err
}
