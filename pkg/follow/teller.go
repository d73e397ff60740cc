package follow

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// RankKey is what the instances of a region are ranked for (rendezvous hashing over those
// that are known to live): the first watches closely and tells the others.
const RankKey = "copies"

// Who watches closely when. Words come at most tellEvery apart and are up to closeWait old,
// so 1.4 s may pass between two moments that they confirm; a lost one costs a false turn.
const (
	// tellEvery is the longest time between two words.
	tellEvery = 700 * time.Millisecond
	// firstPatience is how long the instance of the second rank waits for a word before it
	// takes the first one's place, rankPatience how much longer each further rank waits, so
	// that one steps in and not all of a fleet.
	firstPatience = 1600 * time.Millisecond
	rankPatience  = 300 * time.Millisecond
	// tellers is how many ranks tell the others. The rest only look after themselves: in an
	// outage all watch closely, and all telling all would be messages by the square of the
	// fleet. With the last patience, 2.2 s, an instance that lost its tellers in an outage
	// is up to date within the 3 s that one may take to be over with.
	tellers = 3
)

// Patience returns how long an instance of a rank goes without a word.
func Patience(rank int) time.Duration {
	if rank <= 0 {
		return 0
	}
	return firstPatience + time.Duration(min(rank, tellers)-1)*rankPatience
}

// Teller tells the other instances what the close watches of this one read. It is made by
// NewTeller.
type Teller struct {
	self   string
	copies map[string]*Follower
	peers  Peers
	news   chan struct{}
}

// Peers are the other instances, as a teller needs them.
type Peers interface {
	// Rank returns this instance's rank among those of its region; 0 is the first.
	Rank() int
	// Addresses returns where the others of the region are reached.
	Addresses() []string
	// Confirm sends a word to one of them; it returns within a bounded time, and is not
	// repeated if it fails, since the next word comes soon.
	Confirm(ctx context.Context, address string, word *followpb.Confirmation)
}

// NewTeller returns a teller of an incarnation and joins the followers to it, by the names
// that the instances use for what they follow.
func NewTeller(self string, copies map[string]*Follower, peers Peers) *Teller {
	t := &Teller{self: self, copies: copies, peers: peers, news: make(chan struct{}, 1)}
	for _, copied := range copies {
		copied.Patience = func() time.Duration { return Patience(peers.Rank()) }
		copied.Answered = t.answered
	}
	return t
}

// answered makes news go out at once: a copy whose watch lost its answer learns of the
// change from the word.
func (t *Teller) answered(news bool) {
	if !news {
		return
	}
	select {
	case t.news <- struct{}{}:
	default: // one is on its way
	}
}

// Run tells the others until ctx ends.
func (t *Teller) Run(ctx context.Context) {
	tick := time.NewTicker(tellEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-t.news:
			tick.Reset(tellEvery)
		case <-ctx.Done():
			return
		}
		if word := t.word(); word != nil {
			t.tell(ctx, word)
		}
	}
}

// word returns what this instance has to tell; nil for nothing. Copies that it does not
// watch closely are confirmed by another, and what was read too long ago confirms none.
func (t *Teller) word() *followpb.Confirmation {
	if t.peers.Rank() >= tellers {
		return nil
	}
	var states []*followpb.CopyState
	for name, copied := range t.copies {
		changed, age, read := copied.Changed()
		if read && age < Patience(tellers) && copied.Closely() {
			states = append(states, &followpb.CopyState{Name: name, Changed: uint64(changed), AgeMs: age.Milliseconds()})
		}
	}
	if len(states) == 0 {
		return nil
	}
	return &followpb.Confirmation{From: t.self, Copies: states}
}

// tell sends a word to all at once and waits for none: one that does not answer delays
// neither the others nor the next word.
func (t *Teller) tell(ctx context.Context, word *followpb.Confirmation) {
	for _, address := range t.peers.Addresses() {
		go t.peers.Confirm(ctx, address, word)
	}
}

// Hear takes in another instance's word.
func (t *Teller) Hear(word *followpb.Confirmation) {
	for _, state := range word.Copies {
		if copied := t.copies[state.Name]; copied != nil {
			copied.Hear(store.Version(state.Changed), time.Duration(state.AgeMs)*time.Millisecond)
		}
	}
}
