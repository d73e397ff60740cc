package registry

import (
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// Bounds on the records of upstreams that left.
const (
	// departureLifetime is how long a record is kept. A copy that the store is rolled back to is
	// only some seconds old, so older departures are in the copy.
	departureLifetime = time.Minute
	// maxDepartures bounds the records. When 300 upstreams are all replaced, each of them leaves
	// once, which makes 300 records.
	maxDepartures = 1024
)

// departure records an upstream that announced that it leaves and whose entry is gone.
type departure struct {
	born  int64
	until time.Time
}

// recordDeparture records an upstream whose entry is removed, if it had announced that it leaves;
// r.mu is held.
func (r *Registry) recordDeparture(u Upstream) {
	if !u.Leaving {
		return
	}
	now := r.now()
	for id, d := range r.departures {
		if now.After(d.until) || len(r.departures) >= maxDepartures {
			delete(r.departures, id)
		}
	}
	r.departures[u.ID] = departure{born: u.Born, until: now.Add(departureLifetime)}
}

// noteRollback adjusts the first list of a later era, which begins when the store is rolled back to an
// older copy. The list shows an upstream as in service that announced its leaving after the copy was
// made; requests sent to it would break off when it exits. Such an upstream counts as leaving until its
// entry is written again. Entries that the copy lacks may belong to live upstreams, which write them
// again, so they are retained as after an outage; r.mu is held.
func (r *Registry) noteRollback(list []Upstream) {
	r.staleEntries = map[string]store.Position{}
	for i := range list {
		if u := &list[i]; !u.Leaving && r.hasAnnouncedLeaving(u) {
			u.Leaving = true
			r.staleEntries[u.ID] = u.Written
		}
	}
	r.outageEndedAt = r.now()
}

func (r *Registry) hasAnnouncedLeaving(u *Upstream) bool {
	if before, known := r.entries[u.ID]; known {
		return before.Leaving && before.Born == u.Born
	}
	d, known := r.departures[u.ID]
	return known && d.born == u.Born && r.now().Before(d.until)
}

// withStaleAsLeaving returns the entry to apply instead of one that was read from the store. If the entry
// is in staleEntries and the upstream has not written it since the rollback, the returned one is
// leaving; r.mu is held.
func (r *Registry) withStaleAsLeaving(u Upstream) Upstream {
	stalePosition, stale := r.staleEntries[u.ID]
	if !stale {
		return u
	}
	if u.Written == stalePosition {
		u.Leaving = true
		return u
	}
	delete(r.staleEntries, u.ID)
	return u
}
