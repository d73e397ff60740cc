// Command brittle plays replicas that say that they are brittle while more users come than they can serve, and counts
// how often they fall over.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderring/lavenderring/pkg/routing"
	"github.com/lavenderring/lavenderring/review/_src/kit"
)

func main() { kit.Run(play) }

const (
	numReplicas = 3
	slots       = 6
	work        = 60 * time.Millisecond
	queue       = 24 // as many wait at a sound replica
	deadline    = time.Second

	// The replicas say "Server-Brittle: maxRejected" from troubleAt on. From contact later they let brittleQueue wait,
	// and fall over when they have rejected more than maxRejected in a second; they are back after downTime.
	maxRejected  = 5
	brittleQueue = 6
	downTime     = 3 * time.Second
	contact      = 3 * time.Second
	troubleAt    = 5 * time.Second
	endAt        = 25 * time.Second

	// usualRate is three quarters of the 300 requests that the replicas serve in a second. Once, for burstTime, burst times as many requests come.
	usualRate = 225
	burst     = 1.7
	burstAt   = 9 * time.Second
	burstTime = 3 * time.Second
)

// service is the replicas' common state.
type service struct {
	d           *kit.Deployment
	began       time.Time
	falls, runs atomic.Int64
}

func (s *service) brittle() bool { return kit.Trouble() && time.Since(s.began) >= troubleAt }

// brittleFor says that the replicas have said so for long enough to let fewer wait.
func (s *service) brittleFor() bool { return kit.Trouble() && time.Since(s.began) >= troubleAt+contact }

// replica is one replica's queue.
type replica struct {
	s    *service
	self *kit.Replica

	mu               sync.Mutex
	running, waiting int
	free             *sync.Cond
	rejected         []time.Time
	down             bool
}

func newReplica(s *service) *replica {
	r := &replica{s: s}
	r.free = sync.NewCond(&r.mu)
	return r
}

// admit waits for a slot; false if the request is rejected.
func (r *replica) admit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := queue
	if r.s.brittleFor() {
		limit = brittleQueue
	}
	if r.running >= slots {
		if r.waiting >= limit {
			r.reject()
			return false
		}
		r.waiting++
		for r.running >= slots {
			r.free.Wait()
		}
		r.waiting--
	}
	r.running++
	return true
}

// reject counts a rejection; too many in a second make the replica fall over.
func (r *replica) reject() {
	now := time.Now()
	r.rejected = append(r.rejected, now)
	for now.Sub(r.rejected[0]) > time.Second {
		r.rejected = r.rejected[1:]
	}
	if !r.s.brittleFor() || len(r.rejected) <= maxRejected || r.down {
		return
	}
	r.down = true
	r.s.falls.Add(1)
	r.s.d.Record("replica %s falls over: %d rejected in a second, %d running, %d waiting", r.self.ID, len(r.rejected), r.running, r.waiting)
	go r.fall()
}

func (r *replica) fall() {
	r.self.Fall()
	time.Sleep(downTime)
	if time.Since(r.s.began) >= endAt {
		return
	}
	r.mu.Lock()
	r.rejected, r.down = nil, false
	r.mu.Unlock()
	if err := r.self.Rise(); err != nil {
		r.s.d.Record("replica %s does not start again: %v", r.self.ID, err)
	}
	r.s.d.Record("replica %s is back", r.self.ID)
}

func (r *replica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.free.Signal()
}

// headers returns the header lines of all answers.
func (r *replica) headers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := []string{fmt.Sprintf("%s: %d,%d,%d", kit.Names.Load, r.running, r.waiting, slots)}
	if r.s.brittle() {
		lines = append(lines, fmt.Sprintf("Server-Brittle: %d", maxRejected))
	}
	return lines
}

func (r *replica) handle(e *kit.Exchange) bool {
	if !r.admit() {
		return e.NotExecuted(http.StatusServiceUnavailable, r.headers()...) == nil
	}
	r.s.d.RecordQuietly("replica %s runs %s", e.Replica.ID, e.ID)
	r.s.runs.Add(1)
	time.Sleep(work)
	r.release()
	return e.Whole(http.StatusOK, "done "+e.ID, r.headers()...) == nil
}

func play(d *kit.Deployment) (bool, error) {
	s := &service{d: d}
	s.began = time.Now()
	for n := range numReplicas {
		r := newReplica(s)
		self, err := d.StartReplica(fmt.Sprintf("i-%d", n), "dispatch-app", fmt.Sprintf("zone-%d", n), slots, r.handle)
		if err != nil {
			return false, err
		}
		r.self = self
	}
	config := &routing.Config{
		Version: 1, KeyRequired: true, Limits: kit.Limits(),
		Services: []routing.Service{{Name: "dispatch-app", MaxConnections: 110, HealthPath: "/healthz"}},
		Accounts: []routing.Account{{Name: "crew", Keys: []string{kit.Key}, Priority: -1, PrepaidTokens: -1}},
		Routes: []routing.Route{{
			Name: "assign", Host: kit.Host, Prefix: "/assign/", Kind: routing.Once, Timeout: deadline, Objective: 100 * time.Millisecond,
			MaxAttempts: 1, Targets: []routing.Target{{Service: "dispatch-app", Weight: 1}},
		}},
	}
	if err := d.Configure(config); err != nil {
		return false, err
	}
	first, err := d.StartRouter("edge-1", "zone-0", nil, "")
	if err != nil {
		return false, err
	}
	second, err := d.StartRouter("edge-2", "zone-1", []string{first.Peer}, "")
	if err != nil {
		return false, err
	}
	s.began = time.Now()
	load(s, []*kit.Router{first, second})
	limit := 2 + float64(numReplicas)/10
	d.Record("summary: %d runs, %d falls; the limit is %.1f", s.runs.Load(), s.falls.Load(), limit)
	if s.runs.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return float64(s.falls.Load()) > limit, nil
}

// load sends requests at a rate, whatever becomes of them.
func load(s *service, routers []*kit.Router) {
	var clients sync.WaitGroup
	var statuses sync.Map
	client := kit.Client(true)
	sent := 0
	last := s.began
	for due := 0.0; time.Since(s.began) < endAt; {
		time.Sleep(5 * time.Millisecond)
		now := time.Now()
		rate := float64(usualRate)
		if passed := now.Sub(s.began); passed >= burstAt && passed < burstAt+burstTime {
			rate *= burst
		}
		due += rate * now.Sub(last).Seconds()
		last = now
		for ; float64(sent) < due; sent++ {
			n := sent
			clients.Go(func() {
				id := fmt.Sprintf("job-%d", n)
				reply := kit.Send(client, routers[n%len(routers)], kit.Request{ID: id, Path: "/assign/x", Body: "two vans", Deadline: deadline})
				s.d.RecordQuietly("client gets for %s: %d %v", id, reply.Status, reply.Err)
				counter, _ := statuses.LoadOrStore(reply.Status, new(atomic.Int64))
				counter.(*atomic.Int64).Add(1)
			})
		}
	}
	clients.Wait()
	statuses.Range(func(status, count any) bool {
		s.d.Record("answers %v: %d", status, count.(*atomic.Int64).Load())
		return true
	})
}
