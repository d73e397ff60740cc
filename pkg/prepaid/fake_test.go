package prepaid_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/prepaid"
	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
)

// errLost is a message or a call whose answer did not come.
var errLost = errors.New("lost")

// fleet is some instances around one ledger object, with faults drawn from a seed.
type fleet struct {
	mu      sync.Mutex
	rng     *rand.Rand
	now     time.Time
	shard   []byte
	version uint64
	// late are writes that were not answered and may still take effect while the
	// version is theirs.
	late  []lateWrite
	nodes []*member
	// amounts is the configuration in force.
	amounts prepaid.Amounts
	// ahead is how much of its demand an instance that joins holds.
	ahead time.Duration
	// drawers names who draws for all, the best first; each draws itself without.
	drawers []string
	// unknown says that instances do not know each other yet; tries counts their tries to
	// write.
	unknown bool
	tries   int
	// down makes the ledger refuse, lose is the chance that an answer is lost.
	down bool
	lose float64
	// loseAnswers loses each answer of a drawer.
	loseAnswers bool
	// loseLoan is the chance that a loan's request, or its answer, is lost.
	loseLoan float64
}

type lateWrite struct {
	on    uint64
	value []byte
}

// member is one instance.
type member struct {
	*prepaid.Node
	fleet *fleet
	name  string
	// cut is off the ledger and all peers, dead for good.
	cut, dead bool
}

func newFleet(seed uint64, instances int, prepaidTokens map[string]int64) *fleet {
	f := &fleet{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1000, 0),
		ahead:   8 * time.Second,
		amounts: prepaid.Amounts{Version: 1, Tokens: prepaidTokens},
	}
	for range instances {
		f.join()
	}
	return f
}

func (f *fleet) join() *member {
	m := &member{fleet: f, name: fmt.Sprintf("i%d", len(f.nodes))}
	cfg := prepaid.Config{Self: m.name, Name: m.name, Shards: 1, Ahead: f.ahead}
	m.Node = prepaid.NewNode(cfg, prepaid.Deps{
		Ledger:   m,
		Peers:    m,
		Fleet:    m,
		Observer: m,
		Amounts:  func(int) prepaid.Amounts { return f.amounts },
		Now:      f.clock,
	})
	f.nodes = append(f.nodes, m)
	return m
}

func (f *fleet) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fleet) advance(d time.Duration) {
	f.mu.Lock()
	f.now = f.now.Add(d)
	f.mu.Unlock()
}

func (f *fleet) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < p
}

// land lets late writes take effect whose condition still holds.
func (f *fleet) land() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.late {
		if w.on == f.version {
			f.shard, f.version = w.value, f.version+1
		}
	}
	f.late = nil
}

// Update implements prepaid.Ledger: as the real one it reads, changes, writes
// under a condition, and tries again after a conflict or a lost answer.
func (m *member) Update(_ context.Context, _, tries int, change func(*prepaid.Shard) error) error {
	f := m.fleet
	for range min(tries, 4) {
		f.mu.Lock()
		f.tries++
		away := f.down || m.cut || m.dead
		value, version := f.shard, f.version
		f.mu.Unlock()
		if away {
			return errLost
		}
		s, err := prepaid.DecodeShard(value)
		if err != nil {
			return err
		}
		if err := change(s); err != nil {
			return err
		}
		encoded, err := s.Encode()
		if err != nil {
			return err
		}
		if m.put(version, encoded) {
			return nil
		}
	}
	return errLost
}

// put reports whether a write succeeded and said so.
func (m *member) put(version uint64, value []byte) bool {
	f := m.fleet
	lost, late := f.chance(f.lose), f.chance(0.5)
	f.mu.Lock()
	defer f.mu.Unlock()
	if version != f.version {
		return false
	}
	if lost && late {
		f.late = append(f.late, lateWrite{on: version, value: value})
		return false
	}
	f.shard, f.version = value, version+1
	return !lost
}

// Lend implements prepaid.Peers.
func (m *member) Lend(ctx context.Context, to, budget string, need, ahead int64) (int64, error) {
	peer := m.fleet.find(to)
	if m.cut || peer.cut || peer.dead || m.fleet.chance(m.fleet.loseLoan) {
		return 0, errLost
	}
	tokens := peer.Node.Lend(ctx, budget, need, ahead)
	if m.fleet.chance(m.fleet.loseLoan) {
		return 0, errLost // lent, and the answer lost
	}
	return tokens, nil
}

// Recall implements prepaid.Peers.
func (m *member) Recall(_ context.Context, to, budget string) error {
	peer := m.fleet.find(to)
	if m.cut || peer.cut || peer.dead {
		return errLost
	}
	peer.Recalled(budget)
	return nil
}

func (f *fleet) find(name string) *member {
	for _, m := range f.nodes {
		if m.name == name {
			return m
		}
	}
	return nil
}

// Others implements prepaid.Fleet; it does not know who is dead or cut off.
func (m *member) Others() []string {
	var names []string
	for _, other := range m.fleet.nodes {
		if other != m {
			names = append(names, other.name)
		}
	}
	return names
}

// Joined implements prepaid.Fleet.
func (m *member) Joined() bool { return !m.fleet.unknown }

// Known implements prepaid.Fleet.
func (m *member) Known() int { return len(m.fleet.nodes) }

// Live implements prepaid.Fleet; as Others.
func (m *member) Live(name string) (string, bool) { return name, name != "" }

// Meet implements prepaid.Fleet; all are known.
func (m *member) Meet(string) {}

// Counts implements prepaid.Fleet.
func (m *member) Counts(string) bool { return true }

// Drawers implements prepaid.Fleet.
func (m *member) Drawers(int) []string { return m.fleet.drawers }

// OtherDrawers implements prepaid.Fleet; all instances are of one domain.
func (m *member) OtherDrawers(int) []string { return nil }

// Refill implements prepaid.Peers.
func (m *member) Refill(
	ctx context.Context, to string, req *prepaidpb.RefillRequest,
) (*prepaidpb.RefillReply, error) {
	peer := m.fleet.find(to)
	if m.cut || peer.cut || peer.dead || m.fleet.chance(m.fleet.loseLoan) {
		return nil, errLost
	}
	reply := peer.Node.Refill(ctx, req)
	if m.fleet.loseAnswers || m.fleet.chance(m.fleet.loseLoan) {
		return nil, errLost // dealt out, and the answer lost
	}
	return reply, nil
}

// Moved implements prepaid.Observer.
func (m *member) Moved(prepaid.Movement) {}

// Borrowed implements prepaid.Observer.
func (m *member) Borrowed(string, string, int64) {}

// Resting implements prepaid.Observer.
func (m *member) Resting(string, time.Duration, error) {}
