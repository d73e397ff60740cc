// Command part plays a part of prompts that crashes each replica when it has begun to write an answer on it.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/review/_src2/kit"
)

const (
	numReplicas = 6
	numEvents   = 20
	prefillTime = 30 * time.Millisecond
	stepTime    = 15 * time.Millisecond
	// crashAfter is how long after its first event a replica crashes.
	crashAfter  = 10 * time.Millisecond
	backAfter   = 2 * time.Second
	contactTime = 3 * time.Second
	playTime    = 30 * time.Second
	// soundPerSecond and badPerSecond are the requests without and with the bad part.
	soundPerSecond, badPerSecond = 20, 2
	// allowed is how many requests with the bad part may still reach replicas.
	allowed = 3
	crashed = 9
)

func main() {
	if len(os.Args) == 5 && os.Args[1] == "replica" {
		born, _ := strconv.ParseInt(os.Args[4], 10, 64)
		serveReplica(os.Args[2], os.Args[3], born)
	}
	os.Exit(play())
}

// world is what is seen of the replicas.
type world struct {
	f        *kit.Fleet
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
	ends     map[string]int
}

func (w *world) start(id, address string) (*exec.Cmd, error) {
	born := time.Now().UnixMilli()
	cmd := exec.Command(os.Args[0], "replica", id, address, strconv.FormatInt(born, 10))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := w.f.StartWaiting(cmd); err != nil {
		return nil, err
	}
	go w.readArrivals(out)
	if !kit.AwaitListening(address) {
		return nil, fmt.Errorf("%s does not listen", id)
	}
	entry := kit.Entry{Service: "llm", Address: address, Zone: "khi-" + string("abc"[int(id[2]-'0')%3]), Version: "v1", Slots: 64, State: "ready", Seq: 1, Born: born}
	return cmd, w.f.Put("servers/"+id, entry)
}

func (w *world) readArrivals(out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		millis, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			continue
		}
		w.mu.Lock()
		w.arrivals = append(w.arrivals, time.UnixMilli(millis))
		w.mu.Unlock()
		w.f.Logf("%s with the bad part reaches replica %s", fields[2], fields[1])
	}
}

// watch starts the replica again after each crash, until a time.
func (w *world) watch(id, address string, cmd *exec.Cmd, until time.Time) {
	for {
		_ = cmd.Wait()
		if cmd.ProcessState.ExitCode() != crashed {
			return
		}
		w.mu.Lock()
		w.crashes = append(w.crashes, time.Now())
		number := len(w.crashes)
		w.mu.Unlock()
		w.f.Logf("replica %s crashes (crash %d)", id, number)
		time.Sleep(backAfter)
		if !time.Now().Before(until) {
			return
		}
		var err error
		if cmd, err = w.start(id, address); err != nil {
			return
		}
	}
}

func play() int {
	f, err := kit.New()
	if err != nil {
		return kit.CantRun
	}
	defer f.Close()
	if err = f.Put("config/main", kit.Config(1, 100_000_000, kit.Route("ask", "streaming", "llm", 4000, 400, 1, false))); err == nil {
		err = f.StartInstances(3, "")
	}
	if err != nil {
		f.Logf("cannot run: %v", err)
		return kit.CantRun
	}
	w := &world{f: f, ends: map[string]int{}}
	until := time.Now().Add(5*time.Second + playTime)
	for n := range numReplicas {
		id, address := fmt.Sprintf("i-%d", n), kit.FreeAddress()
		cmd, err := w.start(id, address)
		if err != nil {
			return kit.CantRun
		}
		go w.watch(id, address, cmd, until)
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	var clients sync.WaitGroup
	clients.Go(func() { w.sendAll("sound", soundPerSecond, began) })
	if kit.Trouble() {
		time.Sleep(3 * time.Second)
		clients.Go(func() { w.sendAll("bad", badPerSecond, began) })
	}
	clients.Wait()
	time.Sleep(300 * time.Millisecond)
	return w.judge()
}

func (w *world) judge() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.f
	f.Logf("ends: %v", w.ends)
	late := 0
	if len(w.crashes) >= 5 {
		from := w.crashes[4].Add(contactTime)
		for _, at := range w.arrivals {
			if at.After(from) {
				late++
			}
		}
	}
	f.Logf("%d crashes; %d requests with the bad part reached replicas later than %v after the fifth; the rule allows %d", len(w.crashes), late, contactTime, allowed)
	switch {
	case late > allowed:
		return kit.Broken
	case !kit.Trouble() && w.ends["sound 200"] < soundPerSecond*int(playTime/time.Second)*9/10:
		return kit.CantRun
	}
	return kit.Held
}

func (w *world) sendAll(kind string, perSecond int, began time.Time) {
	var pending sync.WaitGroup
	for n := 0; time.Since(began) < playTime; n++ {
		pending.Go(func() {
			end := w.ask(kind, n)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.ends[kind+" "+end]++
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	pending.Wait()
}

func (w *world) ask(kind string, n int) string {
	attempt := fmt.Sprintf("%s-%05d", kind, n)
	req, err := http.NewRequest(http.MethodPost, "http://"+w.f.Instances[n%3].Client+"/ask/x", strings.NewReader("question "+attempt))
	if err != nil {
		return err.Error()
	}
	middle := fmt.Sprintf("5e%02x", n%20)
	if kind == "bad" {
		middle = badPart
	}
	req.Host = kit.Host
	req.Header.Set("Authorization", "Bearer "+kit.Key)
	req.Header.Set("X-Lavenderring-Attempt-Id", attempt)
	req.Header.Set("X-Lavenderring-Deadline-Ms", "4000")
	req.Header.Set("X-Lavenderring-Model", "m")
	req.Header.Set("X-Lavenderring-Token-Count", fmt.Sprintf("826,%d", numEvents*6))
	req.Header.Set("X-Lavenderring-Prompt-Prefix", fmt.Sprintf("c6:119,%s:79,%s%06x:628", middle, map[string]string{"sound": "a", "bad": "b"}[kind], n))
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "connection ended"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken off"
	}
	return strconv.Itoa(resp.StatusCode)
}
