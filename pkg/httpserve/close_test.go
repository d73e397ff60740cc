package httpserve

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// wholeRequest is a request without a body.
const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// newClosableServer returns a server that answers requests with 200 and refuses them with 503; it does not
// serve yet. numServed counts those that are answered.
func newClosableServer(t *testing.T) (s *Server, numServed *atomic.Int64) {
	t.Helper()
	numServed = &atomic.Int64{}
	s, err := Listen(Options{
		Address: "127.0.0.1:0", MaxBodyBytes: 1024, CancelOnDisconnect: true,
		Refuse: func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(consts.StatusServiceUnavailable) },
	})
	if err != nil {
		t.Fatal(err)
	}
	s.NoRoute(func(_ context.Context, c *app.RequestContext) {
		numServed.Add(1)
		c.SetStatusCode(consts.StatusOK)
	})
	t.Cleanup(func() { s.CloseBy(time.Now()) })
	return s, numServed
}

// dial opens a connection to a server.
func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	_ = client.SetDeadline(time.Now().Add(testTimeout))
	return client
}

func send(t *testing.T, client net.Conn, text string) {
	t.Helper()
	if _, err := client.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// checkAnswer reads an answer and checks its status and whether it is the last on its connection.
func checkAnswer(t *testing.T, reader *bufio.Reader, status int, last bool) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("got %v instead of an answer", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != status || resp.Close != last {
		t.Errorf("got status %d, last on the connection %v, %v, want %d, %v", resp.StatusCode, resp.Close, err, status, last)
	}
}

// goClose closes a server in the background and waits until it has stopped listening.
func goClose(t *testing.T, s *Server) (closed chan struct{}) {
	t.Helper()
	closed = make(chan struct{})
	go func() {
		defer close(closed)
		s.CloseBy(time.Now().Add(testTimeout))
	}()
	await(t, "the server to stop listening", func() bool {
		client, err := net.DialTimeout("tcp", s.listener.Addr().String(), time.Second)
		if err == nil {
			_ = client.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	return closed
}

// Guards against a request that is cut off when its server closes: its head has been received, and the rest
// arrives after the listener has been closed.
func TestRequestOnItsWayIsRefusedBeforeClosing(t *testing.T) {
	s, numServed := newClosableServer(t)
	s.Serve()
	kept := dial(t, s)
	reader := bufio.NewReader(kept)
	send(t, kept, wholeRequest)
	checkAnswer(t, reader, http.StatusOK, false)
	begun := []net.Conn{kept, dial(t, s)}
	readers := []*bufio.Reader{reader, bufio.NewReader(begun[1])}
	for _, client := range begun {
		send(t, client, wholeRequest[:10])
	}
	await(t, "the first bytes to be received", func() bool {
		for _, c := range s.conns.all() {
			c.mu.Lock()
			fresh := c.fresh
			c.mu.Unlock()
			if fresh {
				return false
			}
		}
		return len(s.conns.all()) == len(begun) && s.NumActive() == 0
	})
	closed := goClose(t, s)
	time.Sleep(2 * arrivalTime) // idle connections are closed by then
	for n, client := range begun {
		send(t, client, wholeRequest[10:])
		checkAnswer(t, readers[n], http.StatusServiceUnavailable, true)
		_ = client.Close()
	}
	<-closed
	if numServed.Load() != 1 {
		t.Errorf("%d requests were served, want 1", numServed.Load())
	}
}

// Guards against a second request that is lost because it was received together with the first one and the
// connection seemed to be idle.
func TestRequestReceivedWithAnotherIsRefusedBeforeClosing(t *testing.T) {
	s, _ := newClosableServer(t)
	s.Serve()
	client := dial(t, s)
	reader := bufio.NewReader(client)
	send(t, client, wholeRequest+wholeRequest[:2])
	checkAnswer(t, reader, http.StatusOK, false)
	await(t, "the first request to be over", func() bool { return s.NumActive() == 0 })
	closed := goClose(t, s)
	time.Sleep(2 * arrivalTime)
	send(t, client, wholeRequest[2:])
	checkAnswer(t, reader, http.StatusServiceUnavailable, true)
	_ = client.Close()
	<-closed
}

// Guards against a server that waits for idle connections until its deadline, and against answers to clients
// that have sent nothing.
func TestIdleConnectionsEndSilently(t *testing.T) {
	s, _ := newClosableServer(t)
	s.Serve()
	kept, unused := dial(t, s), dial(t, s)
	send(t, kept, wholeRequest)
	reader := bufio.NewReader(kept)
	checkAnswer(t, reader, http.StatusOK, false)
	await(t, "the request to be over", func() bool { return len(s.conns.all()) == 2 && s.NumActive() == 0 })
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		s.CloseBy(time.Now().Add(time.Hour))
	}()
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the server waits for idle connections")
	}
	for _, client := range []io.Reader{reader, unused} {
		if n, err := client.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
			t.Errorf("an idle client received %d bytes, %v", n, err)
		}
	}
}

// accept returns the server's end of a new connection.
func accept(t *testing.T, s *Server) (client net.Conn, accepted *conn) {
	t.Helper()
	client = dial(t, s)
	c, err := s.listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted = c.(*conn)
	t.Cleanup(accepted.cut)
	return client, accepted
}

// Guards against a connection that is reset because it enters the queue after the last look at it: new ones
// are refused first, and those in the queue are kept.
func TestNewConnectionsAreRefusedBeforeTheQueueIsEmptied(t *testing.T) {
	s, _ := newClosableServer(t)
	client := dial(t, s)
	send(t, client, wholeRequest)
	if err := s.listener.refuseNew(); errors.Is(err, errors.ErrUnsupported) {
		t.Skip(err)
	}
	if late, err := net.Dial("tcp", s.listener.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v, %v", late, err)
	}
	accepted, err := s.listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(accepted.(*conn).cut)
	if n, err := accepted.Read(make([]byte, len(wholeRequest))); n != len(wholeRequest) || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// Guards against a request that is lost because it arrives while its idle connection is being ended: the
// reader looks once more for it.
func TestRequestThatArrivesAsItsConnectionEndsIsRead(t *testing.T) {
	s, _ := newClosableServer(t)
	client, c := accept(t, s)
	send(t, client, wholeRequest)
	await(t, "the request to arrive", c.hasUnread)
	c.addReading(1) // as if a read had begun before the request arrived
	c.endIfIdle()
	c.addReading(-1)
	if n, err := c.Read(make([]byte, len(wholeRequest))); n != len(wholeRequest) || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// Guards against a request that times out at once because its first bytes were read while its connection was
// being ended.
func TestRequestThatBeginsAsItsConnectionEndsIsReadOn(t *testing.T) {
	s, _ := newClosableServer(t)
	client, c := accept(t, s)
	c.addReading(1)
	c.endIfIdle()
	if again, err := c.noteRead(1, nil); again || err != nil {
		t.Errorf("read on %v, %v", again, err)
	}
	c.addReading(-1)
	send(t, client, wholeRequest)
	if n, err := c.Read(make([]byte, len(wholeRequest))); n != len(wholeRequest) || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// Guards against a stop that outlasts its grace period: a request that is being served when the time is over
// is cut off at once, and those that never arrive whole are at the deadline.
func TestCloseEndsByItsDeadline(t *testing.T) {
	s, _ := newClosableServer(t)
	release := make(chan struct{})
	defer close(release)
	s.NoRoute(func(context.Context, *app.RequestContext) { <-release })
	s.Serve()
	served, partial := dial(t, s), dial(t, s)
	send(t, served, wholeRequest)
	send(t, partial, wholeRequest[:10])
	await(t, "a request to be served", func() bool { return s.NumActive() == 1 })
	closed := goClose(t, s)
	if _, err := served.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the request that was being served ended with %v", err)
	}
	select {
	case <-closed:
		t.Error("the server did not wait for a request that was on its way")
	default:
	}
	s.CloseBy(time.Now())
	if _, err := partial.Read(make([]byte, 1)); err == nil {
		t.Error("a connection outlasted the deadline")
	}
	<-closed
}

// Guards against the same losses on encrypted connections.
func TestEncryptedConnectionsEndInOrder(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	certified.Close()
	s, err := Listen(Options{
		Address: "127.0.0.1:0", MaxBodyBytes: 1024, TLS: &tls.Config{Certificates: certified.TLS.Certificates},
		Refuse: func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(consts.StatusServiceUnavailable) },
	})
	if err != nil {
		t.Fatal(err)
	}
	s.NoRoute(func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(consts.StatusOK) })
	s.Serve()
	t.Cleanup(func() { s.CloseBy(time.Now()) })
	var clients []net.Conn
	var readers []*bufio.Reader
	for range 2 {
		client := tls.Client(dial(t, s), &tls.Config{InsecureSkipVerify: true}) // the certificate is of no interest here
		reader := bufio.NewReader(client)
		send(t, client, wholeRequest)
		checkAnswer(t, reader, http.StatusOK, false)
		clients, readers = append(clients, client), append(readers, reader)
	}
	await(t, "the requests to be over", func() bool { return s.NumActive() == 0 })
	send(t, clients[0], wholeRequest[:10])
	await(t, "the first bytes to be received", func() bool {
		numFresh := 0
		for _, c := range s.conns.all() {
			c.mu.Lock()
			if c.fresh {
				numFresh++
			}
			c.mu.Unlock()
		}
		return numFresh == 1
	})
	closed := goClose(t, s)
	if n, err := readers[1].Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("an idle client received %d bytes, %v", n, err)
	}
	send(t, clients[0], wholeRequest[10:])
	checkAnswer(t, readers[0], http.StatusServiceUnavailable, true)
	_ = clients[0].Close()
	<-closed
}
