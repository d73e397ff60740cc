// Package bill makes each request's bill durable exactly once. A bill is keyed
// by its request's id. The instance that served the request numbers its records,
// keeps a copy with a peer in another failure domain, and writes them in batches
// as segments, objects that are created once and never changed. If the instance
// dies the peer writes the rest under the same names.
package bill

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/bill/billpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Outcomes of a record.
const (
	// OutcomeOpen is a request under way; tokens is its bound.
	OutcomeOpen = "open"
	// OutcomeRan is a request that was answered whole.
	OutcomeRan = "ran"
	// OutcomeUnknown is a request without a whole answer; tokens is what the
	// upstream said it cost, or the bound if it could not say.
	OutcomeUnknown = "unknown"
)

// Prefix is above all segments.
const Prefix = Kind + "/"

// Kind is the kind of the segments in the store.
const Kind = "bills"

// maxPending bounds the records that wait for the store. Beyond it new requests
// are refused: a bill is never dropped.
const maxPendingRecords = 200_000

// Segment is a batch of one incarnation's records.
type Segment struct {
	Incarnation string           `json:"incarnation"`
	Records     []*billpb.Record `json:"records"`
}

// Peers carries records to another instance.
type Peers interface {
	Keep(ctx context.Context, to string, req *billpb.KeepRequest) (*billpb.KeepReply, error)
}

// Journal holds this instance's records until they are durable. It is safe for
// concurrent use.
type Journal struct {
	self        string
	store       store.Store
	peers       Peers
	currentPeer func() string

	mu          sync.Mutex
	seq         uint64
	pending     []*billpb.Record
	openRecords map[string]*billpb.Record
	durableSeq  uint64
	keptSeq     map[string]uint64 // by peer
	nextSegment uint64
	flushMu     sync.Mutex
	// copying is held by the one copy at a time; those that wait for it find
	// their records copied with the ones before.
	copyMu       sync.Mutex
	copyFailedAt time.Time
}

// NewJournal returns an empty journal; peer names whom to keep copies with.
func NewJournal(self string, target store.Store, peers Peers, peer func() string) *Journal {
	return &Journal{
		self:        self,
		store:       target,
		peers:       peers,
		currentPeer: peer,
		openRecords: map[string]*billpb.Record{},
		keptSeq:     map[string]uint64{},
	}
}

// Full reports that no more requests may be taken until the store is back.
func (j *Journal) Full() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.pending) >= maxPendingRecords
}

// Open records that a request is about to be dispatched with a bound in tokens.
func (j *Journal) Open(request, budget string, maxTokens int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.openRecords[request] = j.appendRecord(request, budget, maxTokens, OutcomeOpen)
}

// Bounds of securing a record.
const (
	// secureTimeout bounds the wait of one request for its record's copy.
	copyWaitTimeout = 300 * time.Millisecond
	// secureAgainAfter is how long after a copy that failed nobody waits for one.
	copyRetryInterval = time.Second
)

// Secure waits until every record so far has a copy, so that a request that is
// about to be dispatched leaves a trace even if this instance dies at once. It
// gives up after a short while: with the peer out of reach the records are lost
// only if this instance dies too before they are in the store.
func (j *Journal) WaitForCopy(ctx context.Context) {
	j.mu.Lock()
	upTo := j.seq
	j.mu.Unlock()
	j.copyMu.Lock()
	defer j.copyMu.Unlock()
	if j.hasCopy(upTo) || time.Since(j.copyFailedAt) < copyRetryInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, copyWaitTimeout)
	defer cancel()
	if j.copyLocked(ctx) != nil {
		j.copyFailedAt = time.Now()
	}
}

func (j *Journal) hasCopy(upTo uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.durableSeq >= upTo || j.keptSeq[j.currentPeer()] >= upTo
}

// Settle records a request's bill. Settling a request that is not open changes
// nothing, so no request is billed twice.
func (j *Journal) Settle(request string, tokens int64, outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	opened := j.openRecords[request]
	if opened == nil {
		return
	}
	delete(j.openRecords, request)
	j.appendRecord(request, opened.Budget, tokens, outcome)
}

func (j *Journal) appendRecord(request, budget string, tokens int64, outcome string) *billpb.Record {
	j.seq++
	record := &billpb.Record{
		Seq:      j.seq,
		Request:  request,
		Budget:   budget,
		Tokens:   tokens,
		Outcome:  outcome,
		AtMillis: time.Now().UnixMilli(),
	}
	j.pending = append(j.pending, record)
	return record
}

