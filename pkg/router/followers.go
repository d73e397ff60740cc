package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/follow"
	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Names that instances use among themselves for the copies of the store.
const (
	copyRouting   = "routing"
	copyUpstreams = "upstreams"
	copyEmptied   = "emptied"
)

// provisionFollowers creates the followers of the configuration, the upstreams and the emptied
// failure domains.
func (r *Router) provisionFollowers() {
	reject := func(err error) {
		r.log.Event(eventlog.ConfigRejected, "", eventlog.Fields{"cause": err.Error()})
	}
	config := r.platform.NewConfigFollower(r.store, r.onConfig, reject)
	upstreams := r.platform.NewUpstreamFollower(r.store, r.registry, r.onUpstreams, reject)
	upstreams.OnOutageEnded = r.registry.NoteOutageEnd
	emptied := r.platform.NewEmptiedFollower(r.store, r.registry, r.onEmptiedDomains)
	if bound := r.settings.EmptyingBound(); bound > r.settings.ChangeBound() {
		emptied.Timing = follow.RelaxedTimingFor(bound)
	}
	r.followers = map[string]*follow.Follower{copyRouting: config, copyUpstreams: upstreams, copyEmptied: emptied}
	for name, follower := range r.followers {
		r.setCallbacks(name, follower)
	}
	r.ageMonitor = follow.AgeMonitor{Report: r.reportCopyAge}
	r.publisher = follow.NewPublisher(r.incarnation, r.followers, copyPeers{r}, follow.TimingFor(r.settings.ChangeBound()))
	r.publisher.OnContradiction = r.reportContradiction
	r.validity = follow.NewValidity(r.publisher, &r.hearing, map[string]time.Duration{
		copyRouting:   r.settings.ConfigBound(),
		copyUpstreams: r.settings.LeavingBound(),
		copyEmptied:   max(r.settings.EmptyingBound(), r.settings.ChangeBound()),
	})
	r.forward.Validity = r.validity
}

// setCallbacks connects a follower to the log and to the rest of the instance.
func (r *Router) setCallbacks(name string, follower *follow.Follower) {
	follower.OnCallFailed = func(err error) { r.handleCallFailed(name, err) }
	follower.OnStoreRecovered = func(outage bool) {
		// OnStoreRecovered is also called when confirmations show that the store answers other
		// instances. This counts as available, too: this instance gets what it needs from the
		// store through them.
		r.recordStoreResult(nil)
		switch {
		case name != copyUpstreams:
		case outage:
			r.registry.NoteOutageEnd(0)
		default:
			r.registry.NoteStoreAvailable()
		}
	}
	follower.OnAnswer = r.hearing.HeardAfter
	follower.FetchInitial = func(ctx context.Context) bool { return r.fetchInitialCopy(ctx, name) }
	follower.OnEra = func(era store.Era) { r.tokens.NotePeerEra(uint64(era)) }
	follower.OnWatchStarted = func(reason follow.Reason, waited time.Duration) {
		r.log.Event(eventlog.WatchRenewed, "", eventlog.Fields{
			"copy": name, "reason": reason, "waited_ms": waited.Milliseconds(),
		})
	}
}

// upstreamsAge returns the time since the copy of the upstreams was last known to be complete; false if it
// never was.
func (r *Router) upstreamsAge() (age time.Duration, known bool) {
	return r.followers[copyUpstreams].Age()
}

// configCurrent reports whether the configuration in force was the newest one within the time that a
// change may take.
func (r *Router) configCurrent() bool {
	return r.followers[copyRouting].CurrentWithin(r.settings.ChangeBound())
}

// handleCallFailed logs a call to the store that failed for a copy, and queries another instance for all
// copies.
func (r *Router) handleCallFailed(name string, err error) {
	r.logWatchFailed(name, err)
	if name == copyUpstreams && !r.followers[name].ConfirmedRecently() {
		r.registry.NoteOutageStart()
	}
	r.publisher.QueryRandomPeer(r.backgroundCtx)
}

// Parameters of how a starting instance fetches its first copies.
const (
	// initialFetchTimeout bounds a request for a first copy to another instance.
	initialFetchTimeout = 300 * time.Millisecond
	// initialFetchInterval is how often a starting instance requests a first copy from others.
	initialFetchInterval = 100 * time.Millisecond
	// maxInitialFetchTime is how long a starting instance requests a first copy before it reads
	// the store. initialFetchJitter spreads the reads of instances that start at once: with all
	// seeds gone, 300 instances read several lists of the store each.
	maxInitialFetchTime = time.Second
	initialFetchJitter  = time.Second
	// maxUnansweredTime replaces maxInitialFetchTime while no instance has answered: instances
	// that start together are up within a few hundred milliseconds of each other, and refuse
	// connections until then.
	maxUnansweredTime = 500 * time.Millisecond
	// numInitialFetchPeers is how many instances are queried in each round.
	numInitialFetchPeers = 3
)

