package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/lavenderring/lavenderring/pkg/buffermem"
	"github.com/lavenderring/lavenderring/pkg/outcome"
)

// Guards against an answer without end that counts as a connection that the upstream ended, as if it had crashed,
// or that is taken for its beginning.
func TestAnswerWithoutEndIsTooLong(t *testing.T) {
	cases := []struct{ description, first, block string }{
		{"head", "HTTP/1.1 200 OK\r\n", "Name: x\r\n"},
		{"chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4<<10) + "\r\n"},
		{"announced body", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", strings.Repeat("x", 4<<10)},
		{"body until the close", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4<<10)},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err = http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err = io.WriteString(conn, c.first)
				for sum := 0; err == nil && sum < 8*maxAnswerBytes; sum += len(c.block) {
					_, err = io.WriteString(conn, c.block)
				}
			}()
			request := PlainRequest{ID: "1", Method: "POST", Path: "/"}
			_, err = CallPlain(t.Context(), listener.Addr().String(), request, &outcome.Tracker{}, newHold(t))
			if !errors.Is(err, ErrTooLong) {
				t.Errorf("error is %v, want %v", err, ErrTooLong)
			}
		})
	}
}

// newHold returns a hold of memory for an answer.
func newHold(t *testing.T) *buffermem.Hold {
	return buffermem.NewPool(4*maxAnswerBytes).NewHold(t.Context(), func() {})
}
