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
