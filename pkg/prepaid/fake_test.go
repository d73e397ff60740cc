package prepaid_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/prepaid"
	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
)

// heldFor is how late an acknowledgement is that is held up.
const heldFor = 150 * time.Millisecond

// errLost is a message or a call whose answer did not come.
var errLost = errors.New("lost")

// fleet is some instances around one ledger object, with faults drawn from a seed.
type fleet struct {
	mu  sync.Mutex
	rng *rand.Rand // the history\'s own
	// luck draws what is lost; messages draw from it at any time.
	luck *rand.Rand
	now  time.Time
	// shards are the ledger object by era, each with its version, past what they were: the
	// store can go back to any of them.
	era    uint64
	shards map[uint64]fakeObject
	past   []map[uint64]fakeObject
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
	// deathsKnown says that the others are told who is dead or cut off.
	deathsKnown bool
	// unknown says that instances do not know each other yet; tries counts their tries to
	// write.
	unknown bool
	tries   int
	// down makes the ledger refuse, lose is the chance that an answer is lost.
	down bool
	lose float64
	// hold is the chance that a write's acknowledgement comes late, perhaps in a later era.
	hold float64
	// loseAnswers loses each answer of a drawer.
	loseAnswers bool
	// seenBy holds, by writer and budget, who has seen how much of what it drew.
	seenBy map[string]map[string]map[string]int64
	// loseLoan is the chance that a loan's request, or its answer, is lost.
	loseLoan float64
}

// fakeObject is the ledger object of one era.
type fakeObject struct {
	value   []byte
	version uint64
}

type lateWrite struct {
	era, on uint64
	value   []byte
}

// member is one instance.
type member struct {
	*prepaid.Node
	fleet *fleet
	name  string
	// cut is off the ledger and all peers, dead for good; noStore is off the ledger only.
	cut, dead, noStore bool
}

func newFleet(seed uint64, instances int, prepaidTokens map[string]int64) *fleet {
	f := &fleet{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		luck:    rand.New(rand.NewPCG(seed, 2)),
		now:     time.Unix(1000, 0),
		ahead:   8 * time.Second,
		amounts: prepaid.Amounts{Version: 1, Tokens: prepaidTokens},
		era:     1,
		shards:  map[uint64]fakeObject{},
		seenBy:  map[string]map[string]map[string]int64{},
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
		Amounts:  func(int) prepaid.Amounts { return f.configured() },
		VerifyEra: func() (uint64, error) {
			if m.away() {
				return 0, errLost
			}
			m.sawEra()
			return f.storeEra(), nil
		},
		Now: f.clock,
	})
	f.change(func() { f.nodes = append(f.nodes, m) })
	return m
}

// members returns the instances that there are.
func (f *fleet) members() []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes
}

// unreachable reports whether no message passes between two instances.
func (f *fleet) unreachable(from, to *member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return from.cut || to.cut || to.dead
}

// knownGone reports whether the others are told that an instance is dead or cut off.
func (f *fleet) knownGone(m *member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deathsKnown && (m.dead || m.cut)
}

// losesLoan reports whether a loan's request, or its answer, is lost.
func (f *fleet) losesLoan() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.luck.Float64() < f.loseLoan
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

// land lets late writes take effect whose condition still holds.
func (f *fleet) land() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.late {
		if f.shards[w.era].version == w.on {
			f.write(w.era, w.value)
		}
	}
	f.late = nil
}

// write replaces the object of an era; f.mu is held.
func (f *fleet) write(era uint64, value []byte) {
	f.past = append(f.past, maps.Clone(f.shards))
	f.shards[era] = fakeObject{value: value, version: f.shards[era].version + 1}
}

// goBack puts the store back behind its last writes, under the next era.
func (f *fleet) goBack(writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := max(len(f.past)-writes, 0)
	if at < len(f.past) {
		f.shards = maps.Clone(f.past[at])
		f.past = f.past[:at]
	}
	f.era++
}

func (f *fleet) storeEra() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// object returns the present era's object, made of the newest older one if there is none, as the
// real ledger does.
func (f *fleet) object() (era, version uint64, s *prepaid.Shard, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if present, exists := f.shards[f.era]; exists || f.era == 1 {
		s, err = prepaid.DecodeShard(present.value)
		return f.era, present.version, s, err
	}
	newest := uint64(0)
	for older := range f.shards {
		newest = max(newest, older)
	}
	s, err = prepaid.DecodeShard(f.shards[newest].value)
	s.Begin(f.era)
	return f.era, 0, s, err
}

// configured returns the configuration in force.
func (f *fleet) configured() prepaid.Amounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.amounts
}

// away reports whether the ledger does not answer an instance.
func (m *member) away() bool {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.fleet.down || m.cut || m.dead || m.noStore
}

// holds reports whether one acknowledgement is held up.
func (f *fleet) holds() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.luck.Float64() < f.hold
}

// change sets how the fleet is while messages are on their way.
func (f *fleet) change(set func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set()
}

// sawEra has the instance note the era that an answer of the store told.
func (m *member) sawEra() { m.NoteEra(m.fleet.storeEra()) }

