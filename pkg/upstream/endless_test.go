package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/outcome"
)

const (
	// maxSentBytes is more than any bound of an answer and the sockets' buffers.
	maxSentBytes = 128 << 20
	// eventsHead is the header of a stream for the request "r".
	eventsHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: r\r\n"
	waitTimeout = 60 * time.Second
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
		_, err = io.WriteString(conn, start)
		block, n := strings.Repeat(part, 1+(64<<10)/len(part)), 0
		for ; n < maxSentBytes && err == nil; n += len(block) {
			_, err = io.WriteString(conn, block)
		}
		total <- n
	}()
	return listener.Addr().String(), total
}

// Guards against an instance whose memory is used up by one event without end.
func TestEndlessEventsAreClosed(t *testing.T) {
	const chunked = eventsHead + "Transfer-Encoding: chunked\r\n\r\n"
	for name, response := range map[string][2]string{
		"line":          {chunked, "10\r\ndata: abcdefghij\r\n"},
		"lines":         {chunked, "8\r\ndata: a\n\r\n"},
		"long body":     {eventsHead + "Content-Length: 1000000000\r\n\r\n", "data: a\n"},
		"body to close": {eventsHead + "\r\n", "data: a\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := serveEndless(t, response[0], response[1])
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			stream, err := Open(ctx, address, StreamRequest{ID: "r"}, func() {})
			if err == nil {
				_, err = stream.Next()
				stream.Close()
			}
			var call *CallError
			if !errors.As(err, &call) {
				t.Errorf("error %v, want a CallError", err)
			}
			if n := <-sent; n >= maxSentBytes {
				t.Errorf("%d bytes were read, error %v", n, err)
			}
		})
	}
}

// Guards against an instance whose memory is used up by a plain service that answers with events without end.
func TestEndlessEventsOfPlainServicesAreClosed(t *testing.T) {
	address, sent := serveEndless(t, eventsHead+"Transfer-Encoding: chunked\r\n\r\n", "9\r\ndata: a\n\n\r\n")
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if _, err := CallPlain(ctx, address, PlainRequest{ID: "r", Method: "GET", Path: "/"}, &outcome.Tracker{}, newHold(t)); err == nil {
		t.Error("an answer without end was received")
	}
	if n := <-sent; n >= maxSentBytes {
		t.Errorf("%d bytes were read", n)
	}
}
