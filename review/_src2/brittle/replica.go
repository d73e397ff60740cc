package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica serves requests in slots and lets a few wait. While it is brittle it says so in all its answers; from
// contactTime later it lets fewer wait, and it ends when it has to turn more than brittleBound requests away in a
// second.
type replica struct {
	id string
	// fewerFrom is when it begins to let fewer wait, soundFrom when the brittle time ends.
	fewerFrom, soundFrom time.Time

	mu               sync.Mutex
	running, waiting int
	freed            *sync.Cond
	rejected         []time.Time
}

func serveReplica(args []string) {
	began, _ := strconv.ParseInt(args[2], 10, 64)
	brittleFrom := time.UnixMilli(began)
	r := &replica{id: args[0], fewerFrom: brittleFrom.Add(contactTime), soundFrom: brittleFrom.Add(brittleTime)}
	r.freed = sync.NewCond(&r.mu)
	l, err := net.Listen("tcp", args[1])
	if err != nil {
		os.Exit(fellOverNot)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(fellOverNot)
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
		if _, err := io.WriteString(c, r.answer(req)); err != nil {
			return
		}
	}
}

func (r *replica) answer(req *http.Request) string {
	attempt := req.Header.Get("X-Lavenderring-Attempt-Id")
	if expected := req.Header.Get("X-Lavenderring-Expected-Instance"); expected != "" && expected != r.id {
		return r.text("421 Misdirected Request", attempt, "", "")
	}
	if req.Method == http.MethodGet {
		return r.text("200 OK", attempt, "X-Lavenderring-Instance-Id: "+r.id+"\r\n", "{}")
	}
	if !r.enter() {
		return r.text("503 Service Unavailable", attempt, "X-Lavenderring-Not-Executed: 1\r\n", "")
	}
	time.Sleep(workTime)
	r.leave()
	return r.text("200 OK", attempt, "X-Lavenderring-Response-Seal: seal-"+r.id+"\r\n", "done "+attempt)
}

func (r *replica) text(status, attempt, extra, body string) string {
	var b strings.Builder
	r.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", r.running, r.waiting, slots)
	r.mu.Unlock()
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\nX-Lavenderring-Attempt-Id: %s\r\n%sX-Lavenderring-Server-Load: %s\r\n", status, attempt, extra, load)
	if time.Now().Before(r.soundFrom) {
		fmt.Fprintf(&b, "Server-Brittle: %d\r\n", brittleBound)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// enter waits for a slot, and reports false if the request is turned away.
func (r *replica) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	queue := usualQueue
	fewer := now.After(r.fewerFrom) && now.Before(r.soundFrom)
	if fewer {
		queue = brittleQueue
	}
	if r.running >= slots && r.waiting >= queue {
		r.noteRejected(now, fewer)
		return false
	}
	r.waiting++
	for r.running >= slots {
		r.freed.Wait()
	}
	r.waiting--
	r.running++
	return true
}

func (r *replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.freed.Signal()
}

// noteRejected ends the process if too many requests had to be turned away within a second.
func (r *replica) noteRejected(now time.Time, fewer bool) {
	r.rejected = append(r.rejected, now)
	for now.Sub(r.rejected[0]) > time.Second {
		r.rejected = r.rejected[1:]
	}
	if fewer && len(r.rejected) > brittleBound {
		os.Exit(fellOver)
	}
}
