package kit

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

// Reply is what a client got.
type Reply struct {
	Status     int
	Body       string
	Header     http.Header
	RetryAfter string
	Err        error
	// Kept says that the request was sent over a connection that had been used before.
	Kept bool
}

// Request describes a client's request.
type Request struct {
	ID, Method, Path, Body string
	Deadline               time.Duration
	Header                 map[string]string
	// Upload is the time that the client takes to send the body; 0 to send it as fast as it can.
	Upload time.Duration
}

// pieceBytes is the size of the pieces in which a slow client sends a body.
const pieceBytes = 32 << 10

// slowBody returns a body in pieces, so that all of it takes a time.
type slowBody struct {
	rest  string
	pause time.Duration
}

func newSlowBody(body string, upload time.Duration) *slowBody {
	return &slowBody{rest: body, pause: upload / time.Duration(len(body)/pieceBytes+1)}
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.rest == "" {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := copy(p[:min(len(p), pieceBytes)], b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Client returns an HTTP client that keeps its connections or not.
func Client(keep bool) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: !keep, MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// Send sends a request to a router and reads the whole answer.
func Send(client *http.Client, r *Router, request Request) Reply {
	method := request.Method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+r.Front+request.Path, bytes.NewBufferString(request.Body))
	if err != nil {
		return Reply{Err: err}
	}
	if request.Upload > 0 {
		req.Body, req.GetBody = io.NopCloser(newSlowBody(request.Body, request.Upload)), nil
	}
	req.Host = Host
	req.Header.Set("Authorization", "Bearer "+Key)
	req.Header.Set(Names.RequestID, request.ID)
	req.Header.Set(Names.Deadline, fmt.Sprint(request.Deadline.Milliseconds()))
	for name, value := range request.Header {
		req.Header.Set(name, value)
	}
	kept := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	// A client that gets nothing leaves a little after its deadline.
	timer := *client
	timer.Timeout = request.Deadline + 500*time.Millisecond
	resp, err := timer.Do(req)
	if err != nil {
		return Reply{Err: err, Kept: kept}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Body: string(body), Header: resp.Header, RetryAfter: resp.Header.Get("Retry-After"), Err: err, Kept: kept}
}
