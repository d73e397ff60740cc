package httpconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// maxTestBytes is what an endless peer of a test sends at most, so that a connection without a bound
// fails the test instead of filling the memory.
const maxTestBytes = 8 << 20

// sendEndlessly sends first and then the blocks that next returns, until the other end closes. The number
// of bytes that the other end took is sent on the channel that it returns.
func sendEndlessly(raw net.Conn, first string, next func(n int) string) <-chan int {
	taken := make(chan int, 1)
	go func() {
		defer func() { _ = raw.Close() }()
		sum, err := io.WriteString(raw, first)
		for n := 0; err == nil && sum < maxTestBytes; n++ {
			var written int
			written, err = io.WriteString(raw, next(n))
			sum += written
		}
		taken <- sum
	}()
	return taken
}

// endlessHeads are the ways in which the bytes before a body have no end.
var endlessHeads = []struct {
	description, first string
	next               func(n int) string
}{
	{"status line", "HTTP/1.1 200 ", func(int) string { return strings.Repeat("x", 512) }},
	{"header line", "HTTP/1.1 200 OK\r\nA: ", func(int) string { return strings.Repeat("x", 512) }},
	{"header lines", "HTTP/1.1 200 OK\r\n", func(n int) string { return fmt.Sprintf("Name-%d: x\r\n", n) }},
	{"interim responses", "", func(int) string { return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" }},
}

// Guards against a head without end, which fills the instance's memory until the process is killed with all
// requests in progress.
func TestHeadWithoutEndIsCutOff(t *testing.T) {
	for _, c := range endlessHeads {
		t.Run(c.description, func(t *testing.T) {
			near, far := net.Pipe()
			taken := sendEndlessly(far, c.first, c.next)
			conn := NewConn(near, "peer")
			_, err := conn.ReadHead(http.MethodGet)
			if near.SetDeadline(time.Time{}) == nil {
				t.Error("the connection was left open")
				conn.Close()
			}
			sum := <-taken
			if !errors.Is(err, ErrHeadTooLong) {
				t.Errorf("error is %v, want %v", err, ErrHeadTooLong)
			}
			if sum > maxHeadBytes {
				t.Errorf("%d bytes were read, at most %d may be", sum, maxHeadBytes)
			}
		})
	}
}

// Guards against trailers without end after a chunked body.
func TestTrailersWithoutEndAreCutOff(t *testing.T) {
	near, far := net.Pipe()
	first := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
	taken := sendEndlessly(far, first, func(n int) string { return fmt.Sprintf("Name-%d: x\r\n", n) })
	conn := NewConn(near, "peer")
	response, err := conn.ReadHead(http.MethodGet)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = io.ReadAll(response.Body); err == nil {
		t.Error("the body was read without an error")
	}
	conn.Close()
	if sum := <-taken; sum > maxHeadBytes {
		t.Errorf("%d bytes were read, at most %d may be", sum, maxHeadBytes)
	}
}

// Guards against a bound on heads that cuts off long bodies, or that several exchanges on a connection
// share.
func TestBoundOnHeadsLeavesBodiesAndLaterHeadsAlone(t *testing.T) {
	near, far := net.Pipe()
	body := bytes.Repeat([]byte("b"), 3*maxHeadBytes)
	padding := strings.Repeat("x", maxHeadBytes*3/4)
	const exchanges = 3
	go func() {
		for range exchanges {
			_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nA: %s\r\nContent-Length: %d\r\n\r\n%s", padding, len(body), body)
		}
	}()
	conn := NewConn(near, "peer")
	defer conn.Close()
	for n := range exchanges {
		response, err := conn.ReadHead(http.MethodGet)
		if err != nil {
			t.Fatalf("exchange %d: %v", n, err)
		}
		read, err := io.ReadAll(response.Body)
		if err != nil || !bytes.Equal(read, body) {
			t.Fatalf("exchange %d: read %d of %d bytes: %v", n, len(read), len(body), err)
		}
	}
}
