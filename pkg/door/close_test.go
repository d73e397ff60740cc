package door

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/forward"
)

const (
	// testTimeout bounds what a test waits for.
	testTimeout = 20 * time.Second
	// wholeRequest is a request without a body.
	wholeRequest = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	// numWaiting is the number of connections that wait to be accepted.
	numWaiting = 64
	// dialTimeout bounds a connection by which a test finds out whether a server listens.
	dialTimeout = 50 * time.Millisecond
)

// listenForTest returns a server on a free port, and its address.
func listenForTest(t *testing.T, format Format, pipeline Pipeline) (*Server, string) {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.Addr().String()
	_ = probe.Close()
	d, err := Listen(Options{Address: address, ReadTimeout: testTimeout, Format: format, Pipeline: pipeline})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d, address
}

// dialAndSend opens a connection and sends bytes on it.
func dialAndSend(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// checkRefused checks that the client receives a whole refusal, and that it is the last on its connection.
func checkRefused(t *testing.T, conn net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("the client received %v instead of a refusal", err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || len(body) == 0 || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("the client received status %d, body %q, %v, last on the connection %v", resp.StatusCode, body, err, resp.Close)
	}
}

// Guards against requests that get no answer because their connections wait to be accepted when a stop ends.
func TestWaitingConnectionsAreRefusedBeforeClosing(t *testing.T) {
	pipeline := &countingPipeline{}
	d, address := listenForTest(t, plainFormat{}, pipeline)
	var conns []net.Conn
	for range numWaiting {
		conns = append(conns, dialAndSend(t, address, wholeRequest))
	}
	d.Refuse()
	d.Serve()
	d.Close()
	for _, conn := range conns {
		checkRefused(t, conn)
	}
	if pipeline.numPassed != 0 {
		t.Errorf("%d requests were passed to the pipeline", pipeline.numPassed)
	}
}

// slowFormat holds refusals back until they are released.
type slowFormat struct {
	plainFormat
	entered, released chan struct{}
	once              sync.Once
}

func (f *slowFormat) EncodeRefusal(r *forward.Refusal) (int, []forward.Header) {
	f.once.Do(func() { close(f.entered) })
	<-f.released
	return f.plainFormat.EncodeRefusal(r)
}

// Guards against a refusal that is cut off because the stop ends while it is being written.
func TestRefusalIsWrittenOutBeforeClosing(t *testing.T) {
	format := &slowFormat{entered: make(chan struct{}), released: make(chan struct{})}
	d, address := listenForTest(t, format, &countingPipeline{})
	d.Serve()
	d.Refuse()
	conn := dialAndSend(t, address, wholeRequest)
	<-format.entered
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		d.CloseBy(time.Now().Add(testTimeout))
	}()
	for {
		probe, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			break // the server has stopped listening
		}
		_ = probe.Close()
	}
	close(format.released)
	checkRefused(t, conn)
	<-closed
}

// largePipeline answers with a body that the buffers of a connection cannot hold.
type largePipeline struct{}

const (
	largeBytes = 16 << 20
	// smallBuffer is the number of bytes that a client receives without reading them.
	smallBuffer = 64 << 10
	// slowBytes is the end of the answer that the client reads slowly, pieceBytes at a time, so that a part of
	// it is left when the server has written it.
	slowBytes, pieceBytes = 4 << 20, 16 << 10
	// closingTime gives a server time to close a connection too early.
	closingTime = 50 * time.Millisecond
)

func (largePipeline) Serve(_ context.Context, _ *forward.Request, client forward.Client) {
	_ = client.Answer(http.StatusOK, nil, make([]byte, largeBytes))
}

// Guards against an answer whose end is destroyed by the reset of its connection: the connection is closed
// after the answer, and the client has sent more than the server reads.
func TestBytesBehindTheLastRequestDestroyNoAnswer(t *testing.T) {
	d, address := listenForTest(t, plainFormat{}, largePipeline{})
	d.Drain()
	d.Serve()
	conn := dialAndSend(t, address, "")
	if err := conn.(*net.TCPConn).SetReadBuffer(smallBuffer); err != nil { // so that the end of the answer waits at the server
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte(wholeRequest)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || !resp.Close {
		t.Fatalf("got %+v, %v", resp, err)
	}
	if _, err := conn.Write(make([]byte, 128<<10)); err != nil {
		t.Fatal(err)
	}
	numRead := 0
	for err == nil && d.NumActive() > 0 { // until the server has nothing more to write
		if numRead > largeBytes-slowBytes {
			time.Sleep(time.Millisecond)
		}
		var n int
		n, err = resp.Body.Read(make([]byte, pieceBytes))
		numRead += n
	}
	time.Sleep(closingTime)
	rest, err := io.Copy(io.Discard, resp.Body)
	if numRead += int(rest); numRead != largeBytes || err != nil {
		t.Errorf("the client received %d of %d bytes, %v", numRead, largeBytes, err)
	}
}
