// Command uploads lets many users come at once whose requests stay within the configured limits, and checks that no
// router process exceeds its memory. It ends a process that does, as the platform does, and starts it again.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lavenderring/lavenderring/pkg/routing"
	"github.com/lavenderring/lavenderring/review/_src/kit"
)

func main() { kit.Run(play) }

const (
	numRouters = 2
	memoryMB   = 284
	// bodyBytes is a little below limits.max_body_bytes of the site, 4,194,304.
	bodyBytes = 4_194_000
	deadline  = 4 * time.Second
	work      = 100 * time.Millisecond
	// usual clients at each router send a request a round; in a burst, 1.7 times as many do.
	usual     = 25
	burst     = 42
	numRounds = 12
	// burstEvery is how often a round is a burst. The rounds between are longer than a restart takes.
	burstEvery   = 4
	roundPause   = 1500 * time.Millisecond
	restartAfter = 300 * time.Millisecond
	pollInterval = 5 * time.Millisecond
	// maxEnds: a process that ends by itself so often on two machines is a fault.
	maxEnds = 3
)

// watch ends a router that exceeds its memory, and starts it again.
type watch struct {
	d      *kit.Deployment
	router *kit.Router
	ends   atomic.Int64
	most   atomic.Int64
}

func (w *watch) run(stop *atomic.Bool) {
	for !stop.Load() {
		time.Sleep(pollInterval)
		mb := w.router.MemoryMB()
		w.most.Store(max(w.most.Load(), mb))
		if mb <= memoryMB {
			continue
		}
		w.ends.Add(1)
		w.d.Record("router %s takes %d MB of %d and is killed", w.router.Name, mb, memoryMB)
		w.router.Signal(syscall.SIGKILL)
		w.router.AwaitEnd(5 * time.Second)
		time.Sleep(restartAfter)
		if err := w.router.Start(); err != nil {
			w.d.Record("router %s does not start: %v", w.router.Name, err)
			return
		}
	}
}

func play(d *kit.Deployment) (bool, error) {
	handle := func(e *kit.Exchange) bool {
		d.RecordQuietly("replica %s runs %s: %d bytes", e.Replica.ID, e.ID, len(e.Body))
		time.Sleep(work)
		return e.Whole(http.StatusOK, "done "+e.ID) == nil
	}
	for n := range 3 {
		if _, err := d.StartReplica(fmt.Sprintf("i-%d", n), "dispatch-app", fmt.Sprintf("zone-%d", n), 64, handle); err != nil {
			return false, err
		}
	}
	config := &routing.Config{
		Version: 1, KeyRequired: true, Limits: kit.Limits(),
		Services: []routing.Service{{Name: "dispatch-app", MaxConnections: 370, HealthPath: "/healthz"}},
		Accounts: []routing.Account{{Name: "crew", Keys: []string{kit.Key}, Priority: -1, PrepaidTokens: -1}},
		Routes: []routing.Route{{
			Name: "assign", Host: kit.Host, Prefix: "/assign/", Kind: routing.Once, Timeout: deadline, Objective: 500 * time.Millisecond,
			MaxAttempts: 1, Targets: []routing.Target{{Service: "dispatch-app", Weight: 1}},
		}},
	}
	if err := d.Configure(config); err != nil {
		return false, err
	}
	var watches []*watch
	var seeds []string
	for n := range numRouters {
		router, err := d.StartRouter(fmt.Sprintf("edge-%d", n), fmt.Sprintf("zone-%d", n), seeds, "")
		if err != nil {
			return false, err
		}
		watches, seeds = append(watches, &watch{d: d, router: router}), append(seeds, router.Peer)
	}
	var stop atomic.Bool
	var watching sync.WaitGroup
	for _, w := range watches {
		watching.Go(func() { w.run(&stop) })
	}
	served, lost := send(d, watches)
	stop.Store(true)
	watching.Wait()
	faulty := 0
	for _, w := range watches {
		d.Record("router %s: %d MB at most, ended %d times", w.router.Name, w.most.Load(), w.ends.Load())
		if w.ends.Load() >= maxEnds {
			faulty++
		}
	}
	d.Record("summary: %d requests served, %d without an answer; processes on %d of %d machines ended %d times or more", served, lost, faulty, numRouters, maxEnds)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return faulty >= 2, nil
}

// send sends the requests round by round.
func send(d *kit.Deployment, watches []*watch) (served, lost int64) {
	var numServed, numLost atomic.Int64
	text := strings.Repeat("x", bodyBytes)
	for round := range numRounds {
		count := usual
		if kit.Trouble() && round%burstEvery == burstEvery-1 {
			count = burst
		}
		d.Record("round %d: %d clients at each router", round, count)
		var clients sync.WaitGroup
		for _, w := range watches {
			for n := range count {
				clients.Go(func() {
					id := fmt.Sprintf("job-%s-%d-%d", w.router.Name, round, n)
					reply := kit.Send(kit.Client(false), w.router, kit.Request{ID: id, Path: "/assign/x", Body: text, Deadline: deadline})
					d.RecordQuietly("client gets for %s: %d %v", id, reply.Status, reply.Err)
					switch {
					case reply.Err != nil:
						numLost.Add(1)
					case reply.Status == http.StatusOK:
						numServed.Add(1)
					}
				})
			}
		}
		clients.Wait()
		time.Sleep(roundPause)
	}
	return numServed.Load(), numLost.Load()
}
