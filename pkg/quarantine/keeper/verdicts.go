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

// What the store keeps of condemned requests, for a fleet whose instances were all lost.
const (
	// verdictsKey is the object's.
	verdictsKey = "quarantine/verdicts"
	// mostVerdicts bounds the object: the newest ones, some 40 kB.
	mostVerdicts = 256
	// storeRetry is the pause before verdicts that could not be stored are stored again.
	storeRetry = 2 * time.Second
)

// verdicts is the stored object: a quarantinepb.Records, which JSON carries in base64.
type verdicts struct {
	Records []byte `json:"records"`
}

// requestStoring has Run store the verdicts; a full ring says that it will.
func (k *Keeper) requestStoring() { k.verdicts.TryPut(struct{}{}) }

// storeVerdicts brings the stored object up to what this instance knows. Writes merge, so it does
// not matter who writes, in which order, and whether the store has gone back.
func (k *Keeper) storeVerdicts(ctx context.Context) {
	err := store.Update(ctx, k.Store, verdictsKey, func(present []byte) ([]byte, error) {
		stored, err := decodeVerdicts(present)
		if err != nil {
			k.fault(verdictsKey, err) // what cannot be read is replaced
		}
		merged, err := encodeVerdicts(mergeVerdicts(stored, k.Table().All()))
		if err == nil && bytes.Equal(merged, present) {
			return nil, store.ErrUnchanged
		}
		return merged, err
	})
	if err == nil {
		k.meters.stored.Inc(1)
		return
	}
	k.Log.Event(eventlog.QuarantineFault, "", eventlog.Fields{"step": "store", "cause": err.Error()})
	if pause.For(ctx, storeRetry) {
		k.requestStoring()
	}
}

// Recover takes in what the store has, and stores what it lacks. A fleet whose instances were all
// lost knows by it what it had condemned.
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
		k.learned(changed)
	}
	k.spreader.NoteStored()
	k.StoreAgain()
	return nil
}

// StoreAgain stores the verdicts again, if there are any: the store may have lost them.
func (k *Keeper) StoreAgain() {
	if len(k.Table().Condemned()) > 0 {
		k.requestStoring()
	}
}

// mergeVerdicts returns the condemned requests of both, and those of them that were released.
func mergeVerdicts(stored, known []quarantine.Record) []quarantine.Record {
	merged := quarantine.NewTable("", nil)
	merged.Merge(stored, time.Time{}, false)
	wanted := map[string]bool{}
	for i := range stored {
		wanted[stored[i].Fingerprint.String()] = true
	}
	for i := range known {
		if known[i].IsCondemned() || wanted[known[i].Fingerprint.String()] {
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
	return out[:min(len(out), mostVerdicts)]
}

func encodeVerdicts(records []quarantine.Record) ([]byte, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(&quarantinepb.Records{Records: quarantine.Encode(records, time.Time{})})
	if err != nil {
		return nil, err
	}
	return json.Marshal(verdicts{Records: encoded})
}

func decodeVerdicts(value []byte) ([]quarantine.Record, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var object verdicts
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
