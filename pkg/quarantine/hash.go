package quarantine

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns a hash that is equal for tables which watch the same requests with the same crashes,
// verdicts and undecided endings; it is 0 if no request is watched. Clear records are left out, since an
// instance may have evicted them.
func (t *Table) Hash() uint64 {
	if !t.Watching() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for _, e := range t.records {
		if e.isWatched() {
			sum ^= e.hash()
		}
	}
	return sum
}

func (r *Record) hash() uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(r.Fingerprint[:]) // a hash never fails
	for _, instance := range slices.Sorted(maps.Keys(r.Crashes)) {
		_, _ = digest.WriteString(instance)
		_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, r.Crashes[instance]))
	}
	for _, counter := range []uint32{r.Cleared, r.Isolated, r.Verdict} {
		_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, counter))
	}
	for _, key := range r.orderedEndings() {
		if r.endings[key].isUndecided() {
			_, _ = digest.WriteString(key.Instance + key.Address + key.Incarnation)
			_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, key.Turn))
		}
	}
	return digest.Sum64()
}
