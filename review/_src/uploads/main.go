// Command uploads lets many users come at once whose requests stay within the configured limits, and checks that
// requests of kept connections that were passed on to a replica are answered. It ends a router process that exceeds its
// memory, as the platform does, and starts it again.
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
	// usual clients at each router send a request a round; once, in burstRound, 1.7 times as many do. All of them have
	// their connections from the round openRound, in which they send a small request each.
	usual      = 25
	burst      = 42
	numRounds  = 8
	openRound  = 3
	burstRound = 4

	roundPause   = 1500 * time.Millisecond
	restartAfter = 300 * time.Millisecond
	pollInterval = 5 * time.Millisecond
	// maxLost is how many requests of kept connections may be passed on and get no answer.
	maxLost = 3
)

// watch ends a router that exceeds its memory, and starts it again.
type watch struct {
	d      *kit.Deployment
	router *kit.Router
	ends   atomic.Int64
	most   atomic.Int64
	// lost counts the requests of kept connections that ran and whose connection ended without an answer.
	lost    atomic.Int64
	clients []*http.Client
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
	var ran sync.Map
	handle := func(e *kit.Exchange) bool {
		ran.Store(e.ID, true)
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
		w := &watch{d: d, router: router}
		for range burst {
			w.clients = append(w.clients, kit.Client(true))
		}
		watches, seeds = append(watches, w), append(seeds, router.Peer)
	}
	var stop atomic.Bool
	var watching sync.WaitGroup
	for _, w := range watches {
		watching.Go(func() { w.run(&stop) })
	}
	served := send(d, watches, &ran)
	stop.Store(true)
	watching.Wait()
	broken := false
	for _, w := range watches {
		d.Record("summary: router %s took %d MB at most and ended %d times; %d requests of kept connections ran and got no answer; more than %d break the rule",
			w.router.Name, w.most.Load(), w.ends.Load(), w.lost.Load(), maxLost)
		broken = broken || w.lost.Load() > maxLost
	}
	d.Record("%d requests served", served)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return broken, nil
}

// send sends the requests round by round, and returns how many were served.
func send(d *kit.Deployment, watches []*watch, ran *sync.Map) int64 {
	var served atomic.Int64
	large := strings.Repeat("x", bodyBytes)
	for round := range numRounds {
		count, text := usual, large
		switch {
		case round == openRound:
			count, text = burst, "x"
		case round == burstRound && kit.Trouble():
			count = burst
		}
		d.Record("round %d: %d clients at each router send %d bytes each", round, count, len(text))
		var clients sync.WaitGroup
		for _, w := range watches {
			for n := range count {
				clients.Go(func() {
					id := fmt.Sprintf("job-%s-%d-%d", w.router.Name, round, n)
					request := kit.Request{ID: id, Path: "/assign/x", Body: text, Deadline: deadline}
					reply := kit.Send(w.clients[n], w.router, request)
					d.RecordQuietly("client gets for %s: %d %v (kept connection: %v)", id, reply.Status, reply.Err, reply.Kept)
					if reply.Status == http.StatusOK && reply.Err == nil {
						served.Add(1)
					}
					if _, passedOn := ran.Load(id); passedOn && reply.Err != nil && reply.Kept {
						w.lost.Add(1)
						d.RecordQuietly("LOST: %s ran and its connection ended without an answer", id)
					}
				})
			}
		}
		clients.Wait()
		time.Sleep(roundPause)
	}
	return served.Load()
}
