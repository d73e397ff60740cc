package member

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

// Gossip exchanges digests with the other instances.
type Gossip struct {
	Table *Table
	// Send makes one exchange with the instance at an address.
	Send func(ctx context.Context, address string, digest *memberpb.Digest) (*memberpb.Digest, error)
	// Generations tells what this instance has, by name.
	Generations func() []*memberpb.ServiceGeneration
	// Readings tells what this instance has learned of the engines, Learned is told of
	// what another has. Both may be nil.
	Readings func() []*memberpb.Reading
	Learned  func(from string, readings []*memberpb.Reading)
	// Newer is told of what the instance at an address has under a higher
	// generation than this one.
	Newer func(address string, names []string)
}

// Digest is what this instance tells others. It names one other member, drawn
// anew each time: news of a member spreads in a few rounds, and the platform's
// list brings it anyway. Naming all cost most of an instance's traffic.
func (g *Gossip) Digest() *memberpb.Digest {
	d := &memberpb.Digest{From: g.Table.Self(), Generations: g.Generations()}
	if g.Readings != nil {
		d.Readings = g.Readings()
	}
	if live := g.Table.Live(); len(live) > 0 {
		d.Known = append(d.Known, live[rand.IntN(len(live))])
	}
	return d
}

// Take learns from a digest and reports what the sender has under a higher
// generation.
func (g *Gossip) Take(d *memberpb.Digest) (newer []string) {
	g.Table.Learn(d.From, true)
	for _, m := range d.Known {
		g.Table.Learn(m, false)
	}
	if g.Learned != nil && d.From != nil && len(d.Readings) > 0 {
		g.Learned(d.From.Name, d.Readings)
	}
	own := map[string]uint64{}
	for _, generation := range g.Generations() {
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
	digest := g.Digest()
	var round sync.WaitGroup
	for _, m := range g.Table.NextRound() {
		round.Go(func() { g.Beat(ctx, m.PeerAddress, digest) })
	}
	round.Wait()
}

// Beat exchanges digests with one address.
func (g *Gossip) Beat(ctx context.Context, address string, digest *memberpb.Digest) {
	reply, err := g.Send(ctx, address, digest)
	if err != nil {
		return // the table notes who has not been heard of
	}
	if newer := g.Take(reply); len(newer) > 0 {
		g.Newer(address, newer)
	}
}
