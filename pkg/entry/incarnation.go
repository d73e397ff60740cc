package entry

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/upstream"
)

// Timing and bounds of the queries for the incarnations of upstreams.
const (
	// incarnationInterval is the wait between rounds of queries; incarnationTimeout bounds one query.
	incarnationInterval = 100 * time.Millisecond
	incarnationTimeout  = 300 * time.Millisecond
	// runQueryTimeout bounds the query before a watched request is sent. A sound upstream may fall silent
	// for a second or more.
	runQueryTimeout = 3 * time.Second
	// incarnationRetryInterval is the wait before an upstream is queried again that answered without
	// naming its incarnation.
	incarnationRetryInterval = 10 * time.Second
	// maxIncarnationQueries bounds the upstreams queried at a time.
	maxIncarnationQueries = 16
)

// incarnations holds, by address, the last known incarnation of each upstream. An incarnation is one
// process that serves at the address. The zero value is empty.
type incarnations struct {
	mu        sync.Mutex
	byAddress map[string]string
	// lastQuery is the time of the last query to an upstream whose incarnation is not known.
	lastQuery map[string]time.Time
	// failing holds the upstreams whose last query failed.
	failing map[string]bool
}

// recordQuery records whether a query for an upstream's incarnation failed. It reports whether this is
// the first failure since a query succeeded. After a failure the upstream is due for a query again at
// once, without the wait of incarnationRetryInterval.
func (i *incarnations) recordQuery(address string, failed bool) (newlyFailing bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	newlyFailing = failed && !i.failing[address]
	if !failed {
		delete(i.failing, address)
		return false
	}
	delete(i.lastQuery, address)
	if i.failing == nil {
		i.failing = map[string]bool{}
	}
	i.failing[address] = true
	return newlyFailing
}

// get returns the last known incarnation at an address; empty if none is known.
func (i *incarnations) get(address string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.byAddress[address]
}

// remove forgets the incarnation at an address if it is still the given one, which has ended.
func (i *incarnations) remove(address, ended string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.byAddress[address] == ended {
		delete(i.byAddress, address)
		delete(i.lastQuery, address)
	}
}

func (i *incarnations) set(address, incarnation string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.byAddress == nil {
		i.byAddress = map[string]string{}
	}
	i.byAddress[address] = incarnation
}

// startQuery reports whether an upstream whose incarnation is not known is due for a query, and if so
// records the time of the query.
func (i *incarnations) startQuery(address string, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	last, queried := i.lastQuery[address]
	if i.byAddress[address] != "" || (queried && now.Sub(last) < incarnationRetryInterval) {
		return false
	}
	if i.lastQuery == nil {
		i.lastQuery = map[string]time.Time{}
	}
	i.lastQuery[address] = now
	return true
}

// recordIncarnation records that an incarnation answered at an address what was sent to it at or after
// the time since. An empty incarnation changes nothing.
func (e *Entry) recordIncarnation(address, incarnation string, since time.Time) {
	if incarnation == "" {
		return
	}
	e.incarnations.set(address, incarnation)
	e.Quarantine.NoteAnswer(address, incarnation, since)
}

// incarnationAt returns the incarnation at an address; empty if it is not known, or the last known one
// has crashed.
func (e *Entry) incarnationAt(address string) string {
	known := e.incarnations.get(address)
	if known == "" || !e.Quarantine.HasCrashed(address, known) {
		return known
	}
	e.incarnations.remove(address, known)
	return ""
}

// PollIncarnations queries upstreams for their incarnation until ctx ends. It queries those whose
// incarnation is not known. It also queries those to which a connection ended before a whole answer,
// while it is undecided whether they crashed.
func (e *Entry) PollIncarnations(ctx context.Context) {
	for pause.For(ctx, incarnationInterval) {
		var round sync.WaitGroup
		for _, address := range e.addressesToQuery() {
			round.Go(func() { _ = e.queryIncarnation(ctx, address, incarnationTimeout) }) // a failure is logged, and the upstream queried again
		}
		round.Wait()
	}
}

// addressesToQuery returns the upstreams to query now, at most maxIncarnationQueries.
func (e *Entry) addressesToQuery() []string {
	var toQuery []string
	for _, address := range e.upstreamAddresses() {
		queryDue := e.incarnationAt(address) == "" && e.incarnations.startQuery(address, e.Now())
		if len(toQuery) < maxIncarnationQueries && (queryDue || e.Quarantine.HasUndecided(address)) {
			toQuery = append(toQuery, address)
		}
	}
	return toQuery
}

// upstreamAddresses returns the addresses of all upstreams that are not leaving.
func (e *Entry) upstreamAddresses() []string {
	var addresses []string
	for _, service := range e.Config.Snapshot().Services {
		for _, pool := range service.Document.Pools {
			for _, u := range pool.Upstreams {
				if u.State != document.StateLeaving {
					addresses = append(addresses, u.Address)
				}
			}
		}
	}
	return addresses
}

// queryIncarnation asks an upstream for its incarnation and records the answer. The first of several
// failures in a row is logged. Errors: *upstream.CallError.
func (e *Entry) queryIncarnation(ctx context.Context, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	since := e.Now()
	incarnation, err := upstream.FetchIncarnation(ctx, address)
	if e.incarnations.recordQuery(address, err != nil) {
		e.Log.Event(eventlog.UpstreamUnidentified, "", eventlog.Fields{"peer": address, "step": "incarnation", "cause": err.Error()})
	}
	e.recordIncarnation(address, incarnation, since)
	return err
}
