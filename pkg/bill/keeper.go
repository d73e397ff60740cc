package bill

import (
	"context"
	"sort"
	"sync"

	"github.com/lavenderring/lavenderring/pkg/bill/billpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Keeper holds copies of other instances' records. It is safe for concurrent use.
type Keeper struct {
	store store.Store
	// takeOverMu allows one takeover at a time.
	takeOverMu sync.Mutex

	mu     sync.Mutex
	copies map[string]*recordCopies
}

// recordCopies holds the copies of one incarnation's records, by sequence number,
// and the number of its first segment that may hold them.
type recordCopies struct {
	nextSegment uint64
	records     map[uint64]*billpb.Record
}

// NewKeeper returns a Keeper without copies.
func NewKeeper(target store.Store) *Keeper {
	return &Keeper{store: target, copies: map[string]*recordCopies{}}
}

// Keep stores copies of records and removes those that are durable. A record that
// is received twice or late is recognized by its sequence number.
func (k *Keeper) Keep(_ context.Context, req *billpb.KeepRequest) (*billpb.KeepReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.copies[req.Incarnation]
	if c == nil {
		c = &recordCopies{records: map[uint64]*billpb.Record{}}
		k.copies[req.Incarnation] = c
	}
	c.nextSegment = max(c.nextSegment, req.Segment)
	kept := req.Durable
	for _, record := range req.Records {
		c.records[record.Seq] = record
		kept = max(kept, record.Seq)
	}
	for seq := range c.records {
		if seq <= req.Durable {
			delete(c.records, seq)
		}
	}
	return &billpb.KeepReply{Kept: kept}, nil
}

// TakeOver writes the copies of the records of silent incarnations to the store.
// An incarnation may be silent and still running: as both write segments of the
// same names, each record is stored once.
func (k *Keeper) TakeOver(ctx context.Context, silent func(incarnation string) bool) error {
	if !k.takeOverMu.TryLock() {
		return nil
	}
	defer k.takeOverMu.Unlock()
	for incarnation, unwritten := range k.unwrittenOf(silent) {
		if _, _, err := writeSegments(ctx, k.store, incarnation, unwritten.nextSegment, unwritten.records); err != nil {
			return err
		}
		k.forget(incarnation, unwritten.records)
	}
	return nil
}

// unwrittenRecords holds the records, in order, that a silent incarnation is not
// known to have written.
type unwrittenRecords struct {
	nextSegment uint64
	records     []*billpb.Record
}

// unwrittenOf returns the unwritten records of all silent incarnations.
func (k *Keeper) unwrittenOf(silent func(string) bool) map[string]unwrittenRecords {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[string]unwrittenRecords{}
	for incarnation, kept := range k.copies {
		if len(kept.records) > 0 && silent(incarnation) {
			out[incarnation] = kept.sorted()
		}
	}
	return out
}

func (c *recordCopies) sorted() unwrittenRecords {
	list := make([]*billpb.Record, 0, len(c.records))
	for _, record := range c.records {
		list = append(list, record)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Seq < list[j].Seq })
	return unwrittenRecords{nextSegment: c.nextSegment, records: list}
}

func (k *Keeper) forget(incarnation string, written []*billpb.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	kept := k.copies[incarnation]
	for _, record := range written {
		delete(kept.records, record.Seq)
	}
	if len(kept.records) == 0 {
		delete(k.copies, incarnation)
	}
}
