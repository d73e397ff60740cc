package member

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

// compareAfter is how many answers in a row may show another table before this instance asks
// for a whole one, and how many must show the same before it takes its own for whole. News that
// is on its way makes tables differ for a moment, and a table of 300 is 25 kB; of many that
// start at once some agree while they know next to nobody.
const compareAfter = 3

// Quarantine is a table that is to be the same at all instances, as heartbeats tell of it.
type Quarantine interface {
	// Hash is equal for equal tables; stored says that the table has what the store has.
	Hash() (hash uint64, stored bool)
	// Heard takes in what the instance at an address tells.
	Heard(address string, hash uint64, stored bool)
}

// Gossip exchanges digests with the other instances.
type Gossip struct {
	Table *Table
	// Send makes one exchange with the instance at an address.
	Send func(ctx context.Context, address string, digest *memberpb.Digest) (*memberpb.Digest, error)
	// Probe has the instance at an address probe another member; needed by Run only.
	Probe func(ctx context.Context, address string, suspect *memberpb.Member) (answered bool, err error)
	// Generations tells what this instance has, by name; it may be nil.
	Generations func() []*memberpb.ServiceGeneration
	// Readings tells what this instance has learned of the engines, Learned is told of
	// what another has. Both may be nil.
	Readings func() []*memberpb.Reading
	Learned  func(from string, readings []*memberpb.Reading)
	// Era tells the latest era of the store that this instance knows, HeardEra is told of one
	// that another knows. Both may be nil.
	Era      func() uint64
	HeardEra func(uint64)
	// Quarantine is told of other instances' quarantine, and tells of this one's; it may be nil.
	Quarantine Quarantine
	// Newer is told of what the instance at an address has under a higher
	// generation than this one; it may be nil.
	Newer func(address string, names []string)

	// differing and equal count answers in a row that showed another table, or the same.
	differing, equal atomic.Int32
	// settled says that compareAfter answers in a row have shown the same table, agreed that
	// one has that was settled itself: who joins a fleet has its table with the first answer.
	settled, agreed atomic.Bool
}

// Digest is what this instance tells a member, by its incarnation; empty for one that is not
// known yet.
func (g *Gossip) Digest(to string) *memberpb.Digest {
	d := &memberpb.Digest{
		From:        g.Table.Self(),
		Generations: g.generations(),
		Known:       g.Table.NewsFor(to),
		TableHash:   g.Table.Hash(),
		Settled:     g.settled.Load(),
	}
	if g.Era != nil {
		d.Era = g.Era()
	}
	if g.Quarantine != nil {
		d.QuarantineHash, d.QuarantineStored = g.Quarantine.Hash()
	}
	if g.Readings != nil {
		d.Readings = g.Readings()
	}
	return d
}

func (g *Gossip) generations() []*memberpb.ServiceGeneration {
	if g.Generations == nil {
		return nil
	}
	return g.Generations()
}

// withTable adds the whole table and asks for the other's.
func (g *Gossip) withTable(d *memberpb.Digest) *memberpb.Digest {
	d.WantTable = true
	d.Table = g.Table.Whole()
	return d
}

// Answer takes a digest in and returns what goes back, and what the sender has under a higher
// generation.
func (g *Gossip) Answer(d *memberpb.Digest) (reply *memberpb.Digest, newer []string) {
	newer = g.Take(d)
	reply = g.Digest(d.GetFrom().GetIncarnation())
	if d.WantTable {
		reply.Table = g.Table.Whole()
	}
	return reply, newer
}

// Take learns from a digest and reports what the sender has under a higher
// generation.
func (g *Gossip) Take(d *memberpb.Digest) (newer []string) {
	g.Table.LearnWhole(d.Table)
	g.Table.Learn(d.From, true)
	for _, m := range d.Known {
		g.Table.Learn(m, false)
	}
	if g.HeardEra != nil && d.Era > 0 {
		g.HeardEra(d.Era)
	}
	if g.Quarantine != nil && d.From != nil {
		g.Quarantine.Heard(d.From.PeerAddress, d.QuarantineHash, d.QuarantineStored)
	}
	if g.Learned != nil && d.From != nil && len(d.Readings) > 0 {
		g.Learned(d.From.Name, d.Readings)
	}
	own := map[string]uint64{}
	for _, generation := range g.generations() {
		own[generation.Service] = generation.Generation
	}
	for _, generation := range d.Generations {
		if generation.Generation > own[generation.Service] {
			newer = append(newer, generation.Service)
		}
	}
	return newer
}

// Round sends one round of heartbeats, to all of it at once, so that one peer
// that does not answer delays no other.
func (g *Gossip) Round(ctx context.Context) {
	var round sync.WaitGroup
	for _, m := range g.Table.NextRound() {
		round.Go(func() { _ = g.Beat(ctx, m.Incarnation, m.PeerAddress) }) // the table notes who has not been heard of
	}
	round.Wait()
}

// Beat exchanges digests with a member at an address.
func (g *Gossip) Beat(ctx context.Context, incarnation, address string) error {
	return g.exchange(ctx, address, g.heartbeat(incarnation))
}

// heartbeat is the digest of a heartbeat to a member.
func (g *Gossip) heartbeat(to string) *memberpb.Digest {
	digest := g.Digest(to)
	if !g.settled.Load() {
		// Of hundreds that start at once each knows some: whole tables double what is
		// known with each exchange, news alone took twice as long.
		return g.withTable(digest)
	}
	if g.differing.Load() >= compareAfter && g.Table.wantsWhole() {
		g.differing.Store(0)
		digest = g.withTable(digest)
	}
	return digest
}

// Join makes this instance known at an address and learns whom that instance knows.
func (g *Gossip) Join(ctx context.Context, address string) error {
	return g.exchange(ctx, address, g.withTable(g.Digest("")))
}

// Agreed reports whether other instances have shown the same table as this one's: until then
// it may not know most of the others.
func (g *Gossip) Agreed() bool { return g.agreed.Load() }

// Answers reports whether a member answers this instance, for another one that got no answer.
func (g *Gossip) Answers(ctx context.Context, incarnation, address string) bool {
	reply, err := g.Send(ctx, address, g.Digest(incarnation))
	if err != nil {
		return false // that is what was asked
	}
	g.takeReply(address, reply)
	return reply.GetFrom().GetIncarnation() == incarnation
}

func (g *Gossip) exchange(ctx context.Context, address string, digest *memberpb.Digest) error {
	reply, err := g.Send(ctx, address, digest)
	if err != nil {
		return err
	}
	g.takeReply(address, reply)
	return nil
}

func (g *Gossip) takeReply(address string, reply *memberpb.Digest) {
	if newer := g.Take(reply); len(newer) > 0 && g.Newer != nil {
		g.Newer(address, newer)
	}
	g.compare(reply)
}

// compare notes whether another instance's table is the same. That of one that is joining too
// says little.
func (g *Gossip) compare(reply *memberpb.Digest) {
	if reply.TableHash == g.Table.Hash() {
		g.differing.Store(0)
		if g.equal.Add(1) >= compareAfter {
			g.settled.Store(true)
		}
		if reply.Settled || g.settled.Load() {
			g.agreed.Store(true)
		}
		return
	}
	g.equal.Store(0)
	g.differing.Add(1)
}
