// Package entry serves the clients' HTTP requests: it finds the client account,
// reserves tokens for the cost, claims the idempotency key of a non-idempotent
// request, dispatches the request to an upstream, delivers the whole answer and
// bills it.
package entry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/oklog/ulid/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/bill"
	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/buffermem"
	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/claim"
	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/dispatch"
	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
	"github.com/lavenderring/lavenderring/pkg/ledger"
	"github.com/lavenderring/lavenderring/pkg/outcome"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
)

// Limits on requests, and the Retry-After times of refusals.
const (
	// maxIdempotencyKeyBytes bounds the Idempotency-Key header.
	maxIdempotencyKeyBytes = 255
	// drainRetryAfter applies to requests that a stopping instance refuses: the
	// load balancer sends the retry to another instance. Requests whose upstream
	// failed and retries whose first request did not run get the same value.
	drainRetryAfter = time.Second
	// storeRetryAfter applies while the store is unavailable.
	storeRetryAfter = 5 * time.Second
	// budgetRetryAfter applies to a budget that is used up: it gives a top-up
	// time to come into force.
	budgetRetryAfter = 30 * time.Second
)

// Budgets reserves tokens and settles reservations. Settle returns the tokens
// that were charged.
type Budgets interface {
	Reserve(ctx context.Context, budget string, tokens int64, into *budget.Reservation) error
	Settle(r *budget.Reservation, used int64) int64
}

// SilentFunc reports whether nothing has been received from an instance's
// incarnation for the silence timeout.
type SilentFunc func(incarnation string) bool

// PeerProber determines the state of the upstream at an address after a
// connection to it ended.
type PeerProber interface {
	Probe(address string) httpconn.PeerState
}

// Deps holds the collaborators of an Entry.
type Deps struct {
	// Self is this instance's incarnation.
	Self string
	// Domain is this instance's failure domain.
	Domain  string
	Config  *configsync.State
	Budgets Budgets
	Journal *bill.Journal
	Claims  *claim.Claimer
	Silent  SilentFunc
	// PeerProber tells crashed upstreams from ones that only closed a connection.
	PeerProber PeerProber
	// Answers is the memory for the answers of plain services.
	Answers *buffermem.Pool
	// Quarantine finds requests that crash upstreams.
	Quarantine *quarantine.Table
	Log        *eventlog.Log
	Metrics    metrics.Registry
	Now        func() time.Time
}

// Entry serves the client requests of one instance.
type Entry struct {
	Deps
	metrics requestMetrics
	retries retryBudget
	// background outlives requests: outcomes are recorded and upstream requests
	// canceled in it.
	background context.Context

	// settling is the number of requests that have been answered and of which other attempts are not settled.
	settling atomic.Int64

	mu             sync.Mutex
	pools          map[string]*dispatch.Pool
	emptiedDomains []string

	incarnations incarnations
}

// requestMetrics counts and times client requests by result.
type requestMetrics struct {
	accepted, refused, ran, unknown, retried, resumed metrics.Counter
	crashes                                           metrics.Counter
	timeToFirstToken, totalTime                       metrics.Timer
}

// New returns an Entry; background must not be canceled before the instance has
// stopped.
func New(background context.Context, deps Deps) *Entry {
	r := deps.Metrics
	return &Entry{
		Deps:       deps,
		background: background,
		pools:      map[string]*dispatch.Pool{},
		metrics: requestMetrics{
			accepted:         metrics.GetOrRegisterCounter("requests.accepted", r),
			refused:          metrics.GetOrRegisterCounter("requests.refused", r),
			ran:              metrics.GetOrRegisterCounter("requests.ran", r),
			unknown:          metrics.GetOrRegisterCounter("requests.unknown", r),
			retried:          metrics.GetOrRegisterCounter("requests.retried", r),
			resumed:          metrics.GetOrRegisterCounter("requests.resumed", r),
			crashes:          metrics.GetOrRegisterCounter("quarantine.crashes", r),
			timeToFirstToken: metrics.GetOrRegisterTimer("requests.first_token", r),
			totalTime:        metrics.GetOrRegisterTimer("requests.whole", r),
		},
	}
}

// RegisterRoutes registers the paths that clients call.
func (e *Entry) RegisterRoutes(r route.IRoutes) {
	r.POST("/v1/chat/completions", e.handle(e.serveChat))
	r.Any("/services/:pool/*path", e.handle(e.servePlain))
}

// ApplyConfig updates the dispatch pools to those of a service document.
func (e *Entry) ApplyConfig(f *configsync.ActiveDocument) {
	for i := range f.Document.Pools {
		pool := &f.Document.Pools[i]
		e.pool(f.Service, pool.Name).Update(pool)
	}
}

// LargestBody returns the size of the largest body that a service allows, in bytes; 0 without a service.
func (e *Entry) LargestBody() int {
	largest := 0
	for _, f := range e.Config.Snapshot().Services {
		largest = max(largest, f.Document.Limits.MaxBodyBytes)
	}
	return largest
}

// SetEmptiedDomains sets the failure domains whose upstreams get no new requests.
func (e *Entry) SetEmptiedDomains(domains []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.emptiedDomains = domains
	for _, p := range e.pools {
		p.SetEmptiedDomains(domains)
	}
}

func (e *Entry) pool(service, name string) *dispatch.Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := service + "/" + name
	p := e.pools[key]
	if p == nil {
		p = dispatch.NewPool(e.Domain, e.Now)
		p.SetEmptiedDomains(e.emptiedDomains)
		e.pools[key] = p
	}
	return p
}

