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

// RankKey is what the live instances of a region are ranked for (rendezvous hashing): the
// first sends short watches and publishes what they say.
const RankKey = "copies"

// publishers is how many ranks may publish. Each takes over where those before it are not heard of: a
// store that refuses some instances may refuse the very ones that read it. The rest only look after
// themselves: in an outage all send short watches, and all publishing to all would be messages by the
// square of the fleet.
const publishers = 20

// collect is the pause before a confirmation that brings no change: the watches of all copies end
// together, and one message tells of all of them.
const collect = 20 * time.Millisecond

// inlineMost bounds the changes that a confirmation carries, in bytes: to 300 instances they are
// a megabyte, half a second of a link of 20 Mbit/s. What is larger is handed on from one to some
// others each (see catchUp).
const inlineMost = 4 << 10

// Publisher publishes what the short watches of this instance say to the others, takes in what
// they publish, and hands copies on. It is made by NewPublisher.
type Publisher struct {
	self      string
	followers map[string]*Follower
	peers     Peers
	timing    Timing
	// due receives that there is something to publish: true for a change.
	due  chan bool
	hand hand
	// published holds the position that this instance's last confirmation told of, by name;
	// touched by Run only.
	published map[string]store.Position

	mu sync.Mutex
	// catching says which copies are being brought up to date, asking for which another instance is
	// being asked.
	catching, asking map[string]bool
}

// Peers are the other instances, as a publisher needs them.
type Peers interface {
	// Rank returns this instance's rank among those of its region; 0 is the first.
	Rank() int
	// Addresses returns where the others of the region are reached.
	Addresses() []string
	// AddressOf returns where an incarnation is reached; empty if that is not known.
	AddressOf(incarnation string) string
	// Confirm sends a confirmation to one of them, and returns within a bounded time whether
	// that has it.
	Confirm(ctx context.Context, address string, confirmation *followpb.Confirmation) error
	// Fetch asks one of them for what changed; it returns within a bounded time.
	Fetch(ctx context.Context, address string, request *followpb.FetchRequest) (*followpb.FetchReply, error)
}

// NewPublisher returns the publisher of an incarnation and joins the followers to it, by the
// names that the instances use for what they follow. The timing, for those that have none of their own,
// is the same at all instances.
func NewPublisher(self string, followers map[string]*Follower, peers Peers, timing Timing) *Publisher {
	p := &Publisher{
		self:      self,
		followers: followers,
		peers:     peers,
		timing:    timing,
		due:       make(chan bool, 1),
		hand:      hand{packed: map[string]packedCopy{}},
		published: map[string]store.Position{},
		catching:  map[string]bool{},
		asking:    map[string]bool{},
	}
	gate, beat := &Gate{}, newBeat(timing.Wait)
	for name, follower := range followers {
		if follower.Timing == (Timing{}) {
			follower.Timing, follower.beat = timing, beat
		} else {
			follower.beat = newBeat(follower.Timing.Wait)
		}
		own := follower.Timing
		follower.ConfirmTimeout = func() time.Duration { return own.Timeout(peers.Rank()) }
		follower.Answered = p.answered
		follower.Unheard = func(ctx context.Context) { p.askSome(ctx, name) }
		follower.Gate = gate
		follower.Probes = func() bool { return p.probe() == name }
	}
	return p
}

// probe returns the copy by which a store that does not answer is asked: of those that need it the
// smallest, since the answer that ends an outage comes to all instances at once.
func (p *Publisher) probe() string {
	probe, least := "", 0
	for name, follower := range p.followers {
		if !follower.needsStore() {
			continue
		}
		size := follower.contents.bytes()
		if probe == "" || size < least || (size == least && name < probe) {
			probe, least = name, size
		}
	}
	return probe
}

// answered has what the store said published: a change at once, since a copy whose watch lost its
// answer learns of it from the publication; that nothing changed, together with what the other
// watches say.
func (p *Publisher) answered(changed bool) {
	select {
	case p.due <- changed:
		return
	default:
	}
	if !changed {
		return // a publication is due anyway
	}
	select {
	case <-p.due:
	default:
	}
	select {
	case p.due <- true:
	default: // another change is due
	}
}

