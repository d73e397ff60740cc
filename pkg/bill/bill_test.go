package bill

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/lavenderring/lavenderring/pkg/bill/billpb"
	"github.com/lavenderring/lavenderring/pkg/store/storefake"
)

// lossyPeer sends copies to a keeper and loses some messages and some replies.
type lossyPeer struct {
	keeper *Keeper
	rng    *rand.Rand
}

var errLost = errors.New("lost")

func (d lossyPeer) Keep(ctx context.Context, _ string, req *billpb.KeepRequest) (*billpb.KeepReply, error) {
	if d.rng.IntN(5) == 0 {
		return nil, errLost
	}
	reply, err := d.keeper.Keep(ctx, req)
	if d.rng.IntN(5) == 0 {
		return nil, errLost
	}
	return reply, err
}

// Guards against lost and duplicate bills. An instance bills requests; its writes
// meet conflicts and lost answers, copies are lost and resent, and its keeper
// takes it for crashed, sometimes wrongly, and writes its copies while the
// instance continues. Every bill must be stored once: records are recognized by
// their number, and only one writer can create a segment of a name.
func TestEachRequestIsBilledOnce(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(6)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("one bill for each request", prop.ForAll(func(seed uint64) string {
		return billHistory(t.Context(), seed)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func billHistory(ctx context.Context, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 9))
	store := storefake.New(seed)
	keeper := NewKeeper(store)
	j := NewJournal("i", store, lossyPeer{keeper, rng}, func() string { return "peer" })
	silent := func(string) bool { return true }
	store.SetBeforeWrite(0.2, func() { _ = keeper.TakeOver(ctx, silent) })
	billed := 0
	var running []string
	for range 150 {
		store.SetFaults(rng.IntN(8) == 0, 0.3*rng.Float64())
		switch rng.IntN(7) {
		case 0, 1:
			id := fmt.Sprintf("request-%d", billed+len(running))
			j.Open(id, "s/a", 100)
			running = append(running, id)
		case 2, 3:
			if len(running) > 0 {
				j.Settle(running[0], 10, OutcomeRan)
				j.Settle(running[0], 10, OutcomeRan) // a second settlement changes nothing
				running = running[1:]
				billed++
			}
		case 4:
			_ = j.Copy(ctx)
		case 5:
			_ = j.Flush(ctx)
		case 6:
			_ = keeper.TakeOver(ctx, silent)
		}
	}
	return finishHistory(ctx, store, keeper, j, rng.IntN(2) == 0, billed)
}

// finishHistory ends a history: the instance writes its records or, if it crashes,
// its keeper writes the copies. It returns what is wrong with the bills; "" if
// nothing is.
func finishHistory(ctx context.Context, store *storefake.Store, keeper *Keeper, j *Journal, crashes bool, billed int) string {
	store.SetFaults(false, 0)
	store.SetBeforeWrite(0, nil)
	if crashes {
		for j.Copy(ctx) != nil {
			continue
		}
		if err := keeper.TakeOver(ctx, func(string) bool { return true }); err != nil {
			return err.Error()
		}
	} else if err := j.Flush(ctx); err != nil {
		return err.Error()
	}
	statement, err := ReadStatement(store.Objects())
	if err != nil {
		return err.Error()
	}
	if len(statement.DuplicateBills) > 0 {
		return fmt.Sprintf("billed twice: %v", statement.DuplicateBills)
	}
	if len(statement.Bills) != billed {
		return fmt.Sprintf("%d requests were billed, %d bills are stored (instance crashed: %v)", billed, len(statement.Bills), crashes)
	}
	return ""
}

// After a long outage of the store the peer is replaced. The new peer needs copies
// of more records than one message may hold, and must get them in several.
func TestLongBacklogIsCopiedInParts(t *testing.T) {
	store := storefake.New(1)
	store.SetFaults(true, 0)
	keeper := NewKeeper(store)
	largest := 0
	j := NewJournal("i", store, sizeRecorder{keeper, &largest}, func() string { return "peer" })
	const requests = 2*maxCopyRecords + 10
	for n := range requests {
		j.Open(fmt.Sprint(n), "s/a", 100)
	}
	for range 3 {
		if err := j.Copy(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if largest > maxCopyRecords {
		t.Errorf("a message held %d records, more than maxCopyRecords", largest)
	}
	if kept := len(keeper.copies["i"].records); kept != requests {
		t.Errorf("%d of %d records have a copy", kept, requests)
	}
}

// sizeRecorder records the number of records in the largest message to a keeper.
type sizeRecorder struct {
	keeper  *Keeper
	largest *int
}

func (s sizeRecorder) Keep(ctx context.Context, _ string, req *billpb.KeepRequest) (*billpb.KeepReply, error) {
	*s.largest = max(*s.largest, len(req.Records))
	return s.keeper.Keep(ctx, req)
}
