package follow

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// RankKey is the key by which the live instances of a region are ranked (rendezvous hashing). The
// first one sends short watches and publishes their results.
const RankKey = "copies"

// maxPublishers is the number of ranks that may publish. Each takes over when no confirmation
// arrives from those before it: a store that refuses some instances may refuse the very ones that
// read it. The remaining ranks only update themselves: in an outage all instances send short
// watches, and if all published to all, the number of messages would be quadratic in the size of
// the fleet.
const maxPublishers = 20

// batchPause is the pause before a confirmation without a change: the watches of all copies end
// together, and one message covers all of them.
const batchPause = 20 * time.Millisecond

// maxInlineBytes bounds the changes that a confirmation carries. Sent to 300 instances they are a
// megabyte, half a second of a 20 Mbit/s link. Larger changes are served from one instance to
// several others each (see catchUp).
const maxInlineBytes = 4 << 10

// Publisher publishes the results of this instance's watches to the other instances, handles their
// confirmations, and serves copies to them. Use NewPublisher to create one.
type Publisher struct {
	self      string
	followers map[string]*Follower
	peers     Peers
	timing    Timing
	// publishDue receives when there is something to publish: true for a change.
	publishDue chan bool
	server     copyServer
	// startedAt is the origin of this instance's clock in confirmations.
	startedAt time.Time
	clocks    peerClocks
	// OnContradiction is called once for each statement of another instance that this instance's
	// copy contradicts; it may be nil. It must be set before Run is called.
	OnContradiction func(Contradiction)
	// onReply is called for each reply of another instance about a copy, with the age of that copy and how long
	// the reply took; it may be nil.
	onReply func(name string, age, took time.Duration)
	// lastPublished holds the position in this instance's last confirmation, by name; used by Run
	// only.
	lastPublished map[string]store.Position

	mu sync.Mutex
	// catchingUp holds the copies that are being brought up to a published position; querying holds
	// the copies for which another instance is being queried; comparing holds the incarnations with
	// whose clocks this instance's is being compared.
	catchingUp, querying, comparing map[string]bool
	// lastContradiction holds the last contradiction that was reported, by name.
	lastContradiction map[string]Contradiction
}

// Peers gives a publisher access to the other instances.
type Peers interface {
	// Rank returns this instance's rank among those of its region; 0 is the first.
	Rank() int
	// Addresses returns the addresses of the others in the region.
	Addresses() []string
	// AddressOf returns the address of an incarnation; empty if unknown.
	AddressOf(incarnation string) string
	// Confirm sends a confirmation to an instance. It returns within a bounded time, with an error
	// if the instance did not receive it.
	Confirm(ctx context.Context, address string, confirmation *followpb.Confirmation) error
	// Fetch requests changes from an instance; it returns within a bounded time.
	Fetch(ctx context.Context, address string, request *followpb.FetchRequest) (*followpb.FetchReply, error)
}

// NewPublisher returns the publisher of an incarnation and attaches the followers to it, by the
// names that the instances use for them. The timing applies to followers that have none of their
// own, and must be the same at all instances.
func NewPublisher(self string, followers map[string]*Follower, peers Peers, timing Timing) *Publisher {
	p := &Publisher{
		self:          self,
		followers:     followers,
		peers:         peers,
		timing:        timing,
		publishDue:    make(chan bool, 1),
		server:        copyServer{cache: map[string]packedCopy{}},
		startedAt:     time.Now(),
		lastPublished: map[string]store.Position{},
		catchingUp:    map[string]bool{},
		querying:      map[string]bool{},
		comparing:     map[string]bool{},

		lastContradiction: map[string]Contradiction{},
	}
	breaker, schedule := &CircuitBreaker{}, newWatchSchedule(timing.WatchTimeout)
	for name, follower := range followers {
		if follower.Timing == (Timing{}) {
			follower.Timing, follower.schedule = timing, schedule
		} else {
			follower.schedule = newWatchSchedule(follower.Timing.WatchTimeout)
		}
		own := follower.Timing
		follower.ConfirmTimeout = func() time.Duration { return own.ConfirmTimeout(peers.Rank()) }
		follower.OnCallAnswered = p.schedulePublish
		follower.OnConfirmationsMissing = func(ctx context.Context) { p.querySomePeers(ctx, name) }
		follower.Breaker = breaker
		follower.MayProbe = func() bool { return p.probeCopy() == name }
	}
	return p
}

// probeCopy returns the name of the copy for which a store that does not answer is called: the
// smallest of those that need the store, since the answer that ends an outage is sent to all
// instances at once.
func (p *Publisher) probeCopy() string {
	smallest, minSize := "", 0
	for name, follower := range p.followers {
		if !follower.needsStore() {
			continue
		}
		size := follower.contents.byteSize()
		if smallest == "" || size < minSize || (size == minSize && name < smallest) {
			smallest, minSize = name, size
		}
	}
	return smallest
}

