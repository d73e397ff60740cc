package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a replica's work on one request.
type run struct {
	replica, attempt, after string
	began, ended            time.Time
	events                  int
	// how says how the run ended.
	how string
}

// runs holds the runs of all replicas.
type runs struct {
	mu  sync.Mutex
	all []*run
}

func (r *runs) begin(replica, attempt, after string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	started := &run{replica: replica, attempt: attempt, after: after, began: time.Now()}
	r.all = append(r.all, started)
	return started
}

func (r *runs) end(ended *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended.ended, ended.how = time.Now(), how
}

// replica answers with streams. It stops its work when its caller closes the connection.
type replica struct {
	id       string
	born     int64
	runs     *runs
	listener net.Listener
}

func startReplica(id string, r *runs) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &replica{id: id, born: time.Now().UnixMilli(), runs: r, listener: l}
	go started.accept()
	return started, nil
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *replica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		attempt := req.Header.Get("X-Lavenderring-Attempt-Id")
		if expected := req.Header.Get("X-Lavenderring-Expected-Instance"); expected != "" && expected != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Lavenderring-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt)
			continue
		}
		if req.Method == http.MethodGet {
			r.describe(c, attempt)
			continue
		}
		if !r.stream(c, reader, attempt, req.Header.Get("Last-Event-Id")) {
			return
		}
	}
}

func (r *replica) describe(c net.Conn, attempt string) {
	body := fmt.Sprintf(`{"phase":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"active":1,"kv_used":1000,"kv_total":350683,"kv_handles":0,"born":%d}`, r.born)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Lavenderring-Attempt-Id: %s\r\nX-Lavenderring-Instance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", attempt, r.id, len(body), body)
}

// stream answers a request, and reports false if its caller is gone.
func (r *replica) stream(c net.Conn, reader *bufio.Reader, attempt, after string) bool {
	one := r.runs.begin(r.id, attempt, after)
	gone := watch(c, reader)
	defer gone.stop()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Lavenderring-Attempt-Id: %s\r\nX-Lavenderring-Response-Seal: seal-%s\r\nX-Lavenderring-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, r.id)
	if !gone.wait(prefillTime) {
		r.runs.end(one, "the caller closed the connection")
		return false
	}
	first, _ := strconv.Atoi(strings.TrimSpace(after))
	for n := first + 1; n <= numEvents; n++ {
		if !gone.wait(stepTime) {
			r.runs.end(one, "the caller closed the connection")
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, attempt)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		one.events++
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	r.runs.end(one, "complete")
	return true
}

// watched tells whether the caller has closed its connection.
type watched struct {
	conn net.Conn
	left chan struct{}
	done chan struct{}
}

func watch(c net.Conn, reader *bufio.Reader) *watched {
	w := &watched{conn: c, left: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		if _, err := reader.Peek(1); err != nil {
			if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
				close(w.left)
			}
		}
	}()
	return w
}

func (w *watched) wait(d time.Duration) bool {
	select {
	case <-w.left:
		return false
	case <-time.After(d):
		return true
	}
}

func (w *watched) stop() {
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{})
}
