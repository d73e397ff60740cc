package httpconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// brokenAnswers are answers, whole, by how their bodies end.
var brokenAnswers = map[string]string{
	"length":     "HTTP/1.1 200 OK\r\nSeal: x\r\nContent-Length: 5\r\n\r\nwhole",
	"no body":    "HTTP/1.1 200 OK\r\nSeal: x\r\nContent-Length: 0\r\n\r\n",
	"chunks":     "HTTP/1.1 200 OK\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"connection": "HTTP/1.1 200 OK\r\nSeal: x\r\n\r\n",
	"old":        "HTTP/1.0 200 OK\r\nSeal: x\r\n\r\n",
	"interim":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nSeal: x\r\n\r\n",
	"bare lines": "HTTP/1.1 200 OK\nSeal: x\n\n",
}

// readCut reads an answer of which the upstream sends a part and then ends the connection.
func readCut(t *testing.T, part string) (*http.Response, string, error) {
	t.Helper()
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() {
		_, _ = io.WriteString(far, part)
		_ = far.Close()
	}()
	conn := NewConn(near, "upstream")
	response, err := conn.ReadHead(http.MethodPost)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// Guards against an answer whose upstream stopped within the head and that is taken for a whole one with an empty or
// short body: the client would get it framed as whole.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for description, whole := range brokenAnswers {
		for cut := range len(whole) {
			t.Run(fmt.Sprintf("%s, %d of %d bytes", description, cut, len(whole)), func(t *testing.T) {
				headEnds := strings.LastIndex(whole, "\r\n\r\n") + len("\r\n\r\n")
				if response, body, err := readCut(t, whole[:cut]); err == nil {
					t.Errorf("%q of a head of %d bytes is a whole answer: %d %q", whole[:cut], headEnds, response.StatusCode, body)
				}
			})
		}
	}
}
