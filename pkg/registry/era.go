package registry

import (
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// Bounds of what is remembered of upstreams that left.
const (
	// departedFor is for how long: a copy that the store comes back from is some seconds old.
	departedFor = time.Minute
	// mostDeparted is how many: of 300 upstreams that are all replaced each leaves once.
	mostDeparted = 1024
)

// departure is an upstream that had said that it leaves and whose entry is gone.
type departure struct {
	born  int64
	until time.Time
}

// depart remembers an upstream whose entry goes, if it had said that it leaves; r.mu is held.
func (r *Registry) depart(u Upstream) {
	if !u.Leaving {
		return
	}
	now := r.now()
	for id, d := range r.departed {
		if now.After(d.until) || len(r.departed) >= mostDeparted {
			delete(r.departed, id)
		}
	}
	r.departed[u.ID] = departure{born: u.Born, until: now.Add(departedFor)}
}

// crossEra looks through the first list of a later era. The store came back from a copy: an
// upstream that has said since that it leaves stands there as in service, and would get work that
// is cut off when it goes. It counts as leaving until its entry is written again. Entries that the
// copy lacks may be of live upstreams, which write them again; r.mu is held.
func (r *Registry) crossEra(list []Upstream) {
	r.doubted = map[string]store.Position{}
	for i := range list {
		if u := &list[i]; !u.Leaving && r.saidItLeaves(u) {
			u.Leaving = true
			r.doubted[u.ID] = u.Written
		}
	}
	r.returned = r.now()
}

func (r *Registry) saidItLeaves(u *Upstream) bool {
	if before, known := r.entries[u.ID]; known {
		return before.Leaving && before.Born == u.Born
	}
	d, departed := r.departed[u.ID]
	return departed && d.born == u.Born && r.now().Before(d.until)
}

// doubt returns an entry as it is to be taken: as leaving while the upstream has not written it
// since the store went back; r.mu is held.
func (r *Registry) doubt(u Upstream) Upstream {
	at, doubted := r.doubted[u.ID]
	if !doubted {
		return u
	}
	if u.Written == at {
		u.Leaving = true
		return u
	}
	delete(r.doubted, u.ID)
	return u
}