// Copy brings new records to the peer.
func (j *Journal) Copy(ctx context.Context) error {
	j.copyMu.Lock()
	defer j.copyMu.Unlock()
	return j.copyLocked(ctx)
}

func (j *Journal) copyLocked(ctx context.Context) error {
	peer := j.currentPeer()
	if peer == "" {
		return nil
	}
	req, upTo := j.nextKeepRequest(peer)
	if req == nil {
		return nil
	}
	if _, err := j.peers.Keep(ctx, peer, req); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.keptSeq[peer] = max(j.keptSeq[peer], upTo)
	return nil
}

func (j *Journal) nextKeepRequest(peer string) (*billpb.KeepRequest, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	kept := j.keptSeq[peer]
	if j.seq == kept {
		return nil, 0
	}
	req := &billpb.KeepRequest{Incarnation: j.self, Durable: j.durableSeq, Segment: j.nextSegment}
	upTo := j.seq
	for _, record := range j.pending {
		if record.Seq <= kept {
			continue
		}
		if len(req.Records) == maxCopyRecords {
			break
		}
		req.Records = append(req.Records, record)
	}
	if len(req.Records) == maxCopyRecords {
		upTo = req.Records[maxCopyRecords-1].Seq
	}
	return req, upTo
}

// maxCopyRecords bounds one message to the peer: after a long outage of the store
// a new peer needs copies of everything that is pending, more than one may hold.
const maxCopyRecords = 4000

// Flush writes all pending records to the store. Records of requests under way
// are written as they are: their bills follow.
func (j *Journal) Flush(ctx context.Context) error {
	j.flushMu.Lock()
	defer j.flushMu.Unlock()
	j.mu.Lock()
	records := append([]*billpb.Record(nil), j.pending...)
	next := j.nextSegment
	j.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	next, rest, err := writeSegments(ctx, j.store, j.self, next, records)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.nextSegment = next
	j.removeWritten(records, rest)
	return err
}

// drop forgets the records that were written; they lead the pending ones, and
// the rest of the attempt follows them.
func (j *Journal) removeWritten(tried, rest []*billpb.Record) {
	written := len(tried) - len(rest)
	if written == 0 {
		return
	}
	j.durableSeq = max(j.durableSeq, tried[written-1].Seq)
	j.pending = append([]*billpb.Record(nil), j.pending[written:]...)
}

// maxSegmentRecords keeps a segment below the platform's largest value.
const maxSegmentRecords = 4000

// writeSegments creates segments from number next on until every record is in
// one. It returns the number after the last and the records not written. A
// number that is taken was written by this writer, with its answer lost, or by
// the peer that thought it dead; either way the records in it are done with.
func writeSegments(
	ctx context.Context, target store.Store, incarnation string, next uint64, records []*billpb.Record,
) (uint64, []*billpb.Record, error) {
	for len(records) > 0 {
		batch := records[:min(len(records), maxSegmentRecords)]
		value, err := json.Marshal(Segment{Incarnation: incarnation, Records: batch})
		if err != nil {
			return next, records, err
		}
		key := segmentKey(incarnation, next)
		if _, err = target.Put(ctx, key, value, store.NoPosition); err == nil {
			records = records[len(batch):]
		} else if records, err = removeStored(ctx, target, key, records, err); err != nil {
			return next, records, err
		}
		next++
	}
	return next, nil, nil
}

func segmentKey(incarnation string, number uint64) string {
	return fmt.Sprintf("%s%s/%08d", Prefix, incarnation, number)
}

// withoutStored settles a failed create by reading the segment back.
func removeStored(
	ctx context.Context, target store.Store, key string, records []*billpb.Record, cause error,
) ([]*billpb.Record, error) {
	if !errors.Is(cause, store.ErrConflict) && !errors.Is(cause, store.ErrUncertain) {
		return records, cause
	}
	object, err := target.Get(ctx, key)
	if err != nil {
		return records, err
	}
	var segment Segment
	if err := json.Unmarshal(object.Value, &segment); err != nil {
		return records, fmt.Errorf("decode bill segment %s: %w", key, err)
	}
	stored := map[uint64]bool{}
	for _, record := range segment.Records {
		stored[record.Seq] = true
	}
	rest := make([]*billpb.Record, 0, len(records))
	for _, record := range records {
		if !stored[record.Seq] {
			rest = append(rest, record)
		}
	}
	return rest, nil
}
