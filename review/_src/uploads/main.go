// Command uploads lets many users come at once whose requests stay within the configured limits, and checks that
// requests of kept connections that were passed on to a replica are answered. It ends a router process that exceeds its
// memory, as the platform does, and starts it again.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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
	// bodyBytes is a little below limits.max_body_bytes of the site, 4,194,304. A client takes upload to send a body: all
	// of a burst take a fifth of a router's link of 1,000 Mbit/s.
	bodyBytes = 4_194_000
	upload    = 5 * time.Second
	deadline  = 12 * time.Second
	work      = 1500 * time.Millisecond
	// usual clients send requests to each router, one after the other. For burstTime, 1.7 times as many do.
	usual       = 22
	burst       = 37
	clientPause = 200 * time.Millisecond
	burstAt     = 12 * time.Second
	burstTime   = 3 * time.Second
	endAt       = 24 * time.Second

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
	l := &load{d: d, ran: &ran, began: time.Now()}
	l.run(watches)
	served := l.served.Load()
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

// load is the clients' work.
type load struct {
	d      *kit.Deployment
	ran    *sync.Map
	began  time.Time
	served atomic.Int64
}

// run lets all clients send until endAt.
func (l *load) run(watches []*watch) {
	var clients sync.WaitGroup
	for _, w := range watches {
		for n := range burst {
			clients.Go(func() { l.client(w, n) })
		}
	}
	clients.Wait()
}

// client sends requests over one connection. The first is small, and so is each that a client of the burst sends
// before it, to keep its connection.
func (l *load) client(w *watch, n int) {
	time.Sleep(rand.N(upload)) // clients don't send in step
	for count := 0; time.Since(l.began) < endAt; count++ {
		large := count > 0 && (n < usual || l.inBurst())
		if n >= usual && time.Since(l.began) > burstAt+burstTime {
			return
		}
		l.send(w, n, fmt.Sprintf("job-%s-%d-%d", w.router.Name, n, count), large)
		time.Sleep(clientPause)
	}
}

func (l *load) inBurst() bool {
	passed := time.Since(l.began)
	return kit.Trouble() && passed >= burstAt && passed < burstAt+burstTime
}

// send sends one request and judges its end.
func (l *load) send(w *watch, n int, id string, large bool) {
	request := kit.Request{ID: id, Path: "/assign/x", Body: "x", Deadline: deadline}
	if large {
		request.Body, request.Upload = largeBody, upload
	}
	reply := kit.Send(w.clients[n], w.router, request)
	l.d.RecordQuietly("client gets for %s (%d bytes): %d %v (kept connection: %v)", id, len(request.Body), reply.Status, reply.Err, reply.Kept)
	if reply.Status == http.StatusOK && reply.Err == nil {
		l.served.Add(1)
	}
	if _, passedOn := l.ran.Load(id); passedOn && reply.Err != nil && !errors.Is(reply.Err, context.DeadlineExceeded) && reply.Kept {
		w.lost.Add(1)
		l.d.RecordQuietly("LOST: %s ran and its connection ended without an answer", id)
	}
}

var largeBody = strings.Repeat("x", bodyBytes)
