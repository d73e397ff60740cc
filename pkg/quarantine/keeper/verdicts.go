package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
	"github.com/lavenderring/lavenderring/pkg/quarantine/quarantinepb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Parameters of the stored verdicts. The store holds the records of the condemned requests, so that the
// verdicts survive the loss of all instances.
const (
	// verdictsKey is the key of the stored object.
	verdictsKey = "quarantine/verdicts"
	// maxStoredVerdicts limits the object to the newest verdicts, about 40 kB.
	maxStoredVerdicts = 256
	// storeRetryInterval is the delay before another attempt to store verdicts after a failure.
	storeRetryInterval = 2 * time.Second
)

// storedVerdicts is the stored object. Records is an encoded quarantinepb.Records, in base64 in the
// JSON.
type storedVerdicts struct {
	Records []byte `json:"records"`
}

// requestStore makes Run store the verdicts. If the queue is full, an earlier request is still waiting.
func (k *Keeper) requestStore() { k.storeRequests.TryPut(struct{}{}) }

// storeVerdicts merges what this instance knows into the stored object. Since writes merge, it does not
// matter which instances write, in which order, or whether the store was rolled back to an older copy.
func (k *Keeper) storeVerdicts(ctx context.Context) {
	err := store.Update(ctx, k.Store, verdictsKey, func(present []byte) ([]byte, error) {
		stored, err := decodeVerdicts(present)
		if err != nil {
			k.logFault(quarantine.Fault{Step: "decode", Peer: verdictsKey, Err: err}) // an unreadable object is overwritten
		}
		merged, err := encodeVerdicts(mergeVerdicts(stored, k.Table().All()))
		if err == nil && bytes.Equal(merged, present) {
			return nil, store.ErrUnchanged
		}
		return merged, err
	})
	if err == nil {
		k.counters.stored.Inc(1)
		return
	}
	k.Log.Event(eventlog.QuarantineFault, "", eventlog.Fields{"step": "store", "cause": err.Error()})
	if pause.For(ctx, storeRetryInterval) {
		k.requestStore()
	}
}

// Recover merges the stored verdicts into the table, and requests storing those that the store lacks.
// After the loss of all instances, this is how a fleet learns again which requests are condemned.
func (k *Keeper) Recover(ctx context.Context) error {
	object, err := k.Store.Get(ctx, verdictsKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	stored, err := decodeVerdicts(object.Value)
	if err != nil {
		return err
	}
	if changed := k.Table().Merge(stored, k.Now(), true); len(changed) > 0 {
		k.onLearned(changed)
	}
	k.spreader.NoteStored()
	k.StoreAgain()
	return nil
}

// StoreAgain requests storing the verdicts, if there are any, because the store may have lost them.
func (k *Keeper) StoreAgain() {
	if len(k.Table().Condemned()) > 0 {
		k.requestStore()
	}
}

// mergeVerdicts merges the stored records with those in known, and returns the maxStoredVerdicts with
// the latest crashes. From known it takes the condemned requests, and the requests that are stored
// already: some of these may have been released since, which the stored records must show.
func mergeVerdicts(stored, known []quarantine.Record) []quarantine.Record {
	merged := quarantine.NewTable("", nil)
	merged.Merge(stored, time.Time{}, false)
	included := map[string]bool{}
	for i := range stored {
		included[stored[i].Fingerprint.String()] = true
	}
	for i := range known {
		if known[i].IsCondemned() || included[known[i].Fingerprint.String()] {
			merged.Merge([]quarantine.Record{known[i].WithoutEndings()}, time.Time{}, false)
		}
	}
	out := merged.All()
	slices.SortFunc(out, func(a, b quarantine.Record) int {
		if c := b.LastCrash.Compare(a.LastCrash); c != 0 {
			return c
		}
		return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return out[:min(len(out), maxStoredVerdicts)]
}

func encodeVerdicts(records []quarantine.Record) ([]byte, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(&quarantinepb.Records{Records: quarantine.Encode(records, time.Time{})})
	if err != nil {
		return nil, err
	}
	return json.Marshal(storedVerdicts{Records: encoded})
}

func decodeVerdicts(value []byte) ([]quarantine.Record, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var object storedVerdicts
	if err := json.Unmarshal(value, &object); err != nil {
		return nil, err
	}
	var message quarantinepb.Records
	if err := proto.Unmarshal(object.Records, &message); err != nil {
		return nil, err
	}
	records, bad := quarantine.Decode(message.Records, time.Time{})
	return records, errors.Join(bad...)
}
