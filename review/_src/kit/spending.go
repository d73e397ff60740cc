package kit

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderring/lavenderring/pkg/routing"
)

// Parameters of the spending of a prepaid budget.
const (
	SpendPrompt   = 200
	SpendOutput   = 20
	SpendDeadline = 4 * time.Second
	// NumSpenders clients send a request each, then pause.
	NumSpenders = 12
	spendPause  = 200 * time.Millisecond
	// quietTime is for how long nothing more must be served before the budget counts as used up.
	quietTime    = 6 * time.Second
	maxSpendTime = 80 * time.Second
)

// Spending is clients that use up the prepaid tokens of one tenant.
type Spending struct {
	D       *Deployment
	Routers []*Router
	Engine  *Engine
	// Events counts the output tokens delivered; OK, Short and Others the answers 200, 402 and all others.
	Events, OK, Short, Others atomic.Int64
	// OnReply is called for each answer with when its request was sent; it may be nil.
	OnReply func(sentAt time.Time, status int)
	// Period is the time between two requests of a client; if it is 0, a client pauses after each answer.
	Period time.Duration

	began      time.Time
	lastServed atomic.Int64
	stop       atomic.Bool
	clients    sync.WaitGroup
}

// StartSpending starts three replicas and a number of routers, and the clients.
func StartSpending(d *Deployment, numRouters int, prepaid int64) (*Spending, error) {
	s := &Spending{D: d, Engine: &Engine{D: d, Pause: time.Millisecond}}
	for n := range 3 {
		if _, err := d.StartReplica(fmt.Sprintf("i-%d", n), "llm", fmt.Sprintf("zone-%d", n), 64, s.Engine.Handle); err != nil {
			return nil, err
		}
	}
	config := &routing.Config{
		Version: 1, KeyRequired: true, Limits: Limits(),
		Services: []routing.Service{{
			Name: "llm", MaxConnections: 370, HealthPath: "/healthz", Engine: &routing.Engine{Slots: 64, MemoryTokens: 350_000, TokensPerEvent: 1},
		}},
		Accounts: []routing.Account{{Name: "crew", Keys: []string{Key}, Priority: -1, PrepaidTokens: prepaid}},
		Routes: []routing.Route{{
			Name: "query", Host: Host, Prefix: "/query/", Kind: routing.Stream, Timeout: SpendDeadline, Objective: 500 * time.Millisecond,
			MaxPause: 400 * time.Millisecond, MaxAttempts: 1, Targets: []routing.Target{{Service: "llm", Weight: 1}},
		}},
	}
	if err := d.Configure(config); err != nil {
		return nil, err
	}
	var seeds []string
	for n := range numRouters {
		router, err := d.StartRouter(fmt.Sprintf("edge-%d", n), fmt.Sprintf("zone-%d", n), seeds, "")
		if err != nil {
			return nil, err
		}
		s.Routers, seeds = append(s.Routers, router), append(seeds, router.Peer)
	}
	return s, nil
}

// Begin starts the clients.
func (s *Spending) Begin() {
	s.began = time.Now()
	s.lastServed.Store(s.began.UnixNano())
	for n := range NumSpenders {
		s.clients.Go(func() { s.client(n) })
	}
}

// Await waits until the budget is used up.
func (s *Spending) Await() { s.clients.Wait() }

// Stop ends the clients.
func (s *Spending) Stop() {
	s.stop.Store(true)
	s.clients.Wait()
}

// Used returns the tokens that the tenant has got.
func (s *Spending) Used() int64 { return s.Engine.PromptTokens() + s.Events.Load() }

// client sends requests until the budget is used up.
func (s *Spending) client(n int) {
	client := Client(false)
	for count := 0; !s.isOver(); count++ {
		router := s.Routers[(n+count)%len(s.Routers)]
		id := fmt.Sprintf("query-%d-%d", n, count)
		sentAt := time.Now()
		status, events, err := Stream(client, router, Request{
			ID: id, Path: "/query/x", Body: "question " + id, Deadline: SpendDeadline,
			Header: map[string]string{Names.Tokens: fmt.Sprintf("%d,%d", SpendPrompt, SpendOutput)},
		})
		s.Events.Add(events)
		s.D.RecordQuietly("client gets for %s from %s: %d, %d events, %v", id, router.Name, status, events, err)
		switch status {
		case http.StatusOK:
			s.OK.Add(1)
			s.lastServed.Store(time.Now().UnixNano())
		case http.StatusPaymentRequired:
			s.Short.Add(1)
		default:
			s.Others.Add(1)
		}
		if s.OnReply != nil {
			s.OnReply(sentAt, status)
		}
		s.pause(sentAt)
	}
}

// pause waits until the next request of a client is due.
func (s *Spending) pause(sentAt time.Time) {
	if s.Period > 0 {
		time.Sleep(time.Until(sentAt.Add(s.Period)))
		return
	}
	time.Sleep(spendPause)
}

// isOver reports whether the budget is used up.
func (s *Spending) isOver() bool {
	if s.Period > 0 {
		return s.stop.Load()
	}
	quiet := time.Since(time.Unix(0, s.lastServed.Load())) > quietTime
	return s.stop.Load() || time.Since(s.began) > maxSpendTime || (quiet && s.Short.Load() > 0)
}
