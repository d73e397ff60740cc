// Command readon plays replicas that answer a long request before they have read it, keep the connection and read on
// later.
package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/lavenderring/lavenderring/review/_src2/kit"
)

const (
	bodyBytes   = 1 << 20
	numReplicas = 3
	trials      = 12
	// readOnAfter is how long after its answer a replica reads on.
	readOnAfter = 200 * time.Millisecond
)

// received is what a replica got of one request.
type received struct {
	replica string
	bytes   int
	same    bool
	err     error
}

type record struct {
	mu       sync.Mutex
	received map[string][]received
}

func (r *record) add(attempt string, got received) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received[attempt] = append(r.received[attempt], got)
}

func bodyOf(attempt string) []byte { return bytes.Repeat([]byte(attempt), bodyBytes/len(attempt)) }

func listen() (net.Listener, error) {
	// Segments are as large as on an Ethernet, where the other end's send buffer is a small part of a long body.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460) })
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// serve answers each request: with trouble before it reads the body, otherwise after it.
func serve(c net.Conn, id string, r *record) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReaderSize(c, 4<<10)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt := req.Header.Get("X-Lavenderring-Attempt-Id")
		if expected := req.Header.Get("X-Lavenderring-Expected-Instance"); expected != "" && expected != id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Lavenderring-Attempt-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
			return
		}
		body := "accepted " + attempt
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Lavenderring-Attempt-Id: %s\r\nX-Lavenderring-Response-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", attempt, id, len(body), body)
		if kit.Trouble() {
			_, _ = io.WriteString(c, answer)
			time.Sleep(readOnAfter)
		}
		sum := sha256.New()
		n, err := io.Copy(sum, req.Body)
		want := sha256.Sum256(bodyOf(attempt))
		r.add(attempt, received{replica: id, bytes: int(n), same: bytes.Equal(sum.Sum(nil), want[:]), err: err})
		if err != nil {
			return
		}
		if !kit.Trouble() {
			_, _ = io.WriteString(c, answer)
		}
	}
}

func main() { os.Exit(run()) }

func run() int {
	f, err := kit.New()
	if err != nil {
		return kit.CantRun
	}
	defer f.Close()
	if err = f.Put("config/main", kit.Config(1, -1, kit.Route("job", "unsafe", "app", 3000, 400, 1, false))); err == nil {
		err = f.StartInstances(3, "")
	}
	if err != nil {
		f.Logf("cannot run: %v", err)
		return kit.CantRun
	}
	r := &record{received: map[string][]received{}}
	for n := range numReplicas {
		l, err := listen()
		if err != nil {
			return kit.CantRun
		}
		id := fmt.Sprintf("i-%d", n)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serve(c, id, r)
			}
		}()
		entry := kit.Entry{Service: "app", Address: l.Addr().String(), Zone: fmt.Sprintf("khi-%c", 'a'+n), Version: "v1", Slots: 6, State: "ready", Seq: 1, Born: time.Now().UnixMilli()}
		if err := f.Put("servers/"+id, entry); err != nil {
			return kit.CantRun
		}
	}
	time.Sleep(time.Second)
	successes, broken := 0, 0
	for n := range trials {
		attempt := fmt.Sprintf("attempt-%04d", n)
		f.Logf("sent %s to %s: %d bytes", attempt, f.Instances[n%3].Name, len(bodyOf(attempt)))
		status, body, err := send(f.Instances[n%3].Client, attempt)
		f.Logf("answered %s: status %d, %q, error %v", attempt, status, body, err)
		time.Sleep(3 * readOnAfter)
		r.mu.Lock()
		got := r.received[attempt]
		r.mu.Unlock()
		for _, one := range got {
			f.Logf("run of %s at %s: %d of %d bytes of the body arrived, the same %t, error %v", attempt, one.replica, one.bytes, len(bodyOf(attempt)), one.same, one.err)
		}
		if status == http.StatusOK && err == nil {
			successes++
			if len(got) != 1 || !got[0].same {
				broken++
				f.Logf("UNASKED: %s was answered with success, and its replica did not get its body", attempt)
			}
		}
	}
	f.Logf("%d requests, %d successes, %d of them whose body was cut on the way to the replica", trials, successes, broken)
	switch {
	case broken > 0:
		return kit.Broken
	case !kit.Trouble() && successes < trials:
		return kit.CantRun
	}
	return kit.Held
}

func send(address, attempt string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/job/x", bytes.NewReader(bodyOf(attempt)))
	if err != nil {
		return 0, "", err
	}
	req.Host = kit.Host
	req.Header.Set("Authorization", "Bearer "+kit.Key)
	req.Header.Set("X-Lavenderring-Attempt-Id", attempt)
	req.Header.Set("X-Lavenderring-Deadline-Ms", "3000")
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}
