package forward

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/buffermem"
	"github.com/lavenderring/lavenderring/pkg/coldlimit"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/origin"
	"github.com/lavenderring/lavenderring/pkg/overload"
	"github.com/lavenderring/lavenderring/pkg/owndelay"
	"github.com/lavenderring/lavenderring/pkg/placement"
	"github.com/lavenderring/lavenderring/pkg/prepaid"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
	"github.com/lavenderring/lavenderring/pkg/reach"
	"github.com/lavenderring/lavenderring/pkg/registry"
	"github.com/lavenderring/lavenderring/pkg/retrylimit"
	"github.com/lavenderring/lavenderring/pkg/routing"
)

// Bounds of the pipeline.
const (
	// reserveTimeout bounds the search for tokens at other instances and in the
	// store. They normally answer within milliseconds, and the request needs the rest of its
	// time for the upstream.
	reserveTimeout = 400 * time.Millisecond
	// originRetryAfter applies to a resumed stream that cannot go on now: what began it may become known,
	// or an upstream of its version available, within the time of a few messages between instances.
	originRetryAfter = 500 * time.Millisecond
	// defaultRetryAfter applies to refusals that another instance, or this one a moment
	// later, may not make again.
	defaultRetryAfter = 150 * time.Millisecond
	// outageRetryAfter applies if the instance reaches neither the ledger nor a lender, or
	// has no configuration while the store is unavailable: half of the longest outage for
	// which tokens are held by default. A client that comes back during the same outage is
	// refused for good. One that waits loses nothing more, as it has been refused anyway.
	// Clients wait for at most a third of the time that they have left.
	outageRetryAfter = 6 * time.Second
	// tokensShortRetryAfter applies while other instances still return what they hold of a
	// budget that is short: they report twice a second.
	tokensShortRetryAfter = 1200 * time.Millisecond
	// stopAcceptPeriod is how long after the start of a planned stop requests with any
	// deadline are still accepted, unless they run at most once: the load balancer sends no more requests here after that.
	stopAcceptPeriod = 2500 * time.Millisecond
	// emptiedRetryAfter applies while operators have emptied the failure domains that would
	// serve: they restore them after seconds at the earliest.
	emptiedRetryAfter = 2 * time.Second
	// startingRetryAfter applies while a starting instance has no configuration.
	startingRetryAfter = 500 * time.Millisecond
)

// Budgets reserves and settles tokens.
type Budgets interface {
	Reserve(ctx context.Context, budget string, tokens int64, urgent bool) (*prepaid.Reservation, error)
	Settle(r *prepaid.Reservation, used int64)
}

// PeerProber finds out the state of the upstream at an address whose connection ended.
type PeerProber interface {
	Probe(address string) httpconn.PeerState
}

// Links opens connections to upstreams, directly or through another instance.
type Links interface {
	// Connect opens a connection. Errors: *httpconn.Error with step "dial".
	Connect(ctx context.Context, target reach.Target) (reach.Connection, error)
	// NoteHeard records that an upstream of a service was heard of over a direct connection.
	NoteHeard(service string)
	// CheckSilence finds out whether the direct connections to a service have gone silent, after a
	// request to an address has not been answered for a time.
	CheckSilence(service, address string, silence time.Duration)
}

// Origins remembers what began resumable streams.
type Origins interface {
	// Record records what began the stream of an account's request, for the lifetime in which the client
	// may resume it.
	Record(account, requestID string, o origin.Origin, lifetime time.Duration)
	// Find returns what began the stream of an account's request. Errors: origin.ErrConflict,
	// *origin.UnknownError.
	Find(ctx context.Context, account, requestID string) (origin.Origin, error)
}

// Validity decides whether the instance may act on what it knows of the platform's store.
type Validity interface {
	// Check returns an error if it may not.
	Check() error
	// Await waits a moment until it may, and returns an error if it may not.
	Await(ctx context.Context) error
}

// alwaysValid is the Validity of an instance that is told all changes.
type alwaysValid struct{}

// Check implements Validity.
func (alwaysValid) Check() error { return nil }

