package quarantine

import "time"

// maxCrashedProcesses is the number of crashed processes kept before those older than
// recentCrashLifetime are removed.
const maxCrashedProcesses = 1024

// process identifies one incarnation at an address.
type process struct{ address, incarnation string }

// noteCrashedProcesses adds the processes that crashed according to a record. t.mu must be held.
func (t *Table) noteCrashedProcesses(record *Record, now time.Time) {
	for key, e := range record.endings {
		if e.Crash == 0 || key.Incarnation == "" {
			continue
		}
		if len(t.crashedProcesses) >= maxCrashedProcesses {
			t.expireProcesses(now)
		}
		t.crashedProcesses[process{key.Address, key.Incarnation}] = now
	}
}

func (t *Table) expireProcesses(now time.Time) {
	for p, at := range t.crashedProcesses {
		if now.Sub(at) > recentCrashLifetime {
			delete(t.crashedProcesses, p)
		}
	}
}

// HasCrashed reports whether the process of an incarnation at an address is known to have crashed. A
// process that answers at that address now is a different one.
func (t *Table) HasCrashed(address, incarnation string) bool {
	if !t.Watching() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, crashed := t.crashedProcesses[process{address, incarnation}]
	return crashed
}
