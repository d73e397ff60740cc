// Command late_extra plays a replica whose extra answers to earlier requests arrive late, and checks that a
// request that may run once is not called "not run" after it has run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderring/lavenderring/pkg/routing"
	"github.com/lavenderring/lavenderring/review/_src/kit"
)

func main() { kit.Run(play) }

const (
	numRequests = 900
	numClients  = 4
	// One of three replicas is faulty (at most 0.6 of them), and sends an extra answer after one in 34 of its answers
	// (at most 0.03).
	extraEvery    = 34
	faultyReplica = "i-0"
	deadline      = time.Second
	work          = 15 * time.Millisecond
)

// maxAttempts is the route's; ATTEMPTS=1 plays the route with a single one.
func maxAttempts() int {
	if os.Getenv("ATTEMPTS") == "1" {
		return 1
	}
	return 2
}

// runs counts the runs of each client attempt.
type runs struct {
	mu   sync.Mutex
	byID map[string][]string
}

func (r *runs) add(id, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], replica)
}

func (r *runs) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

func play(d *kit.Deployment) (bool, error) {
	ran := &runs{byID: map[string][]string{}}
	var answers atomic.Int64
	handle := func(e *kit.Exchange) bool {
		// An extra answer to the request before arrives where the next answer is expected. It bears the id of the
		// request that it answers.
		before := e.State["before"]
		delete(e.State, "before")
		if before != "" {
			extra := *e
			extra.ID = before
			d.RecordQuietly("replica %s sends an extra answer to %s (503, not executed)", e.Replica.ID, before)
			if extra.NotExecuted(http.StatusServiceUnavailable) != nil {
				return false
			}
		}
		ran.add(e.ID, e.Replica.ID)
		d.RecordQuietly("replica %s runs %s", e.Replica.ID, e.ID)
		time.Sleep(work)
		if kit.Trouble() && e.Replica.ID == faultyReplica && answers.Add(1)%extraEvery == 0 {
			e.State["before"] = e.ID
		}
		return e.Whole(http.StatusOK, "done "+e.ID) == nil
	}
	for n := range 3 {
		if _, err := d.StartReplica(fmt.Sprintf("i-%d", n), "dispatch-app", fmt.Sprintf("zone-%d", n), 6, handle); err != nil {
			return false, err
		}
	}
	config := &routing.Config{
		Version: 1, KeyRequired: true, Limits: kit.Limits(),
		Services: []routing.Service{{Name: "dispatch-app", MaxConnections: 110, HealthPath: "/healthz"}},
		Accounts: []routing.Account{{Name: "crew", Keys: []string{kit.Key}, Priority: -1, PrepaidTokens: -1}},
		Routes: []routing.Route{{
			Name: "assign", Host: kit.Host, Prefix: "/assign/", Kind: routing.Once, Timeout: deadline, Objective: 100 * time.Millisecond,
			MaxAttempts: maxAttempts(), Targets: []routing.Target{{Service: "dispatch-app", Weight: 1}},
		}},
	}
	if err := d.Configure(config); err != nil {
		return false, err
	}
	router, err := d.StartRouter("edge-1", "zone-0", nil, "")
	if err != nil {
		return false, err
	}
	return send(d, router, ran)
}

// send sends the requests over kept connections and judges each.
func send(d *kit.Deployment, router *kit.Router, ran *runs) (broken bool, err error) {
	replies := make([]kit.Reply, numRequests)
	var clients sync.WaitGroup
	for first := range numClients {
		clients.Go(func() {
			client := kit.Client(true)
			for n := first; n < numRequests; n += numClients {
				id := fmt.Sprintf("job-%03d", n)
				d.RecordQuietly("client sends %s", id)
				replies[n] = kit.Send(client, router, kit.Request{ID: id, Path: "/assign/x", Body: "two vans", Deadline: deadline})
				d.RecordQuietly("client gets for %s: %d %s %v", id, replies[n].Status, replies[n].Body, replies[n].Err)
			}
		})
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond) // runs that are under way are recorded
	served, twice, refused := 0, 0, 0
	for n := range numRequests {
		id := fmt.Sprintf("job-%03d", n)
		reply, at := replies[n], ran.of(id)
		if reply.Status == http.StatusOK {
			served++
		}
		if len(at) > 1 {
			twice++
			d.Record("TWICE: %s, which may run once, ran at %v", id, at)
		}
		notRun := reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests ||
			reply.Status == http.StatusRequestTimeout || reply.Status == http.StatusMisdirectedRequest
		if notRun && len(at) > 0 {
			refused++
			d.Record("REFUSED: %s was answered %d and ran at %v", id, reply.Status, at)
		}
	}
	d.Record("summary: %d requests, %d served, %d ran twice, %d refused as not run that ran", numRequests, served, twice, refused)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return twice+refused > 0, nil
}
