package router

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// memberKind is the kind of the instances' own entries in the store.
const memberKind = "instances"

// How instances meet.
const (
	// meetRetry is how often an instance that knows no other looks for one.
	meetRetry = 250 * time.Millisecond
	// seedsFirst is how often it asks the seeds in vain before it asks the store: machines
	// that start together refuse connections for some hundred milliseconds.
	seedsFirst = 4
	// storeRetry is how often it reads the store's list while it knows no other.
	storeRetry = 2 * time.Second
	// meetAgain is how often one that knows others sends to a seed that is none of them: two
	// groups that started apart find each other through it.
	meetAgain = 10 * time.Second
	// settlesWithin is how long after the first contact the others count as known, though
	// answers may still show other tables because instances come all the time. Tables are whole
	// within 1.3 s where 295 start at once.
	settlesWithin = 2 * time.Second
	// registrars is how many instances of a region have an entry in the store, for those whose
	// seeds are all gone. If each had one, a start of all would be as many writes, and as many
	// lists of all.
	registrars = 3
	// registrarKey is what the instances of a region are ranked for (rendezvous hashing) to
	// have an entry.
	registrarKey = "registrars"
)

// meeting is how far this instance has met the others.
type meeting struct {
	// first is when another was first met; nil before.
	first atomic.Pointer[time.Time]
	// nobody says that the store lists nobody that answers.
	nobody atomic.Bool
	// registered says that the store has this instance's entry; it may lose it.
	registered atomic.Bool
}

// joined reports whether the others are known.
func (r *Router) joined() bool {
	if r.meeting.nobody.Load() || r.gossip.Agreed() {
		return true
	}
	first := r.meeting.first.Load()
	return first != nil && time.Since(*first) > settlesWithin
}

// met notes that another instance was met.
func (r *Router) met() {
	now := time.Now()
	r.meeting.first.CompareAndSwap(nil, &now)
}

// meet makes this instance known and learns of the others: from the seeds, and from the store
// where no seed answers. From then on heartbeats do.
func (r *Router) meet(ctx context.Context) {
	for failed := 0; ctx.Err() == nil; {
		interval := meetAgain
		if !r.joinSeeds(ctx) && r.alone() {
			failed++
			interval = meetRetry
			if failed >= seedsFirst || len(r.settings.Seeds) == 0 {
				r.meetThroughStore(ctx)
				interval = storeRetry
			}
		}
		r.registerIfRanked(ctx)
		pause.For(ctx, interval/2+rand.N(interval))
	}
}

// meetAt makes the instance at an address known; if it does not answer it is not.
func (r *Router) meetAt(address string) {
	if err := r.gossip.Join(r.background, address); err != nil {
		r.log.Event(eventlog.MembersUnknown, "", eventlog.Fields{"step": "meet", "peer": address, "cause": err.Error()})
	}
}

func (r *Router) alone() bool { return len(r.table.Others()) == 0 }

// joinSeeds sends to the seeds that are no members, and reports whether one answered.
func (r *Router) joinSeeds(ctx context.Context) bool {
	var answered atomic.Bool
	var asked sync.WaitGroup
	for _, seed := range r.unmetSeeds() {
		asked.Go(func() {
			if r.gossip.Join(ctx, seed) == nil {
				answered.Store(true)
				r.met()
			}
		})
	}
	asked.Wait()
	return answered.Load()
}

// unmetSeeds returns the seeds' addresses at which no member is known to live.
func (r *Router) unmetSeeds() []string {
	known := map[string]bool{r.settings.PeerAddress: true}
	for _, m := range r.table.Others() {
		known[m.PeerAddress] = true
	}
	var unmet []string
	for _, seed := range r.settings.Seeds {
		if !known[seed] {
			unmet = append(unmet, seed)
		}
	}
	return unmet
}

// meetThroughStore registers this instance and sends to those that the store lists. A group of
// instances that all lack their seeds meets in this way: each finds what was written before its
// own entry, so of two at least one finds the other.
func (r *Router) meetThroughStore(ctx context.Context) {
	if !r.meeting.registered.Load() {
		r.register(ctx)
	}
	list, err := r.store.List(ctx, memberKind)
	if err != nil {
		r.log.Event(eventlog.MembersUnknown, "", eventlog.Fields{"step": "list instances", "cause": err.Error()})
		return
	}
	for _, object := range list.Objects {
		var m memberpb.Member
		if err := json.Unmarshal(object.Value, &m); err != nil {
			r.log.Event(eventlog.ConfigRejected, "", eventlog.Fields{"peer": object.Key, "cause": err.Error()})
			continue
		}
		if m.PeerAddress != r.settings.PeerAddress && r.gossip.Join(ctx, m.PeerAddress) == nil {
			r.met()
			return // it knows the others
		}
	}
	r.meeting.nobody.Store(true)
}

// registerIfRanked writes this instance's entry if it is one of those that have one.
func (r *Router) registerIfRanked(ctx context.Context) {
	if !r.meeting.registered.Load() && r.joined() && r.table.RankInRegion(registrarKey) < registrars {
		r.register(ctx)
	}
}

// register writes this instance's entry; what failed is tried again later.
func (r *Router) register(ctx context.Context) {
	value, err := json.Marshal(r.table.Self())
	if err == nil {
		change := func([]byte) ([]byte, error) { return value, nil }
		err = store.Update(ctx, r.store, memberKind+"/"+r.settings.Name, change)
	}
	if err != nil {
		r.log.Event(eventlog.MembersUnknown, "", eventlog.Fields{"step": "register", "cause": err.Error()})
		return
	}
	r.meeting.registered.Store(true)
}
