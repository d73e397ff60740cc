package registry

import "time"

// goneOccupantLifetime is how long the last incarnation at an address is kept after its entry was
// removed. An upstream that crashed is back at its address within seconds.
const goneOccupantLifetime = 30 * time.Second

// occupant is the last known incarnation at an address.
type occupant struct {
	Upstream
	// goneAt is when its entry was removed; zero while the entry exists.
	goneAt time.Time
}

// Superseded is an incarnation whose address another one now uses although it had not announced that
// it leaves, so it probably crashed.
type Superseded struct {
	Address     string
	Incarnation string
	// Gone is when its entry was removed, or, if it still existed, when the next incarnation was
	// seen.
	Gone time.Time
}

// setOccupant records which incarnation is at an address; r.mu is held.
func (r *Registry) setOccupant(u Upstream) {
	before, known := r.occupants[u.Address]
	if known && before.Incarnation() != u.Incarnation() {
		if !before.Written.Before(u.Written) {
			return // a list may still contain entries of processes that have already ended
		}
		if !before.Leaving {
			r.recordSuperseded(&before)
		}
	}
	r.occupants[u.Address] = occupant{Upstream: u}
}

func (r *Registry) recordSuperseded(before *occupant) {
	goneAt := before.goneAt
	if goneAt.IsZero() {
		goneAt = r.now()
	}
	r.superseded = append(r.superseded, Superseded{
		Address: before.Address, Incarnation: before.Incarnation(), Gone: goneAt,
	})
}

// markOccupantGone records that an upstream's entry was removed, and deletes expired records; r.mu is
// held.
func (r *Registry) markOccupantGone(u *Upstream) {
	r.removeGoneOccupants()
	if last, known := r.occupants[u.Address]; known && last.Incarnation() == u.Incarnation() && last.goneAt.IsZero() {
		last.goneAt = r.now()
		r.occupants[u.Address] = last
	}
}

func (r *Registry) removeGoneOccupants() {
	for address, last := range r.occupants {
		if !last.goneAt.IsZero() && r.now().Sub(last.goneAt) > goneOccupantLifetime {
			delete(r.occupants, address)
		}
	}
}

// TakeSuperseded returns the incarnations that were superseded since the previous call.
func (r *Registry) TakeSuperseded() []Superseded {
	r.mu.Lock()
	defer r.mu.Unlock()
	superseded := r.superseded
	r.superseded = nil
	return superseded
}

// At returns the last known upstream at an address, in service or not.
func (r *Registry) At(address string) (Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.occupants[address]
	return last.Upstream, known
}
