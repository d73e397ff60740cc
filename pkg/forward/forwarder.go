package forward

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/coldlimit"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/overload"
	"github.com/lavenderring/lavenderring/pkg/placement"
	"github.com/lavenderring/lavenderring/pkg/prepaid"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
	"github.com/lavenderring/lavenderring/pkg/registry"
	"github.com/lavenderring/lavenderring/pkg/retrylimit"
	"github.com/lavenderring/lavenderring/pkg/routing"
)

// Bounds of the pipeline.
const (
	// reserveTimeout bounds the search for tokens at other instances and in the
	// store; what they answer comes in milliseconds, and a request has better
	// uses for its time than to wait for one that does not answer.
	reserveTimeout = 400 * time.Millisecond
	// soonRetry is when a client may come back after a refusal that another
	// instance or a moment later may not repeat.
	soonRetry = 150 * time.Millisecond
	// outageRetry is when to come back to an instance that reaches neither the ledger nor
	// a lender, or has no configuration while the store is away: half of the longest
	// outage that tokens are held for by default. One that comes back into the same
	// outage is refused for good, and one that waited has lost nothing that it had not
	// lost by the refusal. Clients honour a third of the time that they have left at most.
	outageRetry = 6 * time.Second
	// shortRetry is when to come back while other instances still give back what they
	// hold of a budget that is short: they report twice a second.
	shortRetry = 1200 * time.Millisecond
	// lateAfter is how long after a planned stop has begun requests of any length
	// are still taken: the balancer has turned away by then.
	lateAfter = 2500 * time.Millisecond
	// emptiedRetry is when to come back while the domains that would serve are emptied: operators
	// take them back after seconds at the earliest.
	emptiedRetry = 2 * time.Second
	// startRetry is when to come back to an instance without a configuration.
	startRetry = 500 * time.Millisecond
)

// Budgets reserves and settles tokens.
type Budgets interface {
	Reserve(ctx context.Context, budget string, tokens int64, urgent bool) (*prepaid.Reservation, error)
	Settle(r *prepaid.Reservation, used int64)
}

// Lookout tells what became of the upstream at an address whose connection ended.
type Lookout interface {
	Look(address string) httpconn.PeerState
}

// Deps is what a forwarder works with.
type Deps struct {
	// Domain is the instance's failure domain.
	Domain   string
	Config   *routing.State
	Registry *registry.Registry
	Budgets  Budgets
	Codec    Codec
	Conns    *httpconn.Pool
	Log      *eventlog.Log
	Metrics  metrics.Registry
	// Lookout tells crashed upstreams from connections that ended; nil for one of its own.
	Lookout Lookout
	// Quarantine finds requests that crash upstreams; nil for one of its own.
	Quarantine *quarantine.Table
	// Cold bounds what is sent to upstreams that have just started, ColdOverage and ColdSlack are
	// the bound's terms beside the service's own; nil for no bound.
	Cold                   placement.ColdLimit
	ColdOverage, ColdSlack float64
	// Load bounds what is taken on when this instance's own link is full; nil for no bound.
	Load *overload.Limit
	// Retries bounds what is sent once more; Instances tells how many instances
	// share the bound.
	Retries   retrylimit.Settings
	Instances func() int
	// Synced is closed once the instance has a configuration and the upstreams; nil for one that has
	// them from its start.
	Synced <-chan struct{}
	// StoreUp reports whether the platform's store answered the last call.
	StoreUp func() bool
	Now     func() time.Time
}

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	Deps
	meters meters
	sentTo sentTo
	// began is when the instance started.
	began time.Time

	// stop is nil until a planned stop begins.
	stop atomic.Pointer[plannedStop]

	mu       sync.Mutex
	services map[string]*service
}

// plannedStop is when a planned stop began and when it ends.
type plannedStop struct{ began, ends time.Time }

// StopBy says that the instance ends at a time. Requests that come late and might
// last longer are refused from now on: cut off in the middle, a client would not
// know whether they ran.
func (f *Forwarder) StopBy(ends time.Time) { f.stop.Store(&plannedStop{began: f.Now(), ends: ends}) }

// endsBefore reports that the instance may end before a request does that came
// long after its stop began.
func (f *Forwarder) endsBefore(deadline time.Time) bool {
	stop := f.stop.Load()
	return stop != nil && f.Now().Sub(stop.began) > lateAfter && deadline.After(stop.ends)
}

// service is what an instance keeps of one service.
type service struct {
	pool  *placement.Pool
	limit *retrylimit.Limit
}

type meters struct {
	accepted, refused, answered, streamed, unknown, left, repeated, resumed metrics.Counter
	newConns, crashes, cleared                                              metrics.Counter
	whole, firstEvent, added                                                metrics.Timer
}

// New returns a forwarder.
func New(deps Deps) *Forwarder {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, deps.Metrics) }
	timer := func(name string) metrics.Timer { return metrics.GetOrRegisterTimer(name, deps.Metrics) }
	if deps.Lookout == nil {
		deps.Lookout = httpconn.NewLookout(deps.Conns, deps.Now)
	}
	if deps.Quarantine == nil {
		deps.Quarantine = quarantine.NewTable("", nil)
	}
	return &Forwarder{
		Deps:     deps,
		began:    deps.Now(),
		services: map[string]*service{},
		meters: meters{
			accepted:   counter("forward.accepted"),
			refused:    counter("forward.refused"),
			answered:   counter("forward.answered"),
			streamed:   counter("forward.streamed"),
			unknown:    counter("forward.unknown"),
			left:       counter("forward.clients_left"),
			repeated:   counter("forward.repeated"),
			resumed:    counter("forward.resumed"),
			newConns:   counter("forward.new_connections"),
			crashes:    counter("quarantine.crashes"),
			cleared:    counter("quarantine.cleared"),
			whole:      timer("forward.whole"),
			firstEvent: timer("forward.first_event"),
			added:      timer("forward.before_sending"),
		},
	}
}

