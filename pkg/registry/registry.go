package registry

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// lapsedEntryLifetime is how long a missing entry is kept after the end of a store outage: entries of
// live upstreams that lapsed during the outage are written again within about two seconds.
const lapsedEntryLifetime = 2200 * time.Millisecond

// Registry holds the entries of upstreams. It is safe for concurrent use.
type Registry struct {
	now func() time.Time

	mu sync.Mutex
	// position is the store position up to which changes are applied to entries; zero before the
	// first full list.
	position store.Position
	entries  map[string]Upstream
	// retainedUntil holds, for entries that are missing after an outage, the time until which they are
	// retained.
	retainedUntil map[string]time.Time
	// outageEndedAt is when the last store outage ended.
	outageEndedAt time.Time
	// storeUnavailable says that the store is unavailable to all instances.
	storeUnavailable bool
	byService        map[string][]Upstream // in-service upstreams by service, sorted by ID
	// restarted holds the addresses of upstreams that restarted under the same ID.
	restarted []string
	// departures records upstreams that left, by ID. staleEntries holds, by ID, the positions of
	// entries that a rollback of the store shows as in service although their upstreams had
	// announced that they leave (noteRollback).
	departures   map[string]departure
	staleEntries map[string]store.Position
	// occupants holds the last incarnation at each address, superseded those that were followed by
	// another one without having announced that they leave.
	occupants  map[string]occupant
	superseded []Superseded
	emptied    emptiedDomains
	// left holds the IDs of upstreams that are no longer in service, until TakeLeft.
	left []string
}

// New returns an empty registry.
func New(now func() time.Time) *Registry {
	return &Registry{
		now:           now,
		entries:       map[string]Upstream{},
		retainedUntil: map[string]time.Time{},
		byService:     map[string][]Upstream{},
		departures:    map[string]departure{},

		occupants: map[string]occupant{},
		emptied:   emptiedDomains{domains: map[string]bool{}, retainedUntil: map[string]time.Time{}},
	}
}

// NoteOutageStart records that the store is unavailable to all instances.
func (r *Registry) NoteOutageStart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeUnavailable = true
}

// NoteOutageEnd records that an outage of the store for all instances ended some time ago.
func (r *Registry) NoteOutageEnd(ago time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeUnavailable, r.outageEndedAt = false, r.now().Add(-ago)
}

// NoteStoreAvailable records that the store answers this instance. It does not count as the end of an
// outage, since other instances may have reached the store all along.
func (r *Registry) NoteStoreAvailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeUnavailable = false
}

// Replace applies the full list at a position; entries that it lacks are removed, or kept for a
// while as Remove does. A list older than the present one is ignored: a peer's list may lag and would
// bring back upstreams that have left.
func (r *Registry) Replace(list []Upstream, position store.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if position.Before(r.position) {
		return
	}
	if !r.position.IsZero() && position.Era != r.position.Era {
		r.noteRollback(list)
	}
	r.position = position
	present := map[string]bool{}
	for _, u := range list {
		present[u.ID] = true
		r.put(u)
	}
	for id := range r.entries {
		if !present[id] {
			r.removeOrRetain(id)
		}
	}
	r.invalidateIndex()
}

// Put adds or replaces one entry.
func (r *Registry) Put(u Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(u)
	r.invalidateIndex()
}

func (r *Registry) put(u Upstream) {
	u = r.withStaleAsLeaving(u)
	if before, known := r.entries[u.ID]; known && before.Born != u.Born {
		r.restarted = append(r.restarted, before.Address)
	}
	if u.Leaving {
		r.noteLeft(u.ID)
	}
	r.setOccupant(u)
	r.entries[u.ID] = u
	delete(r.retainedUntil, u.ID)
}

// Remove removes one entry, or keeps it for a while if it may only have lapsed during an outage of
// the store.
func (r *Registry) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeOrRetain(id)
	r.invalidateIndex()
}

// Discard immediately removes an entry that has become unusable in the store. Unlike one that lapsed
// during an outage of the store, such an entry is not kept for a while.
func (r *Registry) Discard(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeEntry(id)
	r.invalidateIndex()
}

