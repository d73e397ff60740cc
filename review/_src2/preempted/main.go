// Command preempted plays sound model replicas of which one preempts a run in the middle of its stream.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/review/_src2/kit"
)

const (
	numReplicas  = 3
	numEvents    = 49
	preemptAfter = 8
	stepTime     = 30 * time.Millisecond
	// promptTokens are read at 56.9 in a millisecond.
	promptTokens = 40000
	prefillTime  = promptTokens * time.Millisecond * 10 / 569
	// preemptTime is the wait for memory and the time to read the prompt in again.
	preemptTime = 1300*time.Millisecond + prefillTime
	// overlapBound is the time that the rule allows.
	overlapBound = 400 * time.Millisecond
	trials       = 9
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
		r, err := startReplica(fmt.Sprintf("i-%d", n), all, kit.Trouble())
		if err != nil {
			return kit.CantRun
		}
		entry := kit.Entry{Service: "llm", Address: r.listener.Addr().String(), Zone: fmt.Sprintf("khi-%c", 'a'+n), Version: "v1", Slots: 64, State: "ready", Seq: 1, Born: r.born}
		if err := f.Put("servers/"+r.id, entry); err != nil {
			return kit.CantRun
		}
	}
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	complete := make([]bool, trials)
	for n := range trials {
		clients.Go(func() { complete[n] = ask(f, n) })
		time.Sleep(400 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(200 * time.Millisecond)
	broken, whole := 0, 0
	for n := range trials {
		if complete[n] {
			whole++
		}
		if goesOnTwice(f, all.of(attemptID(n))) {
			broken++
		}
	}
	f.Logf("%d streams, %d complete, %d that went on at another replica while the replica before worked on them %v later", trials, whole, broken, overlapBound)
	switch {
	case broken > 0:
		return kit.Broken
	case !kit.Trouble() && whole < trials:
		return kit.CantRun
	}
	return kit.Held
}

// goesOnTwice reports whether a run went on with a stream while another one that had begun before still worked on it
// overlapBound later, and the run itself worked on it then too.
func goesOnTwice(f *kit.Fleet, of []run) bool {
	twice := false
	for _, one := range of {
		f.Logf("run of %s at %s, after event %q: %v, %d events, %s", one.attempt, one.replica, one.after, one.ended.Sub(one.began).Round(time.Millisecond), one.events, one.how)
		if one.after == "" {
			continue
		}
		for _, before := range of {
			until := before.ended
			if one.ended.Before(until) {
				until = one.ended
			}
			if overlap := until.Sub(one.began); before.replica != one.replica && before.began.Before(one.began) && overlap > overlapBound {
				f.Logf("TWICE: %s goes on at %s, and %s works on it for another %v", one.attempt, one.replica, before.replica, overlap.Round(time.Millisecond))
				twice = true
			}
		}
	}
	return twice
}

func attemptID(n int) string { return fmt.Sprintf("attempt-%04d", n) }

func ask(f *kit.Fleet, n int) bool {
	attempt := attemptID(n)
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Instances[n%3].Client+"/ask/x", strings.NewReader("question "+attempt))
	if err != nil {
		return false
	}
	req.Host = kit.Host
	req.Header.Set("Authorization", "Bearer "+kit.Key)
	req.Header.Set("X-Lavenderring-Attempt-Id", attempt)
	req.Header.Set("X-Lavenderring-Deadline-Ms", "12000")
	req.Header.Set("X-Lavenderring-Model", "m")
	req.Header.Set("X-Lavenderring-Token-Count", fmt.Sprintf("%d,%d", promptTokens, numEvents*6))
	req.Header.Set("X-Lavenderring-Prompt-Prefix", fmt.Sprintf("%x:%d", 0x1000+n, promptTokens))
	transport := &http.Transport{DisableKeepAlives: true}
	f.Logf("sent %s to %s", attempt, f.Instances[n%3].Name)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		f.Logf("answered %s: %v", attempt, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	events := strings.Count(string(text), "\n\n")
	f.Logf("answered %s: status %d, %d events, error %v", attempt, resp.StatusCode, events, err)
	return resp.StatusCode == http.StatusOK && err == nil && events == numEvents
}