// schedulePublish schedules a confirmation after an answered call. A change is published at once,
// since a copy whose watch lost its answer learns of the change from the publication. An answer
// without a change is published together with those of the other watches.
func (p *Publisher) schedulePublish(changed bool) {
	select {
	case p.publishDue <- changed:
		return
	default:
	}
	if !changed {
		return // a publication is already due
	}
	select {
	case <-p.publishDue:
	default:
	}
	select {
	case p.publishDue <- true:
	default: // another change is due
	}
}

// Run publishes until ctx ends. It publishes only what the store has just answered, so a
// confirmation is as fresh as the call behind it.
func (p *Publisher) Run(ctx context.Context) {
	for {
		select {
		case changed := <-p.publishDue:
			if !changed {
				pause.For(ctx, batchPause)
			}
		case <-ctx.Done():
			return
		}
		if confirmation, hasChange := p.confirmation(); confirmation != nil {
			p.publish(ctx, confirmation, hasChange)
		}
	}
}

// confirmation returns what this instance has to publish, nil for nothing, and whether that
// contains a change. Copies that another instance confirms are left out, and so are those whose
// last read is too old to confirm anything.
func (p *Publisher) confirmation() (c *followpb.Confirmation, hasChange bool) {
	if p.peers.Rank() >= maxPublishers {
		return nil, false
	}
	var states []*followpb.CopyState
	madeAt := p.clockMillis() // before any age is determined
	for name, follower := range p.followers {
		known := follower.fresh.statement()
		if known.read && known.readAge < follower.Timing.LastTimeout && follower.WatchesStore() {
			hasChange = hasChange || p.lastPublished[name].Before(known.lastChanged)
			states = append(states, p.copyState(name, follower, known))
		}
	}
	if len(states) == 0 {
		return nil, false
	}
	return &followpb.Confirmation{From: p.self, Copies: states, MadeAtMs: madeAt}, hasChange
}

// clock returns what this instance's monotonic clock shows.
func (p *Publisher) clock() time.Duration { return time.Since(p.startedAt) }

// clockMillis returns what this instance's clock shows, as in Confirmation.MadeAtMs.
func (p *Publisher) clockMillis() int64 { return p.clock().Milliseconds() + 1 }

// copyState returns the state of one copy, with the changes since it was last published, or the
// whole copy if these are not known, unless they are large.
func (p *Publisher) copyState(name string, f *Follower, known statement) *followpb.CopyState {
	lastChanged := known.lastChanged
	state := &followpb.CopyState{
		Name: name, Era: uint64(lastChanged.Era), LastChange: uint64(lastChanged.Version), AgeMs: known.readAge.Milliseconds(),
	}
	if known.position.Era == lastChanged.Era {
		state.Version = uint64(known.position.Version)
	}
	if ago, recent := f.fresh.timeSinceOutage(); recent {
		state.SinceOutageMs = ago.Milliseconds() + 1
	}
	since, wasPublished := p.lastPublished[name]
	p.lastPublished[name] = lastChanged
	if !wasPublished || !since.Before(lastChanged) {
		return state
	}
	changes := f.contents.changesAfter(since)
	if changes != nil && proto.Size(changes) <= maxInlineBytes {
		state.Changes = changes
	}
	return state
}

// publish sends a confirmation to all other instances without waiting: an instance that does not
// answer delays neither the others nor the next confirmation.
func (p *Publisher) publish(ctx context.Context, confirmation *followpb.Confirmation, hasChange bool) {
	began := time.Now()
	for _, address := range p.peers.Addresses() {
		go func() {
			err := p.peers.Confirm(ctx, address, confirmation)
			if err != nil && hasChange {
				// The next confirmation follows soon, but if that is lost as well the change is
				// late.
				_ = p.peers.Confirm(ctx, address, p.remade(confirmation, began))
			}
		}()
	}
}

// remade returns a confirmation that is made now and confirms the state as of the time when another
// one was made.
func (p *Publisher) remade(confirmation *followpb.Confirmation, madeAt time.Time) *followpb.Confirmation {
	aged := proto.CloneOf(confirmation)
	aged.MadeAtMs = p.clockMillis()
	elapsed := time.Since(madeAt)
	for _, state := range aged.Copies {
		state.AgeMs += elapsed.Milliseconds()
		if state.SinceOutageMs > 0 {
			state.SinceOutageMs += elapsed.Milliseconds()
		}
	}
	return aged
}