// removeEntry removes an entry; r.mu is held.
func (r *Registry) removeEntry(id string) {
	r.noteLeft(id)
	if entry, known := r.entries[id]; known {
		r.recordDeparture(entry)
		r.markOccupantGone(&entry)
	}
	delete(r.entries, id)
	delete(r.retainedUntil, id)
}

// noteLeft records that an upstream gets no new requests, if it was in service; r.mu is held.
func (r *Registry) noteLeft(id string) {
	if entry, known := r.entries[id]; known && !entry.Leaving {
		r.left = append(r.left, id)
	}
}

// TakeRestarted returns the addresses of upstreams that restarted under the same ID since the
// previous call. Connections to the processes before the restart are dead.
func (r *Registry) TakeRestarted() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := r.restarted
	r.restarted = nil
	return addresses
}

// TakeLeft returns the IDs of upstreams that went out of service since the previous call.
func (r *Registry) TakeLeft() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := r.left
	r.left = nil
	return left
}

// removeOrRetain removes an entry, or retains it for a while if it may only have lapsed because the
// store was unavailable: otherwise all upstreams would be removed at the end of each outage, and every
// request refused. r.mu is held.
func (r *Registry) removeOrRetain(id string) {
	entry, known := r.entries[id]
	if !known {
		return
	}
	if until, kept := r.retainedUntil[id]; kept && r.now().Before(until) {
		return
	}
	outageEnd := r.outageEndedAt
	if r.storeUnavailable { // the first successful read shows that the outage is over
		outageEnd = r.now()
	}
	recent := r.now().Sub(outageEnd) < lapsedEntryLifetime
	if recent && !outageEnd.IsZero() && !entry.Leaving && r.retainedUntil[id].IsZero() {
		r.retainedUntil[id] = outageEnd.Add(lapsedEntryLifetime)
		return
	}
	r.removeEntry(id)
}

// Expire removes the retained entries that were not written again in time, and returns their addresses.
func (r *Registry) Expire() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []string
	for id, until := range r.retainedUntil {
		if r.now().Before(until) {
			continue
		}
		gone = append(gone, r.entries[id].Address)
		r.removeEntry(id)
	}
	if len(gone) > 0 {
		r.invalidateIndex()
	}
	return gone
}

// invalidateIndex makes the next reader rebuild the index. Changes come many at a time, thousands when
// all upstreams of a large service start, so the index is not rebuilt for each; r.mu is held.
func (r *Registry) invalidateIndex() { r.byService = nil }

// indexByService returns the upstreams in service by service, rebuilding the index if needed; r.mu is
// held.
func (r *Registry) indexByService() map[string][]Upstream {
	if r.byService != nil {
		return r.byService
	}
	byService := map[string][]Upstream{}
	for _, u := range r.entries {
		if !u.Leaving && !r.emptied.domains[u.Domain] {
			byService[u.Service] = append(byService[u.Service], u)
		}
	}
	for _, list := range byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	r.byService = byService
	return byService
}

// InService returns a service's upstreams that accept requests, ordered by ID. The slice must not be
// modified.
func (r *Registry) InService(service string) []Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.indexByService()[service]
}

// AllInService returns the upstreams of all services that accept requests.
func (r *Registry) AllInService() []Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Upstream
	for _, list := range r.indexByService() {
		all = append(all, list...)
	}
	return all
}

// IsInService reports whether an upstream of a service accepts requests at an address.
func (r *Registry) IsInService(service, id, address string) bool {
	list := r.InService(service)
	n, found := slices.BinarySearchFunc(list, id, func(u Upstream, id string) int { return strings.Compare(u.ID, id) })
	return found && list[n].Address == address
}

// VersionOf returns the software version of the process of an upstream that started at a time, in Unix
// milliseconds; false if its entry is not known, or is that of another process.
func (r *Registry) VersionOf(id string, born int64) (version string, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, known := r.entries[id]
	if !known || entry.Born != born {
		return "", false
	}
	return entry.Version, true
}

// AdvanceTo records that every change up to a position has been applied.
func (r *Registry) AdvanceTo(position store.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.position = store.Later(r.position, position)
}

// Synced reports whether a full list has been read at least once.
func (r *Registry) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.position.IsZero()
}
