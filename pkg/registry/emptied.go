package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// lostEmptiedLifetime is how long a domain still counts as emptied after the store was rolled back to
// a copy that does not list it. Operators write the list again within seconds.
const lostEmptiedLifetime = 10 * time.Second

// emptiedDomains holds the failure domains whose upstreams get no requests.
type emptiedDomains struct {
	// position is the store position up to which changes are applied to domains; zero before the
	// first list.
	position store.Position
	domains  map[string]bool
	// retainedUntil holds, for the domains that the store no longer lists after a rollback, the time until
	// which they still count as emptied.
	retainedUntil map[string]time.Time
	// changes holds the domains that were emptied or restored since the last TakeDomainChanges.
	changes []DomainChange
}

// DomainChange reports that a failure domain was emptied, or that its upstreams are in service again.
type DomainChange struct {
	Domain  string
	Emptied bool
}

// ReplaceEmptiedDomains replaces the emptied domains by the full list at a position. A list older than the
// present one is ignored.
func (r *Registry) ReplaceEmptiedDomains(domains []string, position store.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.emptied
	if position.Before(e.position) {
		return
	}
	newEra := !e.position.IsZero() && position.Era != e.position.Era
	e.position = position
	for _, domain := range slices.Sorted(maps.Keys(e.domains)) {
		switch {
		case slices.Contains(domains, domain):
		case newEra:
			e.retainedUntil[domain] = r.now().Add(lostEmptiedLifetime)
		default:
			r.restoreDomainUnlessRetained(domain)
		}
	}
	for _, domain := range domains {
		r.emptyDomain(domain)
	}
	r.invalidateIndex()
}

// EmptyDomain takes a domain's upstreams out of service until RestoreDomain is called.
func (r *Registry) EmptyDomain(domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.emptyDomain(domain)
	r.invalidateIndex()
}

func (r *Registry) emptyDomain(domain string) {
	delete(r.emptied.retainedUntil, domain)
	if r.emptied.domains[domain] {
		return
	}
	r.emptied.domains[domain] = true
	r.emptied.changes = append(r.emptied.changes, DomainChange{Domain: domain, Emptied: true})
}

// RestoreDomain puts a domain's upstreams back into service.
func (r *Registry) RestoreDomain(domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restoreDomain(domain)
	r.invalidateIndex()
}

func (r *Registry) restoreDomain(domain string) {
	delete(r.emptied.retainedUntil, domain)
	if !r.emptied.domains[domain] {
		return
	}
	delete(r.emptied.domains, domain)
	r.emptied.changes = append(r.emptied.changes, DomainChange{Domain: domain})
}

// restoreDomainUnlessRetained restores a domain that the store does not list, unless its time in
// retainedUntil has not passed yet; r.mu is held.
func (r *Registry) restoreDomainUnlessRetained(domain string) {
	if until, held := r.emptied.retainedUntil[domain]; !held || !r.now().Before(until) {
		r.restoreDomain(domain)
	}
}

// AdvanceEmptiedDomainsTo records that every change of the emptied domains up to a position has been
// applied.
func (r *Registry) AdvanceEmptiedDomainsTo(position store.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.emptied.position = store.Later(r.emptied.position, position)
}

// ExpireEmptiedDomains restores the domains that the store lost in a rollback and that operators have not
// emptied again within lostEmptiedLifetime. It reports whether there were any.
func (r *Registry) ExpireEmptiedDomains() (restored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for domain, until := range r.emptied.retainedUntil {
		if !r.now().Before(until) {
			r.restoreDomain(domain)
			restored = true
		}
	}
	if restored {
		r.invalidateIndex()
	}
	return restored
}

// SyncedEmptiedDomains reports whether the full list of emptied domains has been read at least once.
func (r *Registry) SyncedEmptiedDomains() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.emptied.position.IsZero()
}

// EmptiedDomains returns the emptied domains in sorted order.
func (r *Registry) EmptiedDomains() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.emptied.domains))
}

// TakeDomainChanges returns the domains that were emptied or restored since the previous call.
func (r *Registry) TakeDomainChanges() []DomainChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := r.emptied.changes
	r.emptied.changes = nil
	return changes
}
