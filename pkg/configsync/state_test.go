package configsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/pkg/store/storefake"
)

func documentText(prepaid int64) []byte {
	return fmt.Appendf(nil, `service = "s"
[[accounts]]
name = "a"
key_sha256 = %q
prepaid_tokens = %d
[[pools]]
name = "p"
kind = "plain"
`, document.HashKey("key"), prepaid)
}

// noList adds to the fake store the List and Watch methods that this test does not use.
type noList struct{ *storefake.Store }

func (noList) List(context.Context, string) (store.Listing, error) { return store.Listing{}, nil }

func (noList) Watch(context.Context, string, store.Position, time.Duration) (store.Changes, error) {
	return store.Changes{}, nil
}

// Several instances accept documents concurrently, late, and from old watch
// events, while the store loses answers, and peers send the documents that they
// have in any order. No instance may return to an older generation, and in the end the
// newest document must be in force on all of them.
func TestConfigurationNeverReverts(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("generations only rise, and follow the documents", prop.ForAll(func(seed uint64) string {
		failure := ""
		synctest.Test(t, func(t *testing.T) { failure = runRandomHistory(t.Context(), seed) })
		return failure
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func runRandomHistory(ctx context.Context, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 10))
	fake := storefake.New(seed)
	var syncers []*Syncer
	seen := make([]uint64, 4)
	reverted := ""
	for n := range seen {
		state := NewState(func(f *ActiveDocument) {
			if f.Generation <= seen[n] {
				reverted = fmt.Sprintf("instance %d went from generation %d to %d", n, seen[n], f.Generation)
			}
			seen[n] = f.Generation
		})
		syncers = append(syncers, NewSyncer(noList{fake}, state, eventlog.Discard("test"), nil, func() {}))
	}
	var events []store.Object // every version ever stored, as late watch answers deliver them
	var newest store.Object
	for range 60 {
		fake.SetFaults(rng.IntN(8) == 0, 0.3*rng.Float64())
		switch rng.IntN(4) {
		case 0:
			text := documentText(rng.Int64N(1000))
			if _, err := fake.Put(ctx, DocumentPrefix+"s", text, newest.Position); err == nil {
				newest, _ = fake.Get(ctx, DocumentPrefix+"s")
				events = append(events, newest)
			} else if object, err := fake.Get(ctx, DocumentPrefix+"s"); err == nil && newest.Position.Before(object.Position) {
				newest = object
				events = append(events, newest)
			}
		case 1, 2:
			if len(events) > 0 {
				_ = syncers[rng.IntN(4)].Accept(ctx, events[rng.IntN(len(events))])
			}
		case 3:
			if f := syncers[rng.IntN(4)].state.Snapshot().Services["s"]; f != nil {
				syncers[rng.IntN(4)].Apply(f.Accepted)
			}
		}
	}
	if reverted != "" {
		return reverted
	}
	return expectNewest(ctx, fake, syncers, newest)
}

func expectNewest(ctx context.Context, fake *storefake.Store, syncers []*Syncer, newest store.Object) string {
	fake.SetFaults(false, 0)
	object, err := fake.Get(ctx, DocumentPrefix+"s")
	if err != nil {
		return "" // nothing was ever stored
	}
	for _, s := range syncers {
		if err := s.Accept(ctx, object); err != nil {
			return err.Error()
		}
	}
	for n, s := range syncers {
		f := s.state.Snapshot().Services["s"]
		if f == nil || f.DocumentVersion != object.Position {
			return fmt.Sprintf("instance %d does not have version %d in force (an operator read version %d)", n, object.Position, newest.Position)
		}
	}
	return ""
}
