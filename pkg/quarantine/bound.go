package quarantine

import (
	"cmp"
	"maps"
	"slices"
)

// Bounds on the number of records in a table.
const (
	// maxRecords limits a table to about 3 MB.
	maxRecords = 4096
	// maxRecordsPerAccount keeps one account from displacing the records of the others.
	maxRecordsPerAccount = 512
	// evictionBatch is the number of records removed by one eviction. Finding candidates scans the
	// whole table, so several are removed at a time.
	evictionBatch = 64
)

// add inserts an empty entry for the request of record, evicting others if the table or the account
// is full. It returns nil if no record may be evicted. t.mu must be held.
func (t *Table) add(record *Record) *entry {
	if t.accounts[record.Account] >= maxRecordsPerAccount {
		t.evict(func(e *entry) bool { return e.Account == record.Account })
	}
	if len(t.records) >= maxRecords {
		t.evict(func(*entry) bool { return true })
	}
	if t.accounts[record.Account] >= maxRecordsPerAccount || len(t.records) >= maxRecords {
		return nil
	}
	e := &entry{crashedUpstreams: map[string]bool{}, Record: Record{
		Fingerprint: record.Fingerprint,
		Account:     record.Account,
		Route:       record.Route,
		Crashes:     map[string]uint32{},
		Part:        record.Part,
	}}
	if e.Part != nil {
		t.parts.records[scopedPart{Account: e.Account, Part: *e.Part}] = e
	}
	t.records[record.Fingerprint] = e
	t.accounts[record.Account]++
	return e
}

// evict removes up to evictionBatch matching records: those with the fewest consecutive crashes
// first (clear records have none), and among these the one with the oldest last crash. Condemned
// records are never evicted: otherwise a client could free its requests by filling the table.
// t.mu must be held.
func (t *Table) evict(matches func(*entry) bool) {
	candidates := slices.DeleteFunc(slices.Collect(maps.Values(t.records)), func(e *entry) bool {
		return !matches(e) || e.IsCondemned()
	})
	slices.SortFunc(candidates, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.ConsecutiveCrashes(), b.ConsecutiveCrashes()), a.LastCrash.Compare(b.LastCrash),
			slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	for _, e := range candidates[:min(len(candidates), evictionBatch)] {
		t.remove(e)
	}
}

func (t *Table) remove(e *entry) {
	t.countWatched(e.isWatched(), false)
	e.endings = nil
	t.updateIndex(e)
	delete(t.records, e.Fingerprint)
	if e.Part != nil {
		delete(t.parts.records, scopedPart{Account: e.Account, Part: *e.Part})
	}
	delete(t.pending, e.Fingerprint)
	if t.accounts[e.Account]--; t.accounts[e.Account] <= 0 {
		delete(t.accounts, e.Account)
	}
}
