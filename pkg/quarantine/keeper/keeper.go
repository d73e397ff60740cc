// Package keeper connects an instance's quarantine table to the other instances, the platform's store
// and the event log.
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

// Exchange sends records to the instance at an address and returns its reply. It returns within a
// bounded time.
type Exchange func(ctx context.Context, address string, records *quarantinepb.Records) (*quarantinepb.Records, error)

// Deps holds the dependencies of a Keeper.
type Deps struct {
	// Self is the instance's name, which stays the same after a restart.
	Self     string
	Members  *member.Table
	Exchange Exchange
	Store    store.Store
	Log      *eventlog.Log
	Metrics  metrics.Registry
	Now      func() time.Time
}

// Keeper maintains the quarantine of one instance. It is safe for concurrent use.
type Keeper struct {
	Deps
	spreader *quarantine.Spreader
	// storeRequests makes Run store the verdicts.
	storeRequests *ring.Queue[struct{}]
	// lateCrashes holds crashes that were detected late and are still to be logged.
	lateCrashes *ring.Queue[quarantine.Record]
	// condemnedParts holds the parts that this instance condemned and that are still to be logged.
	condemnedParts *ring.Queue[quarantine.PartVerdict]
	counters       counters
}

type counters struct{ learned, released, stored, lateCrashes, condemnedParts metrics.Counter }

// maxLateCrashes limits the late crashes, and the condemned parts, that wait to be logged.
const maxLateCrashes = 64

// New returns a keeper. The caller must run both Run and Spread.
func New(deps Deps) *Keeper {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, deps.Metrics) }
	k := &Keeper{
		Deps:          deps,
		storeRequests: ring.New[struct{}](1),
		lateCrashes:   ring.New[quarantine.Record](maxLateCrashes),

		condemnedParts: ring.New[quarantine.PartVerdict](maxLateCrashes),
		counters: counters{
			learned:     counter("quarantine.learned"),
			released:    counter("quarantine.released"),
			stored:      counter("quarantine.stored"),
			lateCrashes: counter("quarantine.decided_late"),

			condemnedParts: counter("quarantine.condemned_parts"),
		},
	}
	k.spreader = quarantine.NewSpreader(deps.Self, peers{k}, deps.Now, k.onLearned, k.logFault)
	k.Table().OnCondemned(k.requestStore)
	k.Table().OnPartCondemned(func(v quarantine.PartVerdict) { k.condemnedParts.TryPut(v) })
	k.Table().OnCrashConfirmed(func(r quarantine.Record) { k.lateCrashes.TryPut(r) })
	return k
}

// Table returns the instance's quarantine table.
func (k *Keeper) Table() *quarantine.Table { return k.spreader.Table() }

// Hash implements member.Quarantine.
func (k *Keeper) Hash() (hash uint64, stored bool) { return k.Table().Hash(), k.spreader.Stored() }

// ReceiveHash implements member.Quarantine.
func (k *Keeper) ReceiveHash(address string, hash uint64, stored bool) {
	k.spreader.ReceiveHash(address, hash, stored)
}

// Stored reports whether the table contains the records in the store.
func (k *Keeper) Stored() bool { return k.spreader.Stored() }

// Compared reports whether the table has been compared with another instance's at least once.
func (k *Keeper) Compared() bool { return k.spreader.Compared() }

// Spread synchronizes the table with the other instances until ctx ends.
func (k *Keeper) Spread(ctx context.Context) { k.spreader.Run(ctx) }

// Run stores verdicts and logs crashes that were detected late, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.storeRequests.Items():
			k.storeVerdicts(ctx)
		case r := <-k.lateCrashes.Items():
			k.logLateCrash(&r)
		case v := <-k.condemnedParts.Items():
			k.logCondemnedPart(&v)
		}
	}
}

// logLateCrash logs a crash that was detected only by observing that the upstream's process was gone or
// had been replaced.
func (k *Keeper) logLateCrash(r *quarantine.Record) {
	k.counters.lateCrashes.Inc(1)
	k.Log.Event(eventlog.RequestSuspected, "", eventlog.Fields{
		"fingerprint": r.Fingerprint.String(), "crashes": r.ConsecutiveCrashes(), "upstream": r.Upstream, "late": true,
		"condemned": k.Table().StateOf(r.Fingerprint) == quarantine.Condemned,
	})
}

func (k *Keeper) logCondemnedPart(v *quarantine.PartVerdict) {
	k.counters.condemnedParts.Inc(1)
	k.Log.Event(eventlog.PartCondemned, "", eventlog.Fields{
		"fingerprint": v.Record.Fingerprint.String(), "part": v.Record.Part.Name(), "service": v.Record.Part.Service,
		"account": v.Record.Account, "crashes": v.Crashes, "requests": v.Requests, "since_ms": v.Since.Milliseconds(),
		"upstream": v.Record.Upstream,
	})
}

// Release clears a watched request or part, so that it runs without restrictions at all instances. It reports
// whether the request was watched.
func (k *Keeper) Release(f fingerprint.Fingerprint) bool {
	if !k.Table().Release(f, k.Now()) {
		return false
	}
	k.counters.released.Inc(1)
	k.Log.Event(eventlog.RequestReleased, "", eventlog.Fields{"fingerprint": f.String()})
	k.requestStore()
	return true
}

// maxLoggedRequests limits the requests listed in one event.
const maxLoggedRequests = 8

func (k *Keeper) onLearned(records []quarantine.Record) {
	k.counters.learned.Inc(int64(len(records)))
	var condemned []string
	for i := range records {
		if k.Table().StateOf(records[i].Fingerprint) == quarantine.Condemned && len(condemned) < maxLoggedRequests {
			condemned = append(condemned, records[i].Fingerprint.String())
		}
	}
	if len(condemned) > 0 { // suspected requests are not logged: simultaneous crashes cause many, for a short time
		k.Log.Event(eventlog.QuarantineLearned, "", eventlog.Fields{"condemned": condemned})
	}
}

func (k *Keeper) logFault(f quarantine.Fault) {
	k.Log.Event(eventlog.QuarantineFault, "", eventlog.Fields{"step": f.Step, "peer": f.Peer, "cause": f.Err.Error()})
}

// peers implements quarantine.Peers.
type peers struct{ keeper *Keeper }

// Choose implements quarantine.Peers.
func (p peers) Choose(limit int) (addresses []string, all bool) {
	others := p.keeper.Members.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, m := range others[:min(limit, len(others))] {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses, len(others) <= limit
}

// Exchange implements quarantine.Peers.
func (p peers) Exchange(
	ctx context.Context, address string, records *quarantinepb.Records,
) (*quarantinepb.Records, error) {
	return p.keeper.Deps.Exchange(ctx, address, records)
}

// Service handles calls of other instances. It implements the Quarantine service.
type Service struct{ Keeper *Keeper }

// Exchange implements the Quarantine service.
func (s Service) Exchange(_ context.Context, message *quarantinepb.Records) (*quarantinepb.Records, error) {
	return s.Keeper.spreader.HandleRecords(message), nil
}
