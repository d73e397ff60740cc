// Command takeup kills all instances at the same moment, and has clients take their streams up again later.
package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lavenderring/lavenderring/review/_src2/kit"
)

const (
	numReplicas  = 3
	numStreams   = 30
	numNew       = 30
	numEvents    = 49
	stepTime     = 60 * time.Millisecond
	prefillTime  = 20 * time.Millisecond
	promptTokens = 826
	// killAt is when the instances are killed, after the first stream has begun; restartAfter is how long after that
	// they start again.
	killAt       = 1500 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	// takeUpAfter is how long after the loss of its connection a client takes its stream up: by then the instances
	// have run for longer than contactTime.
	takeUpAfter = 5 * time.Second
	contactTime = 3 * time.Second
	deadline    = 12 * time.Second
)

func main() { os.Exit(play()) }

func play() int {
	f, err := kit.New()
	if err != nil {
		return kit.CantRun
	}
	defer f.Close()
	if err = f.Put("config/main", kit.Config(1, 100_000_000, kit.Route("ask", "streaming", "llm", 12000, 400, 2, true))); err == nil {
		err = f.StartInstances(3, "")
	}
	if err != nil {
		f.Logf("cannot run: %v", err)
		return kit.CantRun
	}
	all := &runs{}
	for n := range numReplicas {
		r, err := startReplica(fmt.Sprintf("i-%d", n), all)
		if err != nil {
			return kit.CantRun
		}
		entry := kit.Entry{Service: "llm", Address: r.listener.Addr().String(), Zone: fmt.Sprintf("khi-%c", 'a'+n), Version: "v1", Slots: 64, State: "ready", Seq: 1, Born: r.born}
		if err := f.Put("servers/"+r.id, entry); err != nil {
			return kit.CantRun
		}
	}
	time.Sleep(3 * time.Second)

	began := time.Now()
	killed := began.Add(killAt)
	broken := make([]stream, numStreams)
	var clients sync.WaitGroup
	for n := range numStreams {
		clients.Go(func() { broken[n] = begin(f, n, killed) })
	}
	time.Sleep(time.Until(killed))
	if kit.Trouble() {
		for _, i := range f.Instances {
			_ = i.Cmd.Process.Signal(syscall.SIGKILL)
		}
		f.Logf("all %d instances are killed", len(f.Instances))
	}
	clients.Wait()
	started := time.Now()
	if kit.Trouble() {
		time.Sleep(time.Until(killed.Add(restartAfter)))
		started = time.Now()
		for _, i := range f.Instances {
			if err := f.StartInstance(i); err != nil {
				return kit.CantRun
			}
		}
		f.Logf("all instances are started again")
		for _, i := range f.Instances {
			if !f.AwaitReady(i, time.Second) {
				f.Logf("%s is not ready a second after its start", i.Name)
			}
		}
	}
	time.Sleep(time.Until(killed.Add(takeUpAfter)))
	f.Logf("the instances have run for %v; the clients take their streams up", time.Since(started).Round(time.Millisecond))

	takenUp, wentOn, newBegun := 0, 0, 0
	var mu sync.Mutex
	for n := range broken {
		if broken[n].events == 0 || broken[n].complete {
			continue
		}
		takenUp++
		clients.Go(func() {
			if takeUp(f, n, broken[n]) {
				mu.Lock()
				wentOn++
				mu.Unlock()
			}
		})
	}
	for n := range numNew {
		clients.Go(func() {
			one := ask(f, fmt.Sprintf("new-%04d", n), n, "", 0, time.Time{})
			f.Logf("new stream new-%04d: status %d, %d events", n, one.status, one.events)
			if one.events > 0 {
				mu.Lock()
				newBegun++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	f.Logf("%d streams taken up, %d went on; %d new streams, %d begun; the rule needs a share of %.2f that goes on", takenUp, wentOn, numNew, newBegun, float64(newBegun)/numNew/2)
	share, newShare := float64(wentOn)/float64(max(takenUp, 1)), float64(newBegun)/numNew
	switch {
	case takenUp < 12 || time.Since(started) < contactTime:
		return kit.CantRun
	case share < newShare/2:
		return kit.Broken
	}
	return kit.Held
}

// stream is what a client got of a stream.
type stream struct {
	status, events int
	lastID         string
	complete       bool
	retryAfter     string
}

// begin asks for a stream, which its client loses: by the end of the instance, or else by that of its own connection.
func begin(f *kit.Fleet, n int, until time.Time) stream {
	one := ask(f, fmt.Sprintf("first-%04d", n), n, "", 0, until)
	f.Logf("stream first-%04d: status %d, %d events, last id %q, then its connection ends", n, one.status, one.events, one.lastID)
	return one
}

// takeUp takes a stream up, and comes back once more if the client is told to.
func takeUp(f *kit.Fleet, n int, lost stream) bool {
	for try := range 2 {
		attempt := fmt.Sprintf("again-%04d-%d", n, try)
		one := ask(f, attempt, n+1, fmt.Sprintf("first-%04d", n), lost.events, time.Time{})
		f.Logf("taken up as %s after event %d: status %d, Retry-After %q, %d events, complete %t", attempt, lost.events, one.status, one.retryAfter, one.events, one.complete)
		if one.events > 0 {
			return true
		}
		seconds, err := strconv.ParseFloat(one.retryAfter, 64)
		if err != nil {
			return false
		}
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
	return false
}

// ask sends a request and reads its stream, until a time if that is set.
func ask(f *kit.Fleet, attempt string, at int, resumes string, after int, until time.Time) (one stream) {
	question := attempt
	if resumes != "" {
		question = resumes
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Instances[at%len(f.Instances)].Client+"/ask/x", strings.NewReader("question "+question))
	if err != nil {
		return one
	}
	left := deadline
	if resumes != "" {
		left = deadline - killAt - takeUpAfter
		req.Header.Set("Resumes", resumes)
		req.Header.Set("Last-Event-Id", strconv.Itoa(after))
	}
	req.Host = kit.Host
	req.Header.Set("Authorization", "Bearer "+kit.Key)
	req.Header.Set("X-Lavenderring-Attempt-Id", attempt)
	req.Header.Set("X-Lavenderring-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set("X-Lavenderring-Model", "m")
	req.Header.Set("X-Lavenderring-Token-Count", fmt.Sprintf("%d,%d", promptTokens, numEvents*6))
	req.Header.Set("X-Lavenderring-Prompt-Prefix", fmt.Sprintf("c6:198,%x:628", 0x1000+at))
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return one
	}
	defer func() { _ = resp.Body.Close() }()
	if !until.IsZero() {
		timer := time.AfterFunc(time.Until(until), func() { _ = resp.Body.Close() })
		defer timer.Stop()
	}
	one.status, one.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	if resp.StatusCode != http.StatusOK {
		return one
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			one.lastID = id
		}
		if lines.Text() == "" {
			one.events++
		}
	}
	one.complete = lines.Err() == nil && one.lastID == strconv.Itoa(numEvents)
	return one
}
