// Package bill makes each request's bill durable exactly once. A bill is keyed
// by its request's id. The instance that served the request numbers its records,
// copies them to a peer in another failure domain, and writes them in batches as
// segments, objects that are created once and never changed. If the instance
// crashes, the peer writes the remaining records as segments of the same names.
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
	// OutcomeOpen is the outcome of a request in progress; its tokens are the maximum
	// that it may cost.
	OutcomeOpen = "open"
	// OutcomeRan is the outcome of a request that was answered whole.
	OutcomeRan = "ran"
	// OutcomeUnknown is the outcome of a request without a whole answer; its tokens are
	// the cost that the upstream reported, or the maximum if it reported none.
	OutcomeUnknown = "unknown"
)

// Prefix is the prefix of the keys of all segments in the store.
const Prefix = Kind + "/"

// Kind is the kind of the segments in the store.
const Kind = "bills"

// maxPendingRecords bounds the records that are not in the store yet. When it is
// reached new requests are refused, because a bill is never dropped.
const maxPendingRecords = 200_000

// Segment is a batch of one incarnation's records, stored as a JSON object.
type Segment struct {
	Incarnation string           `json:"incarnation"`
	Records     []*billpb.Record `json:"records"`
}

// Peers sends records to another instance, which keeps copies of them.
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
	keptSeq     map[string]uint64 // the highest number that has a copy, by peer
	nextSegment uint64
	flushMu     sync.Mutex
	// copyMu allows one copy at a time. A request that waited for it usually
	// finds its record copied together with earlier ones.
	copyMu       sync.Mutex
	copyFailedAt time.Time
}

// NewJournal returns an empty journal; peer returns the instance that keeps the
// copies now, or "" if there is none.
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

// Full reports whether new requests must be refused because too many records wait
// for the store.
func (j *Journal) Full() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.pending) >= maxPendingRecords
}

// Open records that a request, which may cost up to maxTokens, is about to be
// dispatched.
func (j *Journal) Open(request, budget string, maxTokens int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.openRecords[request] = j.appendRecord(request, budget, maxTokens, OutcomeOpen)
}

// Timing of waiting for a record's copy.
const (
	// copyWaitTimeout bounds the wait of one request for its record's copy.
	copyWaitTimeout = 300 * time.Millisecond
	// copyRetryInterval is the time after a failed copy during which no request
	// waits for the next copy.
	copyRetryInterval = time.Second
)

// AwaitCopy waits until every record so far has a copy or is in the store, so
// that a request that is about to be dispatched is on record even if this
// instance crashes at once. It gives up after copyWaitTimeout: while the peer is
// unreachable, records are lost only if this instance also crashes before they
// are in the store.
func (j *Journal) AwaitCopy(ctx context.Context) {
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

// hasCopy reports whether every record up to upTo is in the store or has a copy at
// the current peer.
func (j *Journal) hasCopy(upTo uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.durableSeq >= upTo || j.keptSeq[j.currentPeer()] >= upTo
}

// Settle records a request's bill. It does nothing if the request is not open, so
// no request is billed twice.
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

// appendRecord appends a record to the pending ones; j.mu is held.
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

// Copy sends the records that the current peer lacks to it, at most
// maxCopyRecords of them.
func (j *Journal) Copy(ctx context.Context) error {
	j.copyMu.Lock()
	defer j.copyMu.Unlock()
	return j.copyLocked(ctx)
}

// copyLocked implements Copy. The caller holds j.copyMu.
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

// nextKeepRequest returns the next message to the peer and the number of the last
// record that it covers; nil if the peer has all records.
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

// maxCopyRecords bounds the records in one message to the peer: after a long
// outage of the store a new peer needs copies of all pending records, more than
// fit into one message.
const maxCopyRecords = 4000

// Flush writes all pending records to the store, also the open records of
// requests in progress, whose bills follow later.
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

// removeWritten removes from the pending records those that were written: all of
// tried except the last len(rest). The caller holds j.mu.
func (j *Journal) removeWritten(tried, rest []*billpb.Record) {
	written := len(tried) - len(rest)
	if written == 0 {
		return
	}
	j.durableSeq = max(j.durableSeq, tried[written-1].Seq)
	j.pending = append([]*billpb.Record(nil), j.pending[written:]...)
}

// maxSegmentRecords keeps a segment below the size limit of the platform's values.
const maxSegmentRecords = 4000

// writeSegments creates segments from number next on until every record is in
// one. It returns the number after the last segment and the records that were not
// written. If a segment exists already, the records in it are durable: either an
// earlier write of this writer took effect although its answer was lost, or the
// other writer created it. The writers are the instance and, if the peer takes the
// instance for crashed, the peer.
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

// removeStored returns the records that are not in the segment at key, which it
// reads after its creation failed with cause. If cause shows that nothing was
// stored it returns cause.
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