// Run publishes until ctx ends: nothing is told but what the store has just said, so a
// confirmation is as fresh as the call behind it.
func (p *Publisher) Run(ctx context.Context) {
	for {
		select {
		case changed := <-p.due:
			if !changed {
				pause.For(ctx, collect)
			}
		case <-ctx.Done():
			return
		}
		if confirmation, news := p.confirmation(); confirmation != nil {
			p.publish(ctx, confirmation, news)
		}
	}
}

// confirmation returns what this instance has to publish, nil for nothing, and whether that tells of
// a change. Copies that it watches for long are confirmed by another, and what was read too long ago
// confirms none.
func (p *Publisher) confirmation() (c *followpb.Confirmation, news bool) {
	if p.peers.Rank() >= publishers {
		return nil, false
	}
	var states []*followpb.CopyState
	for name, follower := range p.followers {
		position, age, read := follower.LastChange()
		if read && age < follower.Timing.Last && follower.WatchesShort() {
			news = news || p.published[name].Before(position)
			states = append(states, p.state(name, follower, position, age))
		}
	}
	if len(states) == 0 {
		return nil, false
	}
	return &followpb.Confirmation{From: p.self, Copies: states}, news
}

// state tells of one copy, with what changed since it was last told of unless that is large.
func (p *Publisher) state(name string, f *Follower, position store.Position, age time.Duration) *followpb.CopyState {
	state := &followpb.CopyState{
		Name: name, Era: uint64(position.Era), LastChange: uint64(position.Version), AgeMs: age.Milliseconds(),
	}
	if ago, recent := f.fresh.sinceOutage(); recent {
		state.SinceOutageMs = ago.Milliseconds() + 1
	}
	since, told := p.published[name]
	p.published[name] = position
	if !told || !since.Before(position) {
		return state
	}
	changes := f.contents.after(since)
	if changes != nil && !changes.Whole && proto.Size(changes) <= inlineMost {
		changes.LastChange = uint64(position.Version)
		state.Changes = changes
	}
	return state
}

// publish sends a confirmation to all at once and waits for none: one that does not answer
// delays neither the others nor the next confirmation.
func (p *Publisher) publish(ctx context.Context, confirmation *followpb.Confirmation, news bool) {
	began := time.Now()
	for _, address := range p.peers.Addresses() {
		go func() {
			err := p.peers.Confirm(ctx, address, confirmation)
			if err != nil && news {
				// The next one comes soon, but if that is lost as well the change is late.
				_ = p.peers.Confirm(ctx, address, aged(confirmation, time.Since(began)))
			}
		}()
	}
}

// aged returns a confirmation that is sent some time after it was made: what it confirms, it
// confirms as of then.
func aged(confirmation *followpb.Confirmation, by time.Duration) *followpb.Confirmation {
	later := proto.CloneOf(confirmation)
	for _, state := range later.Copies {
		state.AgeMs += by.Milliseconds()
		if state.SinceOutageMs > 0 {
			state.SinceOutageMs += by.Milliseconds()
		}
	}
	return later
}

// Take takes in another instance's confirmation.
func (p *Publisher) Take(confirmation *followpb.Confirmation) {
	for _, state := range confirmation.Copies {
		if follower := p.followers[state.Name]; follower != nil {
			p.takeState(confirmation.From, follower, state)
		}
	}
}

func (p *Publisher) takeState(from string, f *Follower, state *followpb.CopyState) {
	if state.SinceOutageMs > 0 {
		f.outageEnded(time.Duration(state.SinceOutageMs-1) * time.Millisecond)
	}
	if state.Changes != nil {
		f.Take(state.Changes)
	}
	age := time.Duration(state.AgeMs) * time.Millisecond
	lastChange := store.Position{Era: store.Era(state.Era), Version: store.Version(state.LastChange)}
	if !f.Confirm(lastChange, age) && !f.fresh.upTo().IsZero() {
		p.startCatchUp(state.Name, from, lastChange)
	}
}
