package httpserve

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lavenderring/lavenderring/pkg/buffermem"
)

// Limits of the server in these tests.
const (
	testHeadBytes = 4 << 10
	testBodyBytes = 64 << 10
)

// boundedServer is a server with a small memory for requests.
type boundedServer struct {
	*Server
	memory *buffermem.Pool
	// ahead is added to the time of the memory.
	ahead atomic.Int64
	// hold, if not nil, keeps requests in progress until it is closed.
	hold chan struct{}
}

// newBoundedServer returns a server whose memory holds requests of a size; it answers with the bodies that it got.
func newBoundedServer(t *testing.T, memory int, change func(*Options)) *boundedServer {
	t.Helper()
	b := &boundedServer{}
	b.memory = buffermem.NewRequestPool(memory, func() time.Time { return time.Now().Add(time.Duration(b.ahead.Load())) })
	opts := Options{
		Address: "127.0.0.1:0", Memory: b.memory, CancelOnDisconnect: true,
		Limits: func() Limits { return Limits{HeadBytes: testHeadBytes, BodyBytes: testBodyBytes} },
	}
	if change != nil {
		change(&opts)
	}
	var err error
	if b.Server, err = Listen(opts); err != nil {
		t.Fatal(err)
	}
	b.NoRoute(func(_ context.Context, c *app.RequestContext) {
		if b.hold != nil {
			<-b.hold
		}
		c.SetStatusCode(http.StatusOK)
		c.Response.SetBodyRaw(c.Request.Body())
	})
	b.Serve()
	t.Cleanup(func() { b.CloseBy(time.Now()) })
	return b
}

// chunkedHead and lengthHead are heads of requests with bodies.
const chunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

func lengthHead(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// exchange sends a request in pieces and returns the answer.
func exchange(t *testing.T, client net.Conn, pieces ...string) (status int, header http.Header, body string) {
	t.Helper()
	go func() {
		for _, piece := range pieces {
			if _, err := io.WriteString(client, piece); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	read, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(read)
}

// Guards against bytes of a request that are lost, doubled or taken for another's, however it is cut into pieces.
func TestRequestsArriveWholeInAnyPieces(t *testing.T) {
	b := newBoundedServer(t, 4*testBodyBytes, nil)
	body := strings.Repeat("0123456789abcdef", testBodyBytes/16)
	var chunks strings.Builder
	for n := 0; n < len(body); {
		size := min(1+n%777, len(body)-n)
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", size, body[n:n+size])
		n += size
	}
	requests := []string{lengthHead(len(body)) + body, chunkedHead + chunks.String() + "0\r\nX-Trailer: t\r\n\r\n"}
	for _, pieceBytes := range []int{1, 3, 1000, 1 << 20} {
		client := dial(t, b.Server)
		text := strings.Repeat(strings.Join(requests, ""), 2)
		go func() {
			for n := 0; n < len(text); n += pieceBytes {
				if _, err := io.WriteString(client, text[n:min(n+pieceBytes, len(text))]); err != nil {
					return
				}
			}
		}()
		reader := bufio.NewReader(client)
		for n := range 4 {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("pieces of %d, answer %d: %v", pieceBytes, n, err)
			}
			if got, err := io.ReadAll(resp.Body); err != nil || string(got) != body {
				t.Fatalf("pieces of %d, answer %d: %d bytes, %v", pieceBytes, n, len(got), err)
			}
		}
	}
}

// Guards against chunks that do not fit the buffer where the limit on heads is small.
func TestLargeChunksPassWithSmallHeads(t *testing.T) {
	b := newBoundedServer(t, 4*testBodyBytes, func(o *Options) {
		o.Limits = func() Limits { return Limits{HeadBytes: 256, BodyBytes: testBodyBytes} }
	})
	body := strings.Repeat("b", testBodyBytes)
	request := chunkedHead + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	if status, _, got := exchange(t, dial(t, b.Server), request); status != http.StatusOK || got != body {
		t.Errorf("status %d, %d bytes", status, len(got))
	}
}

// Guards against requests over their limits that are read, or refused in a way that clients take for another.
func TestRequestsOverTheLimitsAreRefused(t *testing.T) {
	b := newBoundedServer(t, 4*testBodyBytes, nil)
	over := strings.Repeat("b", testBodyBytes+1)
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"length":  {lengthHead(len(over)) + over, http.StatusRequestEntityTooLarge},
		"chunked": {chunkedHead + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(over), over), http.StatusRequestEntityTooLarge},
		"head":    {"GET / HTTP/1.1\r\nHost: h\r\nX-Filler: " + strings.Repeat("f", 4*testHeadBytes), http.StatusRequestHeaderFieldsTooLarge},
		"broken":  {chunkedHead + "zz\r\n", http.StatusBadRequest},
	} {
		if status, _, _ := exchange(t, dial(t, b.Server), c.request); status != c.status {
			t.Errorf("%s: status %d, want %d", name, status, c.status)
		}
	}
	await(t, "all memory to be returned", func() bool { return b.memory.Used() == 0 })
}

// Guards against parts of a request without a bound of their own.
func TestFramingTakesNoMemory(t *testing.T) {
	for name, part := range map[string]struct{ begin, piece string }{
		"trailer line":  {chunkedHead + "1\r\nb\r\n0\r\nX-Filler: ", "t"},
		"trailer lines": {chunkedHead + "1\r\nb\r\n0\r\n", "X-Filler: t\r\n"},
		"spaces":        {chunkedHead + "1", " "},
		"header line":   {"GET / HTTP/1.1\r\nX-Filler: ", "f"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBoundedServer(t, 4*testBodyBytes, nil)
			client := dial(t, b.Server)
			send(t, client, part.begin)
			var most int
			for range 64 {
				if _, err := io.WriteString(client, strings.Repeat(part.piece, 4<<10)); err != nil {
					break // refused
				}
				most = max(most, b.memory.Used())
			}
			if most > 4*testHeadBytes {
				t.Errorf("%d bytes were held", most)
			}
		})
	}
}