// Await implements Validity.
func (alwaysValid) Await(context.Context) error { return nil }

// Deps holds the dependencies of a Forwarder.
type Deps struct {
	// Domain is the instance's failure domain.
	Domain   string
	Config   *routing.State
	Registry *registry.Registry
	Budgets  Budgets
	Codec    Codec
	Conns    *httpconn.Pool
	// Links opens connections to upstreams; New creates one that opens direct connections if it is nil.
	Links   Links
	Log     *eventlog.Log
	Metrics metrics.Registry
	// PeerProber distinguishes crashed upstreams from connections that ended; New creates one if
	// it is nil.
	PeerProber PeerProber
	// Quarantine finds requests that crash upstreams; New creates one if it is nil.
	Quarantine *quarantine.Table
	// Origins remembers what began streams; nil if clients cannot resume streams.
	Origins Origins
	// ColdLimit limits the requests sent to upstreams that have just started; nil for no limit.
	// ColdOverage and ColdSlack, with the rate that each service sets, form a coldlimit.Bound.
	ColdLimit              placement.ColdLimit
	ColdOverage, ColdSlack float64
	// Health makes health checks; nil if upstreams are not asked whether they are cold.
	Health HealthCodec
	// Identity asks upstreams which process they are; nil if an upstream's ID alone says that.
	Identity IdentityCodec
	// Overload limits the requests accepted while this instance's network link is saturated; nil
	// for no limit.
	Overload *overload.Limit
	// AnswerMemoryBytes bounds the memory for all answers that are buffered; 0 for defaultAnswerMemory.
	AnswerMemoryBytes int
	// Retries limits the requests that are retried; NumInstances returns how many instances
	// share the limit.
	Retries      retrylimit.Settings
	NumInstances func() int
	// Synced is closed once the instance has a configuration and the upstreams; nil if it has them
	// from its start.
	Synced <-chan struct{}
	// StoreAvailable reports whether the platform's store answered the last call.
	StoreAvailable func() bool
	// UpstreamsAge returns the time since the list of upstreams was last known to be complete; false if it
	// never was. It is logged with each dispatch; nil if it is not known.
	UpstreamsAge func() (time.Duration, bool)
	// OwnDelay is how late the instance itself is; it is logged with each dispatch and may be nil.
	OwnDelay *owndelay.Meter
	// Validity decides whether the list of upstreams and the configuration may be acted upon; nil if they
	// always may.
	Validity Validity
	// ConfigCurrent reports whether the configuration in force is known to have been the newest one
	// within the time that a change may take; nil if it always is.
	ConfigCurrent func() bool
	Now           func() time.Time
}

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	Deps
	meters       meters
	lastSent     lastSentTimes
	answerMemory *buffermem.Pool
	// startedAt is when the instance started.
	startedAt time.Time

	// stop is nil until a planned stop begins.
	stop atomic.Pointer[plannedStop]

	mu       sync.Mutex
	services map[string]*serviceState
}

// plannedStop holds when a planned stop began and when it ends.
type plannedStop struct{ beganAt, endsAt time.Time }

// StopBy announces that the instance ends at a time. Requests that might last beyond that time are refused: if they were
// cut off, their clients would not know whether they ran. Those that their clients may send again are refused only from
// stopAcceptPeriod after the announcement on.
func (f *Forwarder) StopBy(ends time.Time) {
	f.stop.Store(&plannedStop{beganAt: f.Now(), endsAt: ends})
}

// mayCutOff reports whether a planned stop may end before the deadline of a request that arrives now.
func (f *Forwarder) mayCutOff(route *routing.Route, deadline time.Time) bool {
	stop := f.stop.Load()
	if stop == nil || !deadline.After(stop.endsAt) {
		return false
	}
	return route.Kind == routing.Once || f.Now().Sub(stop.beganAt) > stopAcceptPeriod
}

// serviceState is this instance's state for one service.
type serviceState struct {
	pool  *placement.Pool
	limit *retrylimit.Limit
}