// RefuseStopping answers a request that reaches a stopping instance as not run.
func RefuseStopping(_ context.Context, c *app.RequestContext) {
	notRunProblem(consts.StatusServiceUnavailable, kindDraining, "this instance is stopping", drainRetryAfter).write(c)
}

// RejectBody answers a request whose body was not read whole, for a reason of package httpserve.
func (e *Entry) RejectBody(_ context.Context, c *app.RequestContext, err error) {
	e.finish(e.newRequest(c), bodyProblem(err))
}

// bodyProblem returns the Problem of a request whose body was not read whole.
func bodyProblem(err error) *Problem {
	switch {
	case errors.Is(err, httpserve.ErrBodyTooLarge):
		return tooLargeProblem()
	case errors.Is(err, httpserve.ErrMemoryFull):
		return notRunProblem(consts.StatusServiceUnavailable, kindOverloaded, err.Error(), drainRetryAfter)
	case errors.Is(err, httpserve.ErrReadTimeout):
		return notRunProblem(consts.StatusRequestTimeout, kindReadTimeout, err.Error(), 0)
	default:
		return notRunProblem(consts.StatusBadRequest, kindBadRequest, err.Error(), 0)
	}
}

// tooLargeProblem returns the Problem of a request whose body exceeds a limit.
func tooLargeProblem() *Problem {
	return notRunProblem(consts.StatusRequestEntityTooLarge, kindTooLarge, "the body is larger than the service allows", 0)
}

// settledCheckInterval is how often AwaitSettled checks.
const settledCheckInterval = 20 * time.Millisecond

// AwaitSettled waits until all attempts of the requests that have been answered are settled and billed; it returns
// ctx's error if ctx is done first.
func (e *Entry) AwaitSettled(ctx context.Context) error {
	for e.settling.Load() > 0 {
		if !pause.For(ctx, settledCheckInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// request is a client request in progress.
type request struct {
	id string
	// route is the path pattern that the request matched.
	route          string
	accountRef     configsync.AccountRef
	doc            *document.Document
	budget         string
	idempotencyKey string
	started        time.Time
	deadline       time.Time
	tracker        outcome.Tracker
	c              *app.RequestContext
	// responseStarted is set once a part of the response may have been sent to
	// the client: only the rest of that response may follow.
	responseStarted bool
	// fingerprint is computed on first use.
	fingerprintOnce sync.Once
	fingerprint     fingerprint.Fingerprint
	// prompt describes a model request's prompt; empty for other requests.
	prompt quarantine.Prompt
}

// handle returns the HTTP handler for one kind of request: it admits the request,
// calls serve and writes the problem, if any, as the response.
func (e *Entry) handle(serve func(context.Context, *request) *Problem) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		r, p := e.admit(c)
		if p == nil && httpserve.ClientGone(ctx) {
			p = notRunProblem(consts.StatusServiceUnavailable, kindClientGone, errClientGone.Error(), 0)
		}
		if p == nil {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			p = serve(ctx, r)
		}
		e.finish(r, p)
	}
}

// newRequest returns a request that has just arrived.
func (e *Entry) newRequest(c *app.RequestContext) *request {
	r := &request{id: ulid.Make().String(), route: string(c.Path()), started: e.Now(), c: c}
	c.Header(chat.HeaderRequestID, r.id)
	return r
}

// admit authenticates the client and checks the request against the limits of
// the service.
func (e *Entry) admit(c *app.RequestContext) (*request, *Problem) {
	r := e.newRequest(c)
	key, isBearer := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	ref, found := e.Config.Snapshot().Account(strings.TrimSpace(key))
	if !isBearer || !found {
		return r, notRunProblem(consts.StatusUnauthorized, kindUnauthorized, "an API key of a client account is needed", 0)
	}
	r.accountRef = ref
	r.doc = ref.Service.Document
	r.budget = ledger.BudgetID(ref.Service.Service, ref.Account.Name)
	r.deadline = r.started.Add(r.doc.Limits.Deadline())
	r.idempotencyKey = string(c.GetHeader(chat.HeaderIdempotencyKey))
	if len(r.idempotencyKey) > maxIdempotencyKeyBytes {
		return r, notRunProblem(consts.StatusBadRequest, kindBadRequest, "Idempotency-Key is longer than 255 bytes", 0)
	}
	if len(c.Request.Body()) > r.doc.Limits.MaxBodyBytes {
		return r, tooLargeProblem()
	}
	if e.Journal.Full() {
		return r, notRunProblem(consts.StatusServiceUnavailable, kindStoreUnavailable, "bills wait for the platform's store", storeRetryAfter)
	}
	e.metrics.accepted.Inc(1)
	e.Log.Event(eventlog.RequestAccepted, r.id, eventlog.Fields{"budget": r.budget, "path": string(c.Path())})
	return r, nil
}

// finish counts and logs the result of a request, and writes p as the response
// unless a response has been started.
func (e *Entry) finish(r *request, p *Problem) {
	if p == nil {
		e.metrics.ran.Inc(1)
		e.metrics.totalTime.UpdateSince(r.started)
		e.Log.Event(eventlog.RequestRan, r.id, nil)
		return
	}
	p.Request = r.id
	fields := eventlog.Fields{"reason": p.Title, "detail": p.Detail, "outcome": p.Outcome}
	if p.Outcome == outcome.NotRun {
		e.metrics.refused.Inc(1)
		e.Log.Event(eventlog.RequestRefused, r.id, fields)
	} else {
		e.metrics.unknown.Inc(1)
		e.Log.Event(eventlog.RequestFailed, r.id, fields)
	}
	if !r.responseStarted {
		p.write(r.c)
	}
}
