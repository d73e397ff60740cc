package meeting

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/member"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/pkg/store/storefake"
)

// Figures of the fleets.
const (
	// messageTime is what a message between instances takes, storeTime what a call to the store takes.
	messageTime = 2 * time.Millisecond
	storeTime   = 5 * time.Millisecond
	// joinTimeout is how long an instance waits for one that does not answer.
	joinTimeout = 500 * time.Millisecond
	// startsWithin is the time in which all instances are started, and in which each begins to answer.
	startsWithin = time.Second
	// wholeWithin is how long after the last of them answers all know all.
	wholeWithin = 10 * time.Second
	// callsEnd is the time in which calls on their way end.
	callsEnd = 5 * time.Second
)

var errSilent = errors.New("no answer")

// slowStore is a store whose calls take time.
type slowStore struct {
	*storefake.Store
	lists atomic.Int64
}

func (s *slowStore) List(ctx context.Context, kind string) (store.Listing, error) {
	s.lists.Add(1)
	time.Sleep(storeTime)
	return s.Store.List(ctx, kind)
}

func (s *slowStore) Put(ctx context.Context, key string, value []byte, at store.Position) (store.Position, error) {
	time.Sleep(storeTime)
	return s.Store.Put(ctx, key, value, at)
}

// fleet is some instances in virtual time, which start one after the other.
type fleet struct {
	t      *testing.T
	store  *slowStore
	random *rand.Rand
	nodes  map[string]*node
	// cut says that instances of odd and of even places do not reach each other.
	cut atomic.Bool
}

// node is one instance. It answers from a time on.
type node struct {
	*Meeting
	gossip  *member.Gossip
	fleet   *fleet
	place   int
	starts  time.Time
	answers time.Time
}

func newFleet(t *testing.T, seed uint64, size int, seeds []string) *fleet {
	f := &fleet{
		t: t, store: &slowStore{Store: storefake.New(seed)},
		random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{},
	}
	for place := range size {
		f.add(place, seeds)
	}
	return f
}

func addressOf(place int) string { return fmt.Sprintf("10.1.0.%d:8522", place) }

func (f *fleet) add(place int, seeds []string) {
	name, address := fmt.Sprintf("edge-%d", place), addressOf(place)
	n := &node{fleet: f, place: place}
	n.starts = time.Now().Add(time.Duration(f.random.Int64N(int64(startsWithin))))
	n.answers = n.starts.Add(time.Duration(f.random.Int64N(int64(startsWithin))))
	table := member.NewTable(member.Config{
		Self: &memberpb.Member{Incarnation: name + "-1", Name: name, Region: "r", Domain: "d", PeerAddress: address},
		Now:  time.Now,
	})
	n.gossip = &member.Gossip{Table: table, Send: n.send, Probe: n.probe}
	n.Meeting = New(Config{Name: name, Address: address, Seeds: seeds}, Deps{
		Table: table, Gossip: n.gossip, Store: f.store, Log: eventlog.New(name, io.Discard),
	})
	f.nodes[address] = n
}

// send has the instance at an address take a digest in.
func (n *node) send(_ context.Context, address string, digest *memberpb.Digest) (*memberpb.Digest, error) {
	time.Sleep(messageTime)
	other := n.fleet.nodes[address]
	if other == nil || time.Now().Before(other.answers) || n.isCutFrom(other) {
		time.Sleep(joinTimeout)
		return nil, errSilent
	}
	reply, _ := other.gossip.Answer(digest)
	return reply, nil
}

func (n *node) isCutFrom(other *node) bool {
	return n.fleet.cut.Load() && n.place%2 != other.place%2
}

func (n *node) probe(context.Context, string, *memberpb.Member) (bool, error) {
	return false, errSilent
}

// play runs the fleet for a time, and something beside it.
func (f *fleet) play(length time.Duration, beside func()) {
	ctx, cancel := context.WithTimeout(f.t.Context(), length)
	defer cancel()
	for _, n := range f.nodes {
		go func() {
			time.Sleep(time.Until(n.starts))
			go n.Run(ctx)
			n.gossip.Run(ctx)
		}()
	}
	go beside()
	<-ctx.Done()
	time.Sleep(callsEnd)
	synctest.Wait()
}

// mustBeWhole fails the test if an instance does not know all others.
func (f *fleet) mustBeWhole() {
	f.t.Helper()
	for address, n := range f.nodes {
		if known := n.Table.CountLive(); known != len(f.nodes) {
			f.t.Errorf("%s knows %d of %d", address, known, len(f.nodes))
		}
	}
}

// Guards against instances that start together without seeds, some of which answer late, and form
// groups that never hear of each other.
func TestInstancesThatStartTogetherAreOneFleet(t *testing.T) {
	for _, size := range []int{2, 3, 7, 23} {
		for seed := range uint64(40) {
			t.Run(fmt.Sprintf("%d instances, seed %d", size, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, seed, size, nil)
					f.play(2*startsWithin+wholeWithin, func() {})
					f.mustBeWhole()
				})
			})
		}
	}
}

// Guards against two halves of a fleet that forgot each other in a long cut and stay apart after it:
// the seeds are all in one half, or there are none.
func TestHalvesFindEachOtherAfterALongCut(t *testing.T) {
	for _, seeds := range [][]string{nil, {addressOf(0), addressOf(2)}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, 6, seeds)
			const cutFor = time.Hour
			f.play(cutFor+2*wholeWithin+time.Minute, func() {
				time.Sleep(2*startsWithin + wholeWithin)
				f.cut.Store(true)
				time.Sleep(cutFor)
				f.cut.Store(false)
			})
			f.mustBeWhole()
		})
	}
}

// Guards against a calm fleet whose instances all read the list of entries again and again.
func TestCalmFleetHasFewReadersOfTheList(t *testing.T) {
	const size, calm = 23, 5 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, size, []string{addressOf(0), addressOf(1), addressOf(2)})
		f.play(calm, func() {})
		f.mustBeWhole()
		most := int64(registrars * (calm / (meetAgain / 2)))
		if lists := f.store.lists.Load(); lists > most {
			t.Errorf("%d reads of the list in %s, more than %d", lists, calm, most)
		}
	})
}