type meters struct {
	accepted, refused, answered, streamed, unknown, clientsGone, retried, resumed metrics.Counter
	tunnelled, crashes, cleared, hedged, hedgesDenied, coldChecks, identityChecks metrics.Counter
	answerTime, firstEventTime, beforeSendTime                                    metrics.Timer
}

// New returns a forwarder.
func New(deps Deps) *Forwarder {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, deps.Metrics) }
	timer := func(name string) metrics.Timer { return metrics.GetOrRegisterTimer(name, deps.Metrics) }
	if deps.Links == nil {
		direct := &reach.Direct{Dial: httpconn.DialTCP, Pool: deps.Conns, Paths: reach.NewPaths(deps.Now, nil), Now: deps.Now}
		deps.Links = &reach.Connector{Direct: direct}
	}
	if deps.PeerProber == nil {
		crashed := func(string) httpconn.PeerState { return httpconn.Crashed }
		deps.PeerProber = httpconn.NewPeerProber(httpconn.DialTCP, deps.Conns, crashed, deps.Now)
	}
	if deps.Origins == nil {
		deps.Origins = noOrigins{}
	}
	if deps.Validity == nil {
		deps.Validity = alwaysValid{}
	}
	if deps.AnswerMemoryBytes <= 0 {
		deps.AnswerMemoryBytes = defaultAnswerMemory
	}
	if deps.Quarantine == nil {
		deps.Quarantine = quarantine.NewTable("", nil)
	}
	return &Forwarder{
		Deps:         deps,
		answerMemory: buffermem.NewPool(deps.AnswerMemoryBytes),
		startedAt:    deps.Now(),
		services:     map[string]*serviceState{},
		meters: meters{
			accepted:       counter("forward.accepted"),
			refused:        counter("forward.refused"),
			answered:       counter("forward.answered"),
			streamed:       counter("forward.streamed"),
			unknown:        counter("forward.unknown"),
			clientsGone:    counter("forward.clients_left"),
			retried:        counter("forward.repeated"),
			resumed:        counter("forward.resumed"),
			tunnelled:      counter("forward.tunnelled"),
			crashes:        counter("quarantine.crashes"),
			cleared:        counter("quarantine.cleared"),
			hedged:         counter("forward.hedged"),
			hedgesDenied:   counter("forward.hedges_denied"),
			coldChecks:     counter("forward.cold_checks"),
			identityChecks: counter("forward.identity_checks"),
			answerTime:     timer("forward.whole"),
			firstEventTime: timer("forward.first_event"),
			beforeSendTime: timer("forward.before_sending"),
		},
	}
}

func (f *Forwarder) serviceState(name string) *serviceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s == nil {
		s = &serviceState{
			pool:  placement.NewPool(f.Domain, f.Now),
			limit: retrylimit.New(f.Retries, f.NumInstances, f.Now),
		}
		f.services[name] = s
	}
	return s
}

// Update passes the configuration's services and the registry's upstreams on to the
// pools.
func (f *Forwarder) Update() {
	table := f.Config.Table()
	if table == nil {
		return
	}
	for i := range table.Config.Services {
		s := &table.Config.Services[i]
		pool := f.serviceState(s.Name).pool
		pool.SetColdPolicy(placement.ColdPolicy{
			Limit:    f.ColdLimit,
			Bound:    coldlimit.Bound{PerSecond: s.ColdPerSecond, Overage: f.ColdOverage, Slack: f.ColdSlack},
			Duration: s.ColdDuration,
		})
		pool.Update(f.Registry.InService(s.Name), s.Engine != nil)
	}
}

// noUpstreamRetryAfter returns when a client may come back if no upstream is in service.
func (f *Forwarder) noUpstreamRetryAfter() time.Duration {
	if len(f.Registry.EmptiedDomains()) > 0 {
		return emptiedRetryAfter
	}
	return defaultRetryAfter
}

