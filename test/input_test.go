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

// Clients send input that is too large, too slow, endless or malformed. Each gets
// a 4xx answer or has its connection closed by the read timeout, and another client
// is served meanwhile.
func TestBadInputDisturbsNobody(t *testing.T) {
	f := newFleet(t, options{instances: 1, engines: 1, prepaid: 1_000_000, clientReadMillis: 1500})
	address := f.instances[0].address
	cases := []struct {
		description string
		send        string
		status      string // prefix of the expected status; if empty, the connection may be closed without an answer
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
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			go func() { _, _ = conn.Write([]byte(c.send)) }()
			if a := askModel(address, crewKey, true, 3, samplePrompt); !a.whole {
				t.Errorf("another client meanwhile got %d %s", a.status, a.body)
			}
			_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
			line, err := bufio.NewReader(conn).ReadString('\n')
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				t.Fatalf("the connection was still open after %v", waitTimeout)
			}
			if c.status != "" && line != "" && !strings.HasPrefix(line, "HTTP/1.1 "+c.status) {
				t.Errorf("got %q, expected status %s", line, c.status)
			}
			if c.status != "" && line == "" {
				t.Errorf("the connection was closed without an answer: %v", err)
			}
		})
	}
	if a := call(address, crewKey, http.MethodGet, "/nowhere", "", nil); a.status != http.StatusNotFound {
		t.Errorf("an unknown path got %d", a.status)
	}
}
