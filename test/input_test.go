package test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Callers send too much, too slowly, without end, or nothing that makes sense.
// Each gets a clear 4xx or is hung up on by the read bound, and a crew that asks
// meanwhile is served.
func TestBadInputDisturbsNobody(t *testing.T) {
	f := newFleet(t, options{instances: 1, engines: 1, prepaid: 1_000_000, callerReadMillis: 1500})
	at := f.instances[0].address
	cases := []struct {
		description string
		send        string
		status      string // empty: hung up on without an answer is well
	}{
		{"no HTTP", "\x00\x01\x02\r\n\r\n", "400"},
		{"a head without end", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 200_000), "4"},
		{"a body that is announced too large", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n", "413"},
		{"a body that never comes", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", ""},
		{"an endless chunked body", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 65536, strings.Repeat("x", 65536)), 140), "413"},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			conn, err := net.Dial("tcp", at)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			go func() { _, _ = conn.Write([]byte(c.send)) }()
			if a := ask(at, crewKey, true, 3, question); !a.whole {
				t.Errorf("a crew meanwhile got %d %s", a.status, a.body)
			}
			_ = conn.SetReadDeadline(time.Now().Add(giveUpAfter))
			line, err := bufio.NewReader(conn).ReadString('\n')
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				t.Fatal("the connection was held open")
			}
			if c.status != "" && line != "" && !strings.HasPrefix(line, "HTTP/1.1 "+c.status) {
				t.Errorf("got %q", line)
			}
			if c.status != "" && line == "" {
				t.Errorf("hung up on without an answer: %v", err)
			}
		})
	}
	if a := call(at, crewKey, http.MethodGet, "/nowhere", "", nil); a.status != http.StatusNotFound {
		t.Errorf("got %d", a.status)
	}
}