// Guards against requests that are read although the memory is full, and against refusals that do not say when to come
// back.
func TestFullMemoryRefusesAtOnce(t *testing.T) {
	b := newBoundedServer(t, testBodyBytes, nil)
	b.hold = make(chan struct{})
	body := strings.Repeat("b", testBodyBytes-8<<10)
	first := dial(t, b.Server)
	send(t, first, lengthHead(len(body))+body)
	await(t, "the first request to be in progress", func() bool { return b.NumActive() == 1 })
	status, header, _ := exchange(t, dial(t, b.Server), lengthHead(len(body)), body)
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	if got := b.Excess().RequestsRefused; got != 1 {
		t.Errorf("%d refused requests were counted", got)
	}
	small := dial(t, b.Server)
	send(t, small, lengthHead(2)+"{}")
	await(t, "a small request to be in progress", func() bool { return b.NumActive() == 2 })
	close(b.hold)
	for _, client := range []net.Conn{first, small} {
		checkAnswer(t, bufio.NewReader(client), http.StatusOK, false)
	}
	await(t, "all memory to be returned", func() bool { return b.memory.Used() == 0 })
}

// Guards against clients that stop just short of a request's end and keep out others of the same size.
func TestStalledRequestMakesRoom(t *testing.T) {
	b := newBoundedServer(t, testBodyBytes+8<<10, nil)
	body := strings.Repeat("b", testBodyBytes)
	stalled := dial(t, b.Server)
	send(t, stalled, lengthHead(len(body))+body[1:])
	await(t, "the body to be received", func() bool { return b.memory.Used() >= testBodyBytes })
	await(t, "a request of the same size to be served", func() bool {
		b.ahead.Add(int64(time.Hour)) // the stalled body may still have been arriving before
		status, _, got := exchange(t, dial(t, b.Server), lengthHead(len(body)), body)
		return status == http.StatusOK && got == body
	})
	if status, _, _ := exchange(t, stalled); status != http.StatusServiceUnavailable {
		t.Errorf("the stalled client got status %d", status)
	}
}

// Guards against memory that is kept by connections which wait for their next request.
func TestIdleConnectionsKeepNoMemory(t *testing.T) {
	b := newBoundedServer(t, 8*testBodyBytes, nil)
	body := strings.Repeat("b", testBodyBytes)
	for range 20 {
		client := dial(t, b.Server)
		if status, _, _ := exchange(t, client, lengthHead(len(body))+body); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
	}
	await(t, "all memory to be returned", func() bool { return b.memory.Used() == 0 })
	for _, c := range b.conns.all() {
		if size := len(c.reader.buffer); size > uncountedBytes {
			t.Errorf("an idle connection keeps %d bytes", size)
		}
	}
}

// Guards against heads that are dripped for as long as a whole request may take.
func TestHeadsAndIdleConnectionsEndInTheirTime(t *testing.T) {
	withLimits := func(limits Limits) func(*Options) {
		return func(o *Options) { o.Limits = func() Limits { return limits } }
	}
	b := newBoundedServer(t, testBodyBytes, withLimits(Limits{HeadTimeout: 20 * time.Millisecond, IdleTimeout: time.Hour}))
	if status, _, _ := exchange(t, dial(t, b.Server), "GET / HT"); status != http.StatusRequestTimeout {
		t.Errorf("status %d for half a head", status)
	}
	idle := newBoundedServer(t, testBodyBytes, withLimits(Limits{IdleTimeout: 20 * time.Millisecond}))
	client := dial(t, idle.Server)
	if status, _, _ := exchange(t, client, wholeRequest); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if n, err := client.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("an idle connection got %d bytes, %v", n, err)
	}
}

// Guards against TLS handshakes that do not finish and hold their connections for good.
func TestUnfinishedHandshakesEnd(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	b := newBoundedServer(t, testBodyBytes, func(o *Options) {
		o.TLS = &tls.Config{Certificates: certified.TLS.Certificates}
		o.Limits = func() Limits { return Limits{IdleTimeout: 20 * time.Millisecond} }
	})
	silent, begun := dial(t, b.Server), dial(t, b.Server)
	send(t, begun, "\x16\x03\x01") // the begin of a handshake record
	for _, client := range []net.Conn{silent, begun} {
		if _, err := io.Copy(io.Discard, client); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("the connection is open")
		}
	}
	await(t, "the connections to end", func() bool { return len(b.conns.all()) == 0 })
}

// BenchmarkRequest is a request with a small body on a kept connection.
func BenchmarkRequest(b *testing.B) { benchmarkRequest(b, 512) }

// BenchmarkLargeRequest is a request with a large body on a kept connection.
func BenchmarkLargeRequest(b *testing.B) { benchmarkRequest(b, 256<<10) }

func benchmarkRequest(b *testing.B, bodyBytes int) {
	s, err := Listen(Options{Address: "127.0.0.1:0", MaxBodyBytes: 1 << 20, CancelOnDisconnect: true})
	if err != nil {
		b.Fatal(err)
	}
	s.NoRoute(func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(http.StatusOK) })
	s.Serve()
	defer s.Close()
	client, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	request := []byte(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("b", bodyBytes)))
	reader := bufio.NewReader(client)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Write(request); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatalf("%+v, %v", resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}
