// Command early plays replicas that answer a long request before they have read it, without a length, and crash
// in the middle of the answer.
package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/lavenderring/lavenderring/review/_src2/kit"
)

const (
	bodyBytes   = 1 << 20
	answerParts = 8
	trials      = 12
	// numReplicas bounds what a crash takes: one of them, 17 in 100.
	numReplicas = 6
	// killAfter is how long after a request has reached a replica the replica is killed, backAfter how long after that
	// it is back, betweenTrials how long it then serves before the next request.
	killAfter, backAfter, betweenTrials = 300 * time.Millisecond, time.Second, 700 * time.Millisecond
)

func answerPart(id string, n int) string { return fmt.Sprintf("part %d of the answer to %s\n", n, id) }

func wholeAnswer(id string) string {
	var b strings.Builder
	for n := range answerParts {
		b.WriteString(answerPart(id, n))
	}
	return b.String()
}

// replica answers each request after it has read its head: half of the answer at once, the rest after half a
// second, while it reads on. Its answers end with their connections.
func replica(id, address string) {
	// Segments are as large as on an Ethernet, where the other end's send buffer is a small part of a long body.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460) })
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		os.Exit(2)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(2)
		}
		go serve(c, id)
	}
}

func serve(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, 4<<10)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	attempt := req.Header.Get("X-Lavenderring-Attempt-Id")
	if expected := req.Header.Get("X-Lavenderring-Expected-Instance"); expected != "" && expected != id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Lavenderring-Attempt-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
		return
	}
	if req.Method == http.MethodGet {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Lavenderring-Instance-Id: %s\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", id)
		return
	}
	fmt.Printf("%s\n", attempt) // one write, read by the driver
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Lavenderring-Attempt-Id: %s\r\nX-Lavenderring-Response-Seal: seal-%s\r\n\r\n", attempt, id)
	for n := range answerParts / 2 {
		_, _ = io.WriteString(c, answerPart(attempt, n))
	}
	time.Sleep(500 * time.Millisecond)
	for n := answerParts / 2; n < answerParts; n++ {
		_, _ = io.WriteString(c, answerPart(attempt, n))
	}
	_, _ = io.Copy(io.Discard, req.Body)
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "replica" {
		replica(os.Args[2], os.Args[3])
	}
	os.Exit(run())
}

// server is a replica with its restarts.
type server struct {
	f           *kit.Fleet
	id, address string
	cmd         *exec.Cmd
}

func (s *server) start(arrivals chan<- *server) error {
	cmd := exec.Command(os.Args[0], "replica", s.id, s.address)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.f.StartWaiting(cmd); err != nil {
		return err
	}
	s.cmd = cmd
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			s.f.Logf("%s reaches replica %s", lines.Text(), s.id)
			arrivals <- s
		}
	}()
	if !kit.AwaitListening(s.address) {
		return fmt.Errorf("%s does not listen", s.id)
	}
	entry := kit.Entry{Service: "app", Address: s.address, Zone: "khi-" + string("abc"[int(s.id[2]-'0')%3]), Version: "v1", Slots: 6, State: "ready", Seq: 1, Born: time.Now().UnixMilli()}
	return s.f.Put("servers/"+s.id, entry)
}

// crash kills the replica and starts it again.
func (s *server) crash(arrivals chan<- *server) error {
	s.f.Logf("replica %s is killed", s.id)
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait()
	time.Sleep(backAfter)
	return s.start(arrivals)
}

func run() int {
	f, err := kit.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return kit.CantRun
	}
	defer f.Close()
	err = f.Put("config/main", kit.Config(1, -1, kit.Route("job", "unsafe", "app", 3000, 400, 1, false)))
	if err == nil {
		err = f.StartInstances(3, "")
	}
	arrivals := make(chan *server, 2*trials)
	for n := 0; n < numReplicas && err == nil; n++ {
		err = (&server{f: f, id: fmt.Sprintf("i-%d", n), address: kit.FreeAddress()}).start(arrivals)
	}
	if err != nil {
		f.Logf("cannot run: %v", err)
		return kit.CantRun
	}
	time.Sleep(time.Second)
	broken, complete := 0, 0
	for n := range trials {
		attempt := fmt.Sprintf("attempt-%04d", n)
		ended, crashed := make(chan struct{}), make(chan error, 1)
		go func() {
			select {
			case s := <-arrivals:
				if !kit.Trouble() {
					break
				}
				time.Sleep(killAfter)
				crashed <- s.crash(arrivals)
				return
			case <-ended:
			}
			crashed <- nil
		}()
		f.Logf("sent %s to %s: %d bytes", attempt, f.Instances[n%3].Name, bodyBytes)
		status, body, seal, err := send(f.Instances[n%3].Client, attempt)
		f.Logf("answered %s: status %d, seal %q, %d of %d bytes, error %v", attempt, status, seal, len(body), len(wholeAnswer(attempt)), err)
		if status == 200 && err == nil {
			if body == wholeAnswer(attempt) {
				complete++
			} else {
				broken++
				f.Logf("MIXED: %s got a success with %d of the %d bytes of its answer", attempt, len(body), len(wholeAnswer(attempt)))
			}
		}
		close(ended)
		if err := <-crashed; err != nil {
			f.Logf("cannot run: %v", err)
			return kit.CantRun
		}
		time.Sleep(betweenTrials)
	}
	f.Logf("%d requests, %d whole successes, %d successes that were cut", trials, complete, broken)
	if broken > 0 {
		return kit.Broken
	}
	if !kit.Trouble() && complete < trials {
		return kit.CantRun
	}
	return kit.Held
}

func send(address, attempt string) (status int, body, seal string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/job/x", bytes.NewReader(bytes.Repeat([]byte(attempt), bodyBytes/len(attempt))))
	if err != nil {
		return 0, "", "", err
	}
	req.Host = kit.Host
	req.Header.Set("Authorization", "Bearer "+kit.Key)
	req.Header.Set("X-Lavenderring-Attempt-Id", attempt)
	req.Header.Set("X-Lavenderring-Deadline-Ms", "3000")
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), resp.Header.Get("X-Lavenderring-Response-Seal"), err
}