// Serve forwards one request and delivers its answer; ctx ends when the client is gone.
func (f *Forwarder) Serve(ctx context.Context, r *Request, client Client) {
	if f.Overload != nil {
		if !f.Overload.Begin() {
			f.refuse(r, client, &Refusal{Reason: Overloaded, RetryAfter: defaultRetryAfter, Step: "admit", Err: errOverloaded})
			return
		}
		defer f.Overload.End()
	}
	if isGone(client) {
		(&call{f: f, r: r, client: client}).handleClientGone()
		return
	}
	call, refusal := f.admit(ctx, r)
	if refusal != nil {
		f.refuse(r, client, refusal)
		return
	}
	call.client = client
	call.run(ctx)
}

// noConfigRetryAfter returns when a client may come back if a configuration is awaited.
func (f *Forwarder) noConfigRetryAfter() time.Duration {
	if f.StoreAvailable() {
		return startingRetryAfter
	}
	return outageRetryAfter
}

// refuseUnknown refuses a request whose route or key is not in the configuration. Clients do not come
// back after such a refusal, so one by an outdated configuration is only for the time being.
func (f *Forwarder) refuseUnknown(reason Reason) *Refusal {
	if f.ConfigCurrent == nil || f.ConfigCurrent() {
		return &Refusal{Reason: reason}
	}
	return &Refusal{Reason: ConfigurationOutdated, RetryAfter: f.noConfigRetryAfter()}
}

// admit checks whether the request may be forwarded, and reserves its cost.
func (f *Forwarder) admit(ctx context.Context, r *Request) (*call, *Refusal) {
	f.awaitSynced(ctx)
	table := f.Config.Table()
	if table == nil {
		return nil, &Refusal{Reason: NoConfiguration, RetryAfter: f.noConfigRetryAfter()}
	}
	if err := f.Validity.Await(ctx); err != nil { // another instance serves the client
		return nil, &Refusal{Reason: StateOutdated, RetryAfter: defaultRetryAfter, Step: "admit", Err: err}
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
		return nil, f.refuseUnknown(NoRoute)
	}
	c := &call{f: f, r: r, route: route}
	if table.Config.KeyRequired && !route.Public {
		if c.account = table.Account(r.Key); c.account == nil {
			return nil, f.refuseUnknown(UnknownKey)
		}
	}
	service, refusal := c.selectService(ctx)
	if refusal != nil {
		return nil, refusal
	}
	target := table.Service(service)
	if target == nil {
		return nil, &Refusal{Reason: NoUpstream, RetryAfter: defaultRetryAfter}
	}
	c.target, c.serviceState = target, f.serviceState(target.Name)
	c.urgent = table.Urgent(route)
	c.setDeadline()
	if f.mayCutOff(route, c.deadline) {
		return nil, &Refusal{Reason: Stopping, RetryAfter: defaultRetryAfter}
	}
	if refusal := c.refuseCondemned(); refusal != nil {
		return nil, refusal
	}
	return c, c.reserve(ctx)
}

// Refuse refuses a request that is not to be served, for a reason of its server.
func (f *Forwarder) Refuse(r *Request, client Client, refusal *Refusal) { f.refuse(r, client, refusal) }

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
	event := eventlog.RequestRefused
	if refusal.Reason == OutcomeUnknown || refusal.Reason == Timeout {
		event = eventlog.RequestFailed
		f.meters.unknown.Inc(1)
	}
	f.Log.Event(event, r.ID, fields)
	client.Refuse(refusal)
}

// reserve reserves the request's maximum cost.
func (c *call) reserve(ctx context.Context) *Refusal {
	if c.account == nil || c.account.PrepaidTokens < 0 || !c.r.HasTokenBounds {
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
		return &Refusal{Reason: PrepaidExhausted, Step: "reserve", Err: err}
	}
	if errors.Is(err, prepaid.ErrKeptForUrgent) {
		return &Refusal{Reason: TokensKeptForUrgent, RetryAfter: outageRetryAfter, Step: "reserve", Err: err}
	}
	wait := outageRetryAfter
	if errors.Is(err, prepaid.ErrBusy) || errors.Is(err, prepaid.ErrTooFew) {
		wait = tokensShortRetryAfter
	}
	return &Refusal{Reason: TokensUnreachable, RetryAfter: wait, Step: "reserve", Err: err}
}
