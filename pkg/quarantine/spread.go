package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/quarantine/quarantinepb"
	"github.com/lavenderring/lavenderring/pkg/ring"
)

// Parameters of the dissemination: an instance whose table changes immediately pushes the changed
// records to some others (push gossip), and two instances whose tables differ exchange them in full.
const (
	// fanout is the number of instances to which new records are pushed. In a fleet of 300, a
	// pushed record reaches all instances but one in 20,000, within the time of four messages.
	fanout = 10
	// pushAttempts is how often new records are sent to an instance that does not acknowledge them. Its
	// connection may have ended since it was last used.
	pushAttempts = 2
	// pushInterval is the minimum time between two pushes, which batches simultaneous changes.
	pushInterval = 10 * time.Millisecond
	// minCompareInterval is the initial interval between two exchanges of whole tables. It doubles
	// up to maxCompareInterval while the tables still differ.
	minCompareInterval = 200 * time.Millisecond
	maxCompareInterval = time.Second
)

// Peers gives a Spreader access to the other instances.
type Peers interface {
	// Choose returns the addresses of up to limit other instances, chosen at random, and whether
	// these are all of them.
	Choose(limit int) (addresses []string, all bool)
	// Exchange sends records to the instance at an address and returns its reply. It returns
	// within a bounded time.
	Exchange(ctx context.Context, address string, records *quarantinepb.Records) (*quarantinepb.Records, error)
}

// Fault is a failed step of the dissemination. The comparison of tables makes up for it.
type Fault struct {
	// Step is "decode", "push" or "compare".
	Step string
	// Peer is the address of the other instance; empty if that began the exchange.
	Peer string
	// Err is the cause.
	Err error
}

// Spreader synchronizes an instance's table with those of the other instances. It is created by
// NewSpreader.
type Spreader struct {
	table     *Table
	peers     Peers
	now       func() time.Time
	onFault   func(Fault)
	onLearned func([]Record)

	wakeups *ring.Queue[struct{}]
	// differing holds the address of an instance whose table differs from this one's.
	differing *ring.Queue[string]
	// compared reports that the table has been compared with another instance's, stored that the
	// table contains the records in the store.
	compared, stored atomic.Bool

	mu sync.Mutex
	// nextCompare is when tables may be exchanged again, compareInterval the time until the
	// exchange after that.
	nextCompare     time.Time
	compareInterval time.Duration
}

// NewSpreader returns a spreader with an empty table for the instance named self. onLearned is called
// with received records that changed the table, onFault for each failed step.
func NewSpreader(
	self string, peers Peers, now func() time.Time, onLearned func([]Record), onFault func(Fault),
) *Spreader {
	s := &Spreader{
		peers:           peers,
		now:             now,
		onFault:         onFault,
		onLearned:       onLearned,
		wakeups:         ring.New[struct{}](1),
		differing:       ring.New[string](1),
		compareInterval: minCompareInterval,
	}
	s.table = NewTable(self, s.wake)
	return s
}

// Table returns the synchronized table.
func (s *Spreader) Table() *Table { return s.table }

// Compared reports whether the table has been compared with another instance's at least once, and was
// equal or has been merged with it.
func (s *Spreader) Compared() bool { return s.compared.Load() }

// wake makes Run push the pending records. If the queue is full, Run has yet to handle an earlier wakeup.
func (s *Spreader) wake() { s.wakeups.TryPut(struct{}{}) }

// Run pushes pending records and exchanges differing tables until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeups.Items():
			s.push(ctx)
			pause.For(ctx, pushInterval)
		case address := <-s.differing.Items():
			s.compare(ctx, address)
		}
	}
}

// push sends the pending records to some other instances.
func (s *Spreader) push(ctx context.Context) {
	records := s.table.TakePending()
	if len(records) == 0 {
		return
	}
	addresses, all := s.peers.Choose(fanout)
	message := &quarantinepb.Records{Records: Encode(records, s.now()), ToldAll: all}
	for _, address := range addresses {
		go s.pushTo(ctx, address, message)
	}
}

// pushTo sends records to one instance, up to pushAttempts times until it acknowledges them. An instance
// that they do not reach keeps a differing table, which the comparison of hashes in heartbeats detects;
// until then it does not know of a crash and may run the request once more.
func (s *Spreader) pushTo(ctx context.Context, address string, message *quarantinepb.Records) {
	var err error
	for range pushAttempts {
		if _, err = s.peers.Exchange(ctx, address, message); err == nil || ctx.Err() != nil {
			return
		}
	}
	s.onFault(Fault{Step: "push", Peer: address, Err: err})
}

// Stored reports whether the table contains the records in the store, because this instance has read
// them, or an instance whose table was equal has.
func (s *Spreader) Stored() bool { return s.stored.Load() }

// NoteStored records that the table contains the records in the store.
func (s *Spreader) NoteStored() { s.stored.Store(true) }

// ReceiveHash handles what a heartbeat of the instance at an address reports of that instance's table: its
// hash, and whether it contains the records in the store. If the tables differ, ReceiveHash schedules an
// exchange.
func (s *Spreader) ReceiveHash(address string, hash uint64, stored bool) {
	s.table.Expire(s.now())
	if hash == s.table.Hash() {
		s.compared.Store(true)
		if stored {
			s.stored.Store(true)
		}
		s.mu.Lock()
		s.compareInterval = minCompareInterval
		s.mu.Unlock()
		return
	}
	if s.tryStartCompare() {
		s.differing.TryPut(address) // if the queue is full, another instance is compared first
	}
}

func (s *Spreader) tryStartCompare() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Before(s.nextCompare) {
		return false
	}
	s.nextCompare = now.Add(s.compareInterval)
	s.compareInterval = min(2*s.compareInterval, maxCompareInterval)
	return true
}

// compare exchanges whole tables with the instance at an address, so that both become the union of the
// two.
func (s *Spreader) compare(ctx context.Context, address string) {
	message := &quarantinepb.Records{Records: Encode(s.table.All(), s.now()), WantAll: true}
	reply, err := s.peers.Exchange(ctx, address, message)
	if err != nil {
		if ctx.Err() == nil {
			s.onFault(Fault{Step: "compare", Peer: address, Err: err})
		}
		return // the next heartbeat shows whether the tables still differ
	}
	s.receive(address, reply, true)
	s.compared.Store(true)
}

// HandleRecords merges the records that another instance sent, and returns all records if it asked for
// them.
func (s *Spreader) HandleRecords(message *quarantinepb.Records) *quarantinepb.Records {
	s.receive("", message, !message.ToldAll)
	reply := &quarantinepb.Records{}
	if message.WantAll {
		reply.Records = Encode(s.table.All(), s.now())
	}
	return reply
}

func (s *Spreader) receive(from string, message *quarantinepb.Records, forward bool) {
	records, bad := Decode(message.Records, s.now())
	for _, err := range bad {
		s.onFault(Fault{Step: "decode", Peer: from, Err: err})
	}
	if changed := s.table.Merge(records, s.now(), forward); len(changed) > 0 {
		s.onLearned(changed)
	}
}