// Update implements prepaid.Ledger: as the real one it reads, changes, writes
// under a condition, and tries again after a conflict or a lost answer.
func (m *member) Update(_ context.Context, _, tries int, change func(*prepaid.Shard) error) error {
	f := m.fleet
	for range min(tries, 4) {
		f.mu.Lock()
		f.tries++
		f.mu.Unlock()
		if m.away() {
			return errLost
		}
		m.sawEra()
		era, version, s, err := f.object()
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
		if m.put(era, version, encoded) {
			if f.holds() {
				time.Sleep(heldFor)
			}
			return nil
		}
	}
	return errLost
}

// put reports whether a write succeeded and said so.
func (m *member) put(era, version uint64, value []byte) bool {
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	lost, late := f.luck.Float64() < f.lose, f.luck.Float64() < 0.5
	if era != f.era || version != f.shards[era].version {
		return false
	}
	if lost && late {
		f.late = append(f.late, lateWrite{era: era, on: version, value: value})
		return false
	}
	f.write(era, value)
	return !lost
}

// Lend implements prepaid.Peers.
func (m *member) Lend(ctx context.Context, to, budget string, need, ahead int64) (int64, error) {
	peer := m.fleet.find(to)
	if m.fleet.unreachable(m, peer) || m.fleet.losesLoan() {
		return 0, errLost
	}
	tokens := peer.Node.Lend(ctx, budget, need, ahead)
	if m.fleet.losesLoan() {
		return 0, errLost // lent, and the answer lost
	}
	return tokens, nil
}

// Recall implements prepaid.Peers.
func (m *member) Recall(_ context.Context, to, budget string) error {
	peer := m.fleet.find(to)
	if m.fleet.unreachable(m, peer) {
		return errLost
	}
	peer.Recalled(budget)
	return nil
}

func (f *fleet) find(name string) *member {
	for _, m := range f.members() {
		if m.name == name {
			return m
		}
	}
	return nil
}

// Others implements prepaid.Fleet. With deaths known, it does not name who is dead or cut off.
func (m *member) Others() []string {
	var names []string
	for _, other := range m.fleet.members() {
		if other != m && !m.fleet.knownGone(other) {
			names = append(names, other.name)
		}
	}
	return names
}

// Joined implements prepaid.Fleet.
func (m *member) Joined() bool {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return !m.fleet.unknown
}

// Known implements prepaid.Fleet.
func (m *member) Known() int { return len(m.fleet.members()) }

// Live implements prepaid.Fleet; as Others.
func (m *member) Live(name string) (string, bool) {
	if other := m.fleet.find(name); other != nil && m.fleet.knownGone(other) {
		return "", true
	}
	return name, name != ""
}

// Meet implements prepaid.Fleet; all are known.
func (m *member) Meet(string) {}

// Counts implements prepaid.Fleet.
func (m *member) Counts(string) bool { return true }

// Drawers implements prepaid.Fleet.
func (m *member) Drawers(int) []string {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.fleet.drawers
}

// OtherDrawers implements prepaid.Fleet; all instances are of one domain.
func (m *member) OtherDrawers(int) []string { return nil }

// Witnesses implements prepaid.Fleet.
func (m *member) Witnesses(int) []string { return m.Others() }

// Witness implements prepaid.Peers.
func (m *member) Witness(
	_ context.Context, to string, req *prepaidpb.WitnessRequest,
) (*prepaidpb.WitnessReply, error) {
	peer := m.fleet.find(to)
	if m.fleet.unreachable(m, peer) || m.fleet.losesLoan() {
		return nil, errLost
	}
	reply := peer.Node.Witness(req)
	if !reply.Declined {
		m.fleet.noteWitness(peer, req.Row)
	}
	if m.fleet.losesLoan() {
		return nil, errLost // remembered, and the answer lost
	}
	return reply, nil
}

// Refill implements prepaid.Peers.
func (m *member) Refill(
	ctx context.Context, to string, req *prepaidpb.RefillRequest,
) (*prepaidpb.RefillReply, error) {
	peer := m.fleet.find(to)
	if m.fleet.unreachable(m, peer) || m.fleet.losesLoan() {
		return nil, errLost
	}
	reply := peer.Node.Refill(ctx, req)
	if m.fleet.losesAnswer() || m.fleet.losesLoan() {
		return nil, errLost // dealt out, and the answer lost
	}
	return reply, nil
}

// noteWitness notes what a witness has seen.
func (f *fleet) noteWitness(witness *member, row *prepaidpb.SeenRow) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seenBy[row.Writer] == nil {
		f.seenBy[row.Writer] = map[string]map[string]int64{}
	}
	for _, c := range row.Counters {
		if f.seenBy[row.Writer][c.Budget] == nil {
			f.seenBy[row.Writer][c.Budget] = map[string]int64{}
		}
		f.seenBy[row.Writer][c.Budget][witness.name] = c.Drawn
	}
}

// witnessesOf returns who has seen that a writer has drawn so much of a budget.
func (f *fleet) witnessesOf(writer, budget string, drawn int64) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name, seen := range f.seenBy[writer][budget] {
		if seen >= drawn {
			names = append(names, name)
		}
	}
	return names
}

// losesAnswer reports whether the answers of drawers are lost.
func (f *fleet) losesAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loseAnswers
}

// Moved implements prepaid.Observer.
func (m *member) Moved(prepaid.Movement) {}

// Borrowed implements prepaid.Observer.
func (m *member) Borrowed(string, string, int64) {}

// Recovered implements prepaid.Observer.
func (m *member) Recovered(prepaid.Recovered) {}

// Resting implements prepaid.Observer.
func (m *member) Resting(string, time.Duration, error) {}
