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

// Parameters of the simulated fleets.
const (
	// messageLatency is the latency of a message between instances, storeLatency that of a call to the
	// store.
	messageLatency = 2 * time.Millisecond
	storeLatency   = 5 * time.Millisecond
	// joinTimeout is how long an instance waits for one that does not answer.
	joinTimeout = 500 * time.Millisecond
	// startWindow is the time within which all instances start, and within which each one then begins
	// to answer.
	startWindow = time.Second
	// convergeTimeout is the time allowed for all tables to be complete after the last instance
	// begins to answer.
	convergeTimeout = 10 * time.Second
	// drainTime is the time within which pending calls end.
	drainTime = 5 * time.Second
)

var errNoAnswer = errors.New("no answer")

// slowStore adds latency to the calls of a fake store.
type slowStore struct {
	*storefake.Store
	lists atomic.Int64
}

func (s *slowStore) List(ctx context.Context, kind string) (store.Listing, error) {
	s.lists.Add(1)
	time.Sleep(storeLatency)
	return s.Store.List(ctx, kind)
}

func (s *slowStore) Put(ctx context.Context, key string, value []byte, at store.Position) (store.Position, error) {
	time.Sleep(storeLatency)
	return s.Store.Put(ctx, key, value, at)
}

// fleet is a set of instances in virtual time that start at random times.
type fleet struct {
	t      *testing.T
	store  *slowStore
	random *rand.Rand
	nodes  map[string]*node
	// partitioned says that instances with odd and even indexes cannot reach each other.
	partitioned atomic.Bool
}

// node is one instance. It answers from answersAt on.
type node struct {
	*Discovery
	gossip    *member.Gossip
	fleet     *fleet
	index     int
	startsAt  time.Time
	answersAt time.Time
}

func newFleet(t *testing.T, seed uint64, size int, seeds []string) *fleet {
	f := &fleet{
		t: t, store: &slowStore{Store: storefake.New(seed)},
		random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{},
	}
	for index := range size {
		f.add(index, seeds)
	}
	return f
}

func addressOf(index int) string { return fmt.Sprintf("10.1.0.%d:8522", index) }

func (f *fleet) add(index int, seeds []string) {
	name, address := fmt.Sprintf("edge-%d", index), addressOf(index)
	n := &node{fleet: f, index: index}
	n.startsAt = time.Now().Add(time.Duration(f.random.Int64N(int64(startWindow))))
	n.answersAt = n.startsAt.Add(time.Duration(f.random.Int64N(int64(startWindow))))
	table := member.NewTable(member.Config{
		Self: &memberpb.Member{Incarnation: name + "-1", Name: name, Region: "r", Domain: "d", PeerAddress: address},
		Now:  time.Now,
	})
	n.gossip = &member.Gossip{Table: table, Send: n.send, Probe: n.probe}
	n.Discovery = New(Config{Name: name, Address: address, Seeds: seeds}, Deps{
		Table: table, Gossip: n.gossip, Store: f.store, Log: eventlog.New(name, io.Discard),
	})
	f.nodes[address] = n
}

// send delivers a digest to the instance at an address and returns its reply.
func (n *node) send(_ context.Context, address string, digest *memberpb.Digest) (*memberpb.Digest, error) {
	time.Sleep(messageLatency)
	other := n.fleet.nodes[address]
	if other == nil || time.Now().Before(other.answersAt) || n.isPartitionedFrom(other) {
		time.Sleep(joinTimeout)
		return nil, errNoAnswer
	}
	reply, _ := other.gossip.Answer(digest)
	return reply, nil
}

func (n *node) isPartitionedFrom(other *node) bool {
	return n.fleet.partitioned.Load() && n.index%2 != other.index%2
}

func (n *node) probe(context.Context, string, *memberpb.Member) (bool, error) {
	return false, errNoAnswer
}

// run runs the fleet for a time, and a function concurrently.
func (f *fleet) run(length time.Duration, concurrently func()) {
	ctx, cancel := context.WithTimeout(f.t.Context(), length)
	defer cancel()
	for _, n := range f.nodes {
		go func() {
			time.Sleep(time.Until(n.startsAt))
			go n.Run(ctx)
			n.gossip.Run(ctx)
		}()
	}
	go concurrently()
	<-ctx.Done()
	time.Sleep(drainTime)
	synctest.Wait()
}

// requireComplete fails the test if an instance does not know all others.
func (f *fleet) requireComplete() {
	f.t.Helper()
	for address, n := range f.nodes {
		if known := n.Table.CountLive(); known != len(f.nodes) {
			f.t.Errorf("%s knows %d of %d instances", address, known, len(f.nodes))
		}
	}
}

// Guards against separate groups that never discover each other, when instances start together
// without seeds and some answer late.
func TestInstancesThatStartTogetherAreOneFleet(t *testing.T) {
	for _, size := range []int{2, 3, 7, 23} {
		for seed := range uint64(40) {
			t.Run(fmt.Sprintf("%d instances, seed %d", size, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, seed, size, nil)
					f.run(2*startWindow+convergeTimeout, func() {})
					f.requireComplete()
				})
			})
		}
	}
}

// Guards against two halves of a fleet that stay separate after a partition so long that each removed
// the other's members: the seeds are all in one half, or there are none.
func TestHalvesFindEachOtherAfterALongCut(t *testing.T) {
	for _, seeds := range [][]string{nil, {addressOf(0), addressOf(2)}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, 6, seeds)
			const partitionLength = time.Hour
			f.run(partitionLength+2*convergeTimeout+time.Minute, func() {
				time.Sleep(2*startWindow + convergeTimeout)
				f.partitioned.Store(true)
				time.Sleep(partitionLength)
				f.partitioned.Store(false)
			})
			f.requireComplete()
		})
	}
}

// Guards against a stable fleet in which every instance keeps reading the list of entries from the
// store.
func TestCalmFleetHasFewReadersOfTheList(t *testing.T) {
	const size, undisturbed = 23, 5 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, size, []string{addressOf(0), addressOf(1), addressOf(2)})
		f.run(undisturbed, func() {})
		f.requireComplete()
		maxLists := int64(numRegistrars * (undisturbed / (searchInterval / 2)))
		if lists := f.store.lists.Load(); lists > maxLists {
			t.Errorf("%d reads of the list in %s, at most %d allowed", lists, undisturbed, maxLists)
		}
	})
}
