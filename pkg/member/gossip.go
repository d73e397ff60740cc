package member

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

// minConsecutiveComparisons is how many replies in a row must carry a different table hash before
// this instance requests a full table, and how many must carry the same hash before it considers
// its own table settled. A few differing replies are no reason to send a full table, 25 kB for 300
// members: tables differ briefly while updates are disseminated. A few equal replies do not show
// that a table is complete: when many instances start at once, some tables are equal while they
// hold hardly any members.
const minConsecutiveComparisons = 3

// Quarantine is the table of quarantined requests, which heartbeats compare so that all instances
// converge on the same one.
type Quarantine interface {
	// Hash returns a hash that is equal for equal tables; stored reports that the table includes
	// everything that the store holds.
	Hash() (hash uint64, stored bool)
	// ReceiveHash records the hash and stored flag that the instance at an address sent.
	ReceiveHash(address string, hash uint64, stored bool)
}

// Gossip exchanges digests with other instances and applies what they contain.
type Gossip struct {
	Table *Table
	// Send sends a digest to the instance at an address and returns its reply.
	Send func(ctx context.Context, address string, digest *memberpb.Digest) (*memberpb.Digest, error)
	// Probe asks the instance at an address to probe another member, and reports whether that member
	// answered it; only Run needs it.
	Probe func(ctx context.Context, address string, suspect *memberpb.Member) (answered bool, err error)
	// Generations returns the configuration generation of each service at this instance; it may be
	// nil.
	Generations func() []*memberpb.ServiceGeneration
	// PrefillStats returns this instance's statistics of the services' engines; OnPrefillStats
	// receives the statistics of another instance, by its name. Both may be nil.
	PrefillStats   func() []*memberpb.Reading
	OnPrefillStats func(from string, stats []*memberpb.Reading)
	// Era returns the latest era of the store that this instance knows; OnEra receives the one
	// that another instance knows. Both may be nil.
	Era   func() uint64
	OnEra func(uint64)
	// Quarantine provides this instance's quarantine hash and receives those of other instances;
	// it may be nil.
	Quarantine Quarantine
	// OnNewerGenerations receives the names of the services for which the instance at an address
	// has a higher generation than this one; it may be nil.
	OnNewerGenerations func(address string, names []string)

	// consecutiveDiffering and consecutiveEqual count replies in a row with a different table
	// hash, or with the same one.
	consecutiveDiffering, consecutiveEqual atomic.Int32
	// settled is set once minConsecutiveComparisons replies in a row carried this table's hash.
	// converged is set together with settled, or earlier when a reply with this table's hash comes
	// from a settled instance: an instance that joins a running fleet receives the full table with
	// its first reply and need not wait for more.
	settled, converged atomic.Bool
}

// Digest returns the digest to send to a member. The argument is the member's incarnation; it is empty
// if the receiver is not known yet.
func (g *Gossip) Digest(to string) *memberpb.Digest {
	d := &memberpb.Digest{
		From:        g.Table.Self(),
		Generations: g.generations(),
		Known:       g.Table.UpdatesFor(to),
		TableHash:   g.Table.Hash(),
		Settled:     g.settled.Load(),
	}
	if g.Era != nil {
		d.Era = g.Era()
	}
	if g.Quarantine != nil {
		d.QuarantineHash, d.QuarantineStored = g.Quarantine.Hash()
	}
	if g.PrefillStats != nil {
		d.Readings = g.PrefillStats()
	}
	return d
}

func (g *Gossip) generations() []*memberpb.ServiceGeneration {
	if g.Generations == nil {
		return nil
	}
	return g.Generations()
}

// withFullTable adds this instance's full table to a digest and requests that of the receiver.
func (g *Gossip) withFullTable(d *memberpb.Digest) *memberpb.Digest {
	d.WantTable = true
	d.Table = g.Table.FullTable()
	return d
}

// Answer merges a received digest. It returns the reply and the services for which the sender has
// a higher generation.
func (g *Gossip) Answer(d *memberpb.Digest) (reply *memberpb.Digest, newer []string) {
	newer = g.Merge(d)
	reply = g.Digest(d.GetFrom().GetIncarnation())
	if d.WantTable {
		reply.Table = g.Table.FullTable()
	}
	return reply, newer
}