// fetchInitialCopy requests a first copy from other instances: the known ones and the seeds, which
// read the store themselves. If each starting instance read the store, a start of all instances would
// read several lists of hundreds of entries, page by page, for each of them. It reports false if the
// copy must be read from the store.
func (r *Router) fetchInitialCopy(ctx context.Context, name string) bool {
	spread := rand.N(initialFetchJitter)
	answered := false
	for began := time.Now(); ctx.Err() == nil; {
		for _, address := range r.copyCandidates() {
			advanced, err := r.fetchCopy(ctx, name, address)
			if advanced {
				return true
			}
			answered = answered || err == nil
		}
		waited := time.Since(began)
		if r.isSeed() || waited >= maxInitialFetchTime+spread || (!answered && waited >= maxUnansweredTime+spread/2) {
			return false
		}
		pause.For(ctx, initialFetchInterval/2+rand.N(initialFetchInterval))
	}
	return false
}

// isSeed reports whether this instance is one of the seeds, which others contact first.
func (r *Router) isSeed() bool { return slices.Contains(r.settings.Seeds, r.settings.PeerAddress) }

func (r *Router) fetchCopy(ctx context.Context, name, address string) (advanced bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, initialFetchTimeout)
	defer cancel()
	advanced, _, err = r.publisher.FetchFrom(ctx, name, address)
	return advanced, err
}

// copyCandidates returns the addresses of up to numInitialFetchPeers other instances that may have copies.
func (r *Router) copyCandidates() []string {
	addresses := copyPeers{r}.Addresses()
	for _, seed := range r.discovery.UnknownSeeds() {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(numInitialFetchPeers, len(addresses))]
}

// copyPeers implements follow.Peers with the other instances of the region.
type copyPeers struct{ r *Router }

// Rank implements follow.Peers.
func (p copyPeers) Rank() int { return p.r.table.RankInRegion(follow.RankKey) }

// Addresses implements follow.Peers.
func (p copyPeers) Addresses() []string {
	var addresses []string
	for _, m := range p.r.table.OthersInRegion() {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses
}

// AddressOf implements follow.Peers.
func (p copyPeers) AddressOf(incarnation string) string { return p.r.table.Address(incarnation) }

// Fetch implements follow.Peers.
func (p copyPeers) Fetch(
	ctx context.Context, address string, request *followpb.FetchRequest,
) (*followpb.FetchReply, error) {
	request.Asker = p.r.settings.PeerAddress
	began := time.Now()
	reply, err := p.r.peers.FetchChanges(ctx, address, request)
	if err == nil {
		p.r.hearing.HeardAfter(time.Since(began))
	}
	return reply, err
}

// Confirm implements follow.Peers. A lost confirmation is only counted: the heartbeats detect
// instances that do not answer.
func (p copyPeers) Confirm(ctx context.Context, address string, confirmation *followpb.Confirmation) error {
	err := p.r.peers.Confirm(ctx, address, confirmation)
	if err != nil {
		metrics.GetOrRegisterCounter("copies.confirmations_lost", p.r.metrics).Inc(1)
	}
	return err
}

// Confirm implements the copies service.
func (r *Router) Confirm(_ context.Context, confirmation *followpb.Confirmation) (*followpb.ConfirmReply, error) {
	r.notePeerHeard(confirmation.From)
	r.tokens.NotePeerEra(latestEra(confirmation))
	r.publisher.HandleConfirmation(confirmation)
	return &followpb.ConfirmReply{}, nil
}

// latestEra returns the latest era of the store in a confirmation.
func latestEra(confirmation *followpb.Confirmation) uint64 {
	era := uint64(0)
	for _, state := range confirmation.Copies {
		era = max(era, state.Era)
	}
	return era
}

// FetchChanges implements the copies service.
func (r *Router) FetchChanges(_ context.Context, request *followpb.FetchRequest) (*followpb.FetchReply, error) {
	return r.publisher.HandleFetch(request)
}

func (r *Router) logWatchFailed(name string, err error) {
	fields := eventlog.Fields{"copy": name, "cause": err.Error()}
	if age, read := r.followers[name].Age(); read {
		fields["age_ms"] = age.Milliseconds()
	}
	r.log.Event(eventlog.WatchFailed, "", fields)
}

func (r *Router) reportCopyAge(report follow.AgeReport) {
	if report.Stale {
		metrics.GetOrRegisterCounter("copies.old", r.metrics).Inc(1)
	}
	r.log.Event(eventlog.CopyOld, "", eventlog.Fields{
		"copy": report.Copy, "old": report.Stale, "age_ms": report.Age.Milliseconds(), "store_answers": report.StoreAnswers,
	})
}

func (r *Router) reportContradiction(found follow.Contradiction) {
	metrics.GetOrRegisterCounter("copies.contradicted", r.metrics).Inc(1)
	r.log.Event(eventlog.CopyContradicted, "", eventlog.Fields{
		"copy": found.Copy, "peer": found.Peer, "last_change": found.LastChange.String(),
		"position": found.Position.String(), "object": found.Object.String(),
	})
}

// copyAges returns, by copy, for how many milliseconds nothing has confirmed it.
func (r *Router) copyAges() map[string]int64 {
	ages := map[string]int64{}
	for name, follower := range r.followers {
		if age, read := follower.Age(); read {
			ages[name] = age.Milliseconds()
		}
	}
	return ages
}
