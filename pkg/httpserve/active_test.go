package httpserve

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// responseBytes is the size of a response that the buffers of a connection cannot hold.
const responseBytes = 64 << 20

// testTimeout bounds what a test waits for.
const testTimeout = 10 * time.Second

// listen returns a server on a free port whose handler answers with responseBytes.
func listen(t *testing.T) *Server {
	t.Helper()
	s, err := Listen(Options{Address: "127.0.0.1:0", MaxBodyBytes: 1024, CancelOnDisconnect: true})
	if err != nil {
		t.Fatal(err)
	}
	s.NoRoute(func(_ context.Context, c *app.RequestContext) { c.Response.SetBodyRaw(make([]byte, responseBytes)) })
	s.Serve()
	t.Cleanup(s.Close)
	return s
}

// request sends a request on a new connection and returns its response, whose body is not read yet.
func request(t *testing.T, s *Server) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// Guards against a server that is closed while a slow client still receives its response: a request is
// active until its response has been written, and AwaitIdle waits for that.
func TestRequestIsActiveUntilItsResponseIsWritten(t *testing.T) {
	s := listen(t)
	response := request(t, s)
	if n := s.NumActive(); n != 1 {
		t.Errorf("%d active requests while a client has read the head of its response, want 1", n)
	}
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	if err := s.AwaitIdle(expired); !errors.Is(err, context.Canceled) {
		t.Errorf("AwaitIdle returned %v while a response was being written", err)
	}
	if n, err := io.Copy(io.Discard, response.Body); n != responseBytes || err != nil {
		t.Errorf("the client received %d bytes, %v", n, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := s.AwaitIdle(ctx); err != nil || s.NumActive() != 0 {
		t.Errorf("%d active requests after the response was received, AwaitIdle returned %v", s.NumActive(), err)
	}
}

// Guards against requests that stay active for ever: the client leaves before its response is written,
// and an idle connection ends.
func TestRequestOfAClientThatLeftIsNotActive(t *testing.T) {
	s := listen(t)
	request(t, s)
	idle, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = idle.Close()
	left, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = left.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	await(t, "both requests to be active", func() bool { return s.NumActive() == 2 })
	_ = left.Close()
	await(t, "one request to be active", func() bool { return s.NumActive() == 1 })
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited for %s", what)
		}
	}
}

// Guards against memory of a response that counts as free while a slow client still receives it.
func TestOnWrittenWaitsForASlowClient(t *testing.T) {
	s, err := Listen(Options{Address: "127.0.0.1:0", MaxBodyBytes: 1024, CancelOnDisconnect: true})
	if err != nil {
		t.Fatal(err)
	}
	written := make(chan struct{})
	s.NoRoute(func(_ context.Context, c *app.RequestContext) {
		OnWritten(c, func() { close(written) })
		c.Response.SetBodyRaw(make([]byte, responseBytes))
	})
	s.Serve()
	t.Cleanup(s.Close)
	response := request(t, s)
	select {
	case <-written:
		t.Error("the response counts as written before it was read")
	default:
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	select {
	case <-written:
	case <-time.After(testTimeout):
		t.Error("the response does not count as written after it was read")
	}
}