// Merge applies a received digest and returns the services for which the sender has a higher
// generation.
func (g *Gossip) Merge(d *memberpb.Digest) (newer []string) {
	g.Table.MergeFullTable(d.Table)
	g.Table.Learn(d.From, true)
	for _, m := range d.Known {
		g.Table.Learn(m, false)
	}
	if g.OnEra != nil && d.Era > 0 {
		g.OnEra(d.Era)
	}
	if g.Quarantine != nil && d.From != nil {
		g.Quarantine.ReceiveHash(d.From.PeerAddress, d.QuarantineHash, d.QuarantineStored)
	}
	if g.OnPrefillStats != nil && d.From != nil && len(d.Readings) > 0 {
		g.OnPrefillStats(d.From.Name, d.Readings)
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

// SendRound sends one round of heartbeats concurrently, so that a peer that does not answer
// delays no other.
func (g *Gossip) SendRound(ctx context.Context) {
	var round sync.WaitGroup
	for _, m := range g.Table.NextRound() {
		// An error is ignored: the table detects silence by the time of the last message.
		round.Go(func() { _ = g.SendHeartbeat(ctx, m.Incarnation, m.PeerAddress) })
	}
	round.Wait()
}

// SendHeartbeat exchanges digests with a member at an address.
func (g *Gossip) SendHeartbeat(ctx context.Context, incarnation, address string) error {
	return g.exchange(ctx, address, g.heartbeatDigest(incarnation))
}

// heartbeatDigest returns the digest for a heartbeat to a member, with the full table if needed.
func (g *Gossip) heartbeatDigest(to string) *memberpb.Digest {
	digest := g.Digest(to)
	if !g.settled.Load() {
		// When hundreds of instances start at once, each knows only a few: exchanging full tables
		// doubles the known members each time; with updates alone convergence took twice as long.
		return g.withFullTable(digest)
	}
	if g.consecutiveDiffering.Load() >= minConsecutiveComparisons && g.Table.needsFullTable() {
		g.consecutiveDiffering.Store(0)
		digest = g.withFullTable(digest)
	}
	return digest
}

// Join exchanges full tables with the instance at an address.
func (g *Gossip) Join(ctx context.Context, address string) error {
	return g.exchange(ctx, address, g.withFullTable(g.Digest("")))
}

// Converged reports whether other instances have had the same table as this one. Until then this
// instance may not know most of the others.
func (g *Gossip) Converged() bool { return g.converged.Load() }

// IsReachable reports whether a member answers this instance; it serves probe requests of
// instances that got no answer from that member.
func (g *Gossip) IsReachable(ctx context.Context, incarnation, address string) bool {
	reply, err := g.Send(ctx, address, g.Digest(incarnation))
	if err != nil {
		return false // an unanswered probe is a result, not a failure of this instance
	}
	g.mergeReply(address, reply)
	return reply.GetFrom().GetIncarnation() == incarnation
}

func (g *Gossip) exchange(ctx context.Context, address string, digest *memberpb.Digest) error {
	reply, err := g.Send(ctx, address, digest)
	if err != nil {
		return err
	}
	g.mergeReply(address, reply)
	return nil
}

func (g *Gossip) mergeReply(address string, reply *memberpb.Digest) {
	if newer := g.Merge(reply); len(newer) > 0 && g.OnNewerGenerations != nil {
		g.OnNewerGenerations(address, newer)
	}
	g.compareTable(reply)
}

// compareTable counts consecutive replies whose table hash equals, or differs from, that of this table.
// An equal hash from an instance that is still joining does not show convergence by itself, since both
// tables may lack the same members.
func (g *Gossip) compareTable(reply *memberpb.Digest) {
	if reply.TableHash == g.Table.Hash() {
		g.consecutiveDiffering.Store(0)
		if g.consecutiveEqual.Add(1) >= minConsecutiveComparisons {
			g.settled.Store(true)
		}
		if reply.Settled || g.settled.Load() {
			g.converged.Store(true)
		}
		return
	}
	g.consecutiveEqual.Store(0)
	g.consecutiveDiffering.Add(1)
}
