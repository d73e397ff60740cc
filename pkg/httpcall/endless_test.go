package httpcall

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

const (
	// maxSentBytes is more than any bound of a response and the sockets' buffers.
	maxSentBytes = 128 << 20
	// maxBodyBytes bounds the bodies of the tests' responses.
	maxBodyBytes = 1 << 20
	waitTimeout  = 60 * time.Second
)

// serveEndless answers one connection with a start and then with parts until it is closed, at most
// maxSentBytes. It returns the server's address and the number of bytes sent.
func serveEndless(t *testing.T, start, part string) (address string, sent <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	total := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, start)
		block := bytes.Repeat([]byte(part), 1+(64<<10)/len(part))
		n := 0
		for ; n < maxSentBytes; n += len(block) {
			if _, err := conn.Write(block); err != nil {
				break
			}
		}
		total <- n
	}()
	return listener.Addr().String(), total
}

// Guards against an instance whose memory is used up by responses without end.
func TestEndlessResponsesAreClosed(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const events = ok + "Content-Type: text/event-stream\r\n"
	for name, response := range map[string][2]string{
		"header value":    {ok + "X-Long: ", "a"},
		"header lines":    {ok, "X-More: a\r\n"},
		"chunked body":    {ok + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		"chunk size":      {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"body to close":   {ok + "\r\n", "a"},
		"long body":       {ok + "Content-Length: 1000000000\r\n\r\n", "a"},
		"trailers":        {ok + "Transfer-Encoding: chunked\r\nTrailer: X-More\r\n\r\n0\r\n", "X-More: a\r\n"},
		"stream to close": {events + "\r\n", "data: a\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := serveEndless(t, response[0], response[1])
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
			req.SetRequestURI("http://" + address + "/")
			end, err := Call(ctx, Options{Address: address, MaxResponseBytes: maxBodyBytes}, req, resp)
			end()
			if err == nil {
				t.Errorf("a response without end was received, %d bytes", len(resp.Body()))
			}
			if n := <-sent; n >= maxSentBytes {
				t.Errorf("%d bytes were read, error %v", n, err)
			}
		})
	}
}
