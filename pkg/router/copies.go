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

// The copies of the store, by what the instances call them.
const (
	copyRouting   = "routing"
	copyUpstreams = "upstreams"
	copyEmptied   = "emptied"
)

// provisionCopies makes the followers of the configuration and of the upstreams.
func (r *Router) provisionCopies() {
	bad := func(err error) {
		r.log.Event(eventlog.ConfigRejected, "", eventlog.Fields{"cause": err.Error()})
	}
	config := r.platform.Config(r.store, r.applyConfig, bad)
	upstreams := r.platform.Upstreams(r.store, r.registry, r.upstreamsChanged, bad)
	upstreams.OutageEnded = r.registry.OutageEnded
	emptied := r.platform.Emptied(r.store, r.registry, r.domainsChanged)
	if bound := r.settings.EmptyingBound(); bound > r.settings.ChangeBound() {
		emptied.Timing = follow.TimingWithin(bound)
	}
	r.copies = map[string]*follow.Follower{copyRouting: config, copyUpstreams: upstreams, copyEmptied: emptied}
	for name, copied := range r.copies {
		r.joinCopy(name, copied)
	}
	r.alarm = follow.Alarm{Tell: r.tellCopyAge}
	r.publisher = follow.NewPublisher(r.incarnation, r.copies, copyPeers{r}, follow.TimingFor(r.settings.ChangeBound()))
}

// joinCopy ties one follower to the log and to the other duties.
func (r *Router) joinCopy(name string, copied *follow.Follower) {
	copied.Lost = func(err error) { r.lostStore(name, err) }
	copied.Found = func(outage bool) {
		// Another instance's word that the store answers it counts too: what this one
		// needs of the store it has through others.
		r.noteStore(nil)
		switch {
		case name != copyUpstreams:
		case outage:
			r.registry.OutageEnded(0)
		default:
			r.registry.StoreReached()
		}
	}
	copied.Obtain = func(ctx context.Context) bool { return r.obtain(ctx, name) }
	copied.EraReached = func(era store.Era) { r.tokens.HeardEra(uint64(era)) }
	copied.Renewed = func(reason follow.Reason, waited time.Duration) {
		r.log.Event(eventlog.WatchRenewed, "", eventlog.Fields{
			"copy": name, "reason": reason, "waited_ms": waited.Milliseconds(),
		})
	}
}

// lostStore notes that the store does not answer for a copy, and asks another instance for all.
func (r *Router) lostStore(name string, err error) {
	r.tellWatchFailed(name, err)
	if name == copyUpstreams && !r.copies[name].ConfirmedLately() {
		r.registry.StoreOut()
	}
	r.publisher.AskAround(r.background)
}

// How a first copy is obtained.
const (
	// firstCopyTimeout bounds a question for a first copy to another instance.
	firstCopyTimeout = 300 * time.Millisecond
	// obtainEvery is how often an instance that starts asks others for a first copy.
	obtainEvery = 100 * time.Millisecond
	// obtainFor is how long it asks them before it asks the store, and obtainSpread the time
	// over which those that start at once do so: with all seeds gone, 300 of them read some
	// lists of the store each.
	obtainFor    = time.Second
	obtainSpread = time.Second
	// unansweredFor is how long it asks where nobody answers: machines that start together
	// do so within some hundred milliseconds, and refuse connections until then.
	unansweredFor = 500 * time.Millisecond
	// obtainAsked is how many instances are asked at a time.
	obtainAsked = 3
)

// obtain asks other instances for a first copy: those known, and the seeds, which read the
// store themselves. If each instance that starts read the store, a start of all were some
// lists of hundreds of entries each, page by page. It reports false when the store is to be
// asked.
func (r *Router) obtain(ctx context.Context, name string) bool {
	spread := rand.N(obtainSpread)
	answered := false
	for began := time.Now(); ctx.Err() == nil; {
		for _, address := range r.copyHolders() {
			further, err := r.fetchCopy(ctx, name, address)
			if further {
				return true
			}
			answered = answered || err == nil
		}
		waited := time.Since(began)
		if r.isSeed() || waited >= obtainFor+spread || (!answered && waited >= unansweredFor+spread/2) {
			return false
		}
		pause.For(ctx, obtainEvery/2+rand.N(obtainEvery))
	}
	return false
}

// isSeed reports that others look for this instance first.
func (r *Router) isSeed() bool { return slices.Contains(r.settings.Seeds, r.settings.PeerAddress) }

func (r *Router) fetchCopy(ctx context.Context, name, address string) (further bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, firstCopyTimeout)
	defer cancel()
	further, _, err = r.publisher.FetchFrom(ctx, name, address)
	return further, err
}

// copyHolders returns where some other instances are reached that may have copies.
func (r *Router) copyHolders() []string {
	addresses := copyPeers{r}.Addresses()
	for _, seed := range r.meeting.UnmetSeeds() {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(obtainAsked, len(addresses))]
}

// copyPeers are the other instances of the region. It implements follow.Peers.
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
	return p.r.peers.FetchChanges(ctx, address, request)
}

// Confirm implements follow.Peers. Who does not answer is told of by the heartbeats.
func (p copyPeers) Confirm(ctx context.Context, address string, confirmation *followpb.Confirmation) error {
	err := p.r.peers.Confirm(ctx, address, confirmation)
	if err != nil {
		metrics.GetOrRegisterCounter("copies.confirmations_lost", p.r.metrics).Inc(1)
	}
	return err
}

// Confirm implements the copies service.
func (r *Router) Confirm(_ context.Context, confirmation *followpb.Confirmation) (*followpb.ConfirmReply, error) {
	r.table.Heard(confirmation.From)
	r.tokens.HeardEra(eraIn(confirmation))
	r.publisher.Take(confirmation)
	return &followpb.ConfirmReply{}, nil
}

// eraIn is the latest era of the store that a confirmation tells of.
func eraIn(confirmation *followpb.Confirmation) uint64 {
	era := uint64(0)
	for _, state := range confirmation.Copies {
		era = max(era, state.Era)
	}
	return era
}

// FetchChanges implements the copies service.
func (r *Router) FetchChanges(_ context.Context, request *followpb.FetchRequest) (*followpb.FetchReply, error) {
	return r.publisher.HandOn(request)
}

func (r *Router) tellWatchFailed(name string, err error) {
	fields := eventlog.Fields{"copy": name, "cause": err.Error()}
	if age, read := r.copies[name].Age(); read {
		fields["age_ms"] = age.Milliseconds()
	}
	r.log.Event(eventlog.WatchFailed, "", fields)
}

func (r *Router) tellCopyAge(report follow.AgeReport) {
	if report.Old {
		metrics.GetOrRegisterCounter("copies.old", r.metrics).Inc(1)
	}
	r.log.Event(eventlog.CopyOld, "", eventlog.Fields{
		"copy": report.Copy, "old": report.Old, "age_ms": report.Age.Milliseconds(), "store_answers": report.StoreAnswers,
	})
}

// copyAges tells, by copy and in milliseconds, for how long nothing has confirmed it.
func (r *Router) copyAges() map[string]int64 {
	ages := map[string]int64{}
	for name, copied := range r.copies {
		if age, read := copied.Age(); read {
			ages[name] = age.Milliseconds()
		}
	}
	return ages
}
