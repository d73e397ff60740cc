// Package keeper joins an instance's quarantine to the other instances, the platform's store and
// the log.
package keeper

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/member"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
	"github.com/lavenderring/lavenderring/pkg/quarantine/quarantinepb"
	"github.com/lavenderring/lavenderring/pkg/ring"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Exchange sends records to the instance at an address and returns its answer, within a bounded
// time.
type Exchange func(ctx context.Context, address string, records *quarantinepb.Records) (*quarantinepb.Records, error)

// Deps is what a keeper works with.
type Deps struct {
	// Self is the instance's name, which its next process keeps.
	Self     string
	Members  *member.Table
	Exchange Exchange
	Store    store.Store
	Log      *eventlog.Log
	Metrics  metrics.Registry
	Now      func() time.Time
}

// Keeper keeps one instance's quarantine. It is safe for concurrent use.
type Keeper struct {
	Deps
	spreader *quarantine.Spreader
	// verdicts takes that a condemned request is to be stored.
	verdicts *ring.Ring[struct{}]
	// decided takes crashes that were known late, to be told in the log.
	decided *ring.Ring[quarantine.Record]
	meters  meters
}

type meters struct{ learned, released, stored, decided metrics.Counter }

// mostDecided bounds the late crashes that wait for the log.
const mostDecided = 64

// New returns a keeper; Run and Spread must be called.
func New(deps Deps) *Keeper {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, deps.Metrics) }
	k := &Keeper{
		Deps:     deps,
		verdicts: ring.New[struct{}](1),
		decided:  ring.New[quarantine.Record](mostDecided),
		meters: meters{
			learned:  counter("quarantine.learned"),
			released: counter("quarantine.released"),
			stored:   counter("quarantine.stored"),
			decided:  counter("quarantine.decided_late"),
		},
	}
	k.spreader = quarantine.NewSpreader(deps.Self, peers{k}, deps.Now, k.learned, k.fault)
	k.Table().OnCondemned(k.requestStoring)
	k.Table().OnCrashConfirmed(func(r quarantine.Record) { k.decided.TryPut(r) })
	return k
}

// Table returns the table that is kept.
func (k *Keeper) Table() *quarantine.Table { return k.spreader.Table() }

// Hash implements member.Quarantine.
func (k *Keeper) Hash() (hash uint64, stored bool) { return k.Table().Hash(), k.spreader.Stored() }

// Heard implements member.Quarantine.
func (k *Keeper) Heard(address string, hash uint64, stored bool) {
	k.spreader.ReceiveHash(address, hash, stored)
}

// Stored reports whether the table has what the store has.
func (k *Keeper) Stored() bool { return k.spreader.Stored() }

// Compared reports whether the table has been compared with another instance's.
func (k *Keeper) Compared() bool { return k.spreader.Compared() }

// Spread keeps the other instances informed until ctx ends.
func (k *Keeper) Spread(ctx context.Context) { k.spreader.Run(ctx) }

// Run stores verdicts and tells of crashes that were known late, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.verdicts.Items():
			k.storeVerdicts(ctx)
		case r := <-k.decided.Items():
			k.noteDecided(&r)
		}
	}
}

// noteDecided tells of a crash that was known only when the upstream's next incarnation was seen.
func (k *Keeper) noteDecided(r *quarantine.Record) {
	k.meters.decided.Inc(1)
	k.Log.Event(eventlog.RequestSuspected, "", eventlog.Fields{
		"fingerprint": r.Fingerprint.String(), "crashes": r.InARow(), "upstream": r.Upstream, "late": true,
		"condemned": r.StateAt(k.Self) == quarantine.Condemned,
	})
}

// Release has a request run again like any other, at all instances. It reports whether there was
// one.
func (k *Keeper) Release(f fingerprint.Fingerprint) bool {
	if !k.Table().Release(f) {
		return false
	}
	k.meters.released.Inc(1)
	k.Log.Event(eventlog.RequestReleased, "", eventlog.Fields{"fingerprint": f.String()})
	k.requestStoring()
	return true
}

// mostNamed bounds the requests that one event names.
const mostNamed = 8

func (k *Keeper) learned(records []quarantine.Record) {
	k.meters.learned.Inc(int64(len(records)))
	var condemned []string
	for i := range records {
		if records[i].StateAt(k.Self) == quarantine.Condemned && len(condemned) < mostNamed {
			condemned = append(condemned, records[i].Fingerprint.String())
		}
	}
	if len(condemned) > 0 { // suspicions are many where upstreams crash together, and end soon
		k.Log.Event(eventlog.QuarantineLearned, "", eventlog.Fields{"condemned": condemned})
	}
}

func (k *Keeper) fault(from string, err error) {
	k.Log.Event(eventlog.QuarantineFault, "", eventlog.Fields{"step": "decode", "peer": from, "cause": err.Error()})
}

// peers implements quarantine.Peers.
type peers struct{ k *Keeper }

// Choose implements quarantine.Peers.
func (p peers) Choose(most int) (addresses []string, all bool) {
	others := p.k.Members.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, m := range others[:min(most, len(others))] {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses, len(others) <= most
}

// Exchange implements quarantine.Peers.
func (p peers) Exchange(
	ctx context.Context, address string, records *quarantinepb.Records,
) (*quarantinepb.Records, error) {
	return p.k.Deps.Exchange(ctx, address, records)
}

// Service answers other instances. It implements the quarantine service.
type Service struct{ Keeper *Keeper }

// Exchange implements the quarantine service.
func (s Service) Exchange(_ context.Context, message *quarantinepb.Records) (*quarantinepb.Records, error) {
	return s.Keeper.spreader.HandleRecords(message), nil
}