func (f *Forwarder) service(name string) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s == nil {
		s = &service{
			pool:  placement.NewPool(f.Domain, f.Now),
			limit: retrylimit.New(f.Retries, f.Instances, f.Now),
		}
		f.services[name] = s
	}
	return s
}

// Update brings the configuration's services and the registry's upstreams to the
// pools.
func (f *Forwarder) Update() {
	table := f.Config.Table()
	if table == nil {
		return
	}
	for i := range table.Config.Services {
		s := &table.Config.Services[i]
		pool := f.service(s.Name).pool
		pool.SetCold(placement.Cold{
			Limit: f.Cold,
			Bound: coldlimit.Bound{PerSecond: s.ColdPerSecond, Overage: f.ColdOverage, Slack: f.ColdSlack},
			For:   s.ColdFor,
		})
		pool.Update(f.Registry.InService(s.Name), s.Engine != nil)
	}
}

// noUpstreamRetry is when to come back to a service none of whose upstreams is in service.
func (f *Forwarder) noUpstreamRetry() time.Duration {
	if len(f.Registry.Emptied()) > 0 {
		return emptiedRetry
	}
	return soonRetry
}

// Serve takes one request to its answer; ctx ends when the client has left.
func (f *Forwarder) Serve(ctx context.Context, r *Request, client Client) {
	if f.Load != nil {
		if !f.Load.Begin() {
			f.refuse(r, client, &Refusal{Reason: Overloaded, RetryAfter: soonRetry, Step: "admit", Err: errOverloaded})
			return
		}
		defer f.Load.End()
	}
	call, refusal := f.admit(ctx, r)
	if refusal != nil {
		f.refuse(r, client, refusal)
		return
	}
	call.client = client
	call.run(ctx)
}

// admit decides whether the request may be forwarded at all.
func (f *Forwarder) admit(ctx context.Context, r *Request) (*call, *Refusal) {
	f.awaitSynced(ctx)
	table := f.Config.Table()
	if table == nil {
		if f.StoreUp() {
			return nil, &Refusal{Reason: NoConfiguration, RetryAfter: startRetry}
		}
		return nil, &Refusal{Reason: NoConfiguration, RetryAfter: outageRetry}
	}
	limits := &table.Config.Limits
	switch {
	case limits.HeaderBytes > 0 && r.HeadBytes > limits.HeaderBytes:
		return nil, &Refusal{Reason: HeadTooLarge}
	case limits.BodyBytes > 0 && len(r.Body) > limits.BodyBytes:
		return nil, &Refusal{Reason: BodyTooLarge}
	}
	route := table.Route(r.Host, r.Path)
	if route == nil {
		return nil, &Refusal{Reason: NoRoute}
	}
	c := &call{f: f, r: r, route: route}
	if table.Config.Keyed && !route.Public {
		if c.account = table.Account(r.Key); c.account == nil {
			return nil, &Refusal{Reason: UnknownKey}
		}
	}
	target := table.Service(route.Target(r.ID))
	if target == nil {
		return nil, &Refusal{Reason: NoUpstream, RetryAfter: soonRetry}
	}
	c.target, c.service = target, f.service(target.Name)
	c.urgent = table.Urgent(route)
	c.setDeadline()
	if f.endsBefore(c.deadline) {
		return nil, &Refusal{Reason: Stopping, RetryAfter: soonRetry}
	}
	if refusal := c.refuseCondemned(); refusal != nil {
		return nil, refusal
	}
	return c, c.reserve(ctx)
}

func (f *Forwarder) refuse(r *Request, client Client, refusal *Refusal) {
	f.meters.refused.Inc(1)
	fields := eventlog.Fields{"reason": refusal.Reason, "took_ms": f.Now().Sub(r.Arrived).Milliseconds()}
	if refusal.RetryAfter > 0 {
		fields["retry_after_ms"] = refusal.RetryAfter.Milliseconds()
	}
	if refusal.Step != "" {
		fields["step"], fields["peer"] = refusal.Step, refusal.Peer
	}
	if refusal.Err != nil {
		fields["cause"] = refusal.Err.Error()
	}
	if table := f.Config.Table(); table != nil {
		fields["config_version"] = table.Config.Version
	}
	number := eventlog.RequestRefused
	if refusal.Reason == Unknown || refusal.Reason == Timeout {
		number = eventlog.RequestFailed
		f.meters.unknown.Inc(1)
	}
	f.Log.Event(number, r.ID, fields)
	client.Refuse(refusal)
}

// reserve sets the request's highest cost aside.
func (c *call) reserve(ctx context.Context) *Refusal {
	if c.account == nil || c.account.PrepaidTokens < 0 || !c.r.Costed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservation, err := c.f.Budgets.Reserve(ctx, c.account.Name, c.r.PromptTokens+c.r.MaxOutputTokens, c.urgent)
	if err == nil {
		c.reservation = reservation
		return nil
	}
	var short *prepaid.ShortError
	if errors.As(err, &short) && short.Exhausted {
		return &Refusal{Reason: Exhausted, Step: "reserve", Err: err}
	}
	if errors.Is(err, prepaid.ErrKept) {
		return &Refusal{Reason: TokensKept, RetryAfter: outageRetry, Step: "reserve", Err: err}
	}
	wait := outageRetry
	if errors.Is(err, prepaid.ErrBusy) || errors.Is(err, prepaid.ErrTooFew) {
		wait = shortRetry
	}
	return &Refusal{Reason: TokensUnsure, RetryAfter: wait, Step: "reserve", Err: err}
}
