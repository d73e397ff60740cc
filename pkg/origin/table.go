package origin

import (
	"sync"
	"time"
)

// Bounds of a table. A record that exceeds them is dropped, and its stream cannot be resumed.
const (
	maxRecords = 1 << 16
	// maxAccountRecords leaves room for the streams of the other accounts.
	maxAccountRecords = maxRecords / 4
)

// table holds the records of an instance. It is safe for concurrent use.
type table struct {
	now func() time.Time

	mu      sync.Mutex
	records map[Key]record
	// numOfAccount counts the records by their accounts' hashes.
	numOfAccount map[uint64]int
	// changes counts the records that were added.
	changes uint64
}

func newTable(now func() time.Time) *table {
	return &table{now: now, records: map[Key]record{}, numOfAccount: map[uint64]int{}}
}

// merge adds a record, or merges it with the one that the table has of the same stream. It reports
// whether the table now holds what the record says. Merging is commutative and idempotent, so records
// may arrive in any order and more than once.
func (t *table) merge(r record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.records[r.key]
	if !found {
		if len(t.records) >= maxRecords || t.numOfAccount[r.account] >= maxAccountRecords {
			return false
		}
		t.numOfAccount[r.account]++
		t.records[r.key] = r
		t.changes++
		return true
	}
	if r.conflict || known.origin != r.origin {
		known.conflict, known.origin = true, Origin{}
	}
	if r.expires.After(known.expires) {
		known.expires = r.expires
	}
	t.records[r.key] = known
	return true
}

// find returns the record of a stream.
func (t *table) find(key Key) (record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, found := t.records[key]
	return r, found
}

// all returns all records.
func (t *table) all() []record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r)
	}
	return out
}

// numChanges returns how many records have been added so far.
func (t *table) numChanges() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// size returns the number of records.
func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// expire drops the records whose clients no longer wait.
func (t *table) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for key, r := range t.records {
		if now.Before(r.expires) {
			continue
		}
		delete(t.records, key)
		if t.numOfAccount[r.account]--; t.numOfAccount[r.account] == 0 {
			delete(t.numOfAccount, r.account)
		}
	}
}
