package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/quarantine/quarantinepb"
)

// mostOrdinal bounds what an ordinal may say: one near the highest number could never be cleared.
const mostOrdinal = 1 << 30

// mostName bounds names in records, in bytes.
const mostName = 256

// BadRecordError tells what is wrong with a record of another instance.
type BadRecordError struct {
	// Fingerprint is what the record has for one.
	Fingerprint []byte
	// Fault says what is wrong.
	Fault string
}

// Error implements error.
func (e *BadRecordError) Error() string {
	return fmt.Sprintf("quarantine record %x: %s", e.Fingerprint, e.Fault)
}

// Encode returns records as instances send them.
func Encode(records []Record) []*quarantinepb.Record {
	out := make([]*quarantinepb.Record, 0, len(records))
	for i := range records {
		out = append(out, encode(&records[i]))
	}
	return out
}

func encode(r *Record) *quarantinepb.Record {
	m := &quarantinepb.Record{
		Fingerprint: r.Fingerprint[:],
		Account:     r.Account,
		Route:       r.Route,
		Cleared:     r.Cleared,
		Alone:       r.Alone,
		Verdict:     r.Verdict,
		Started:     r.Started,
		Ended:       r.Ended,
		LastCrashMs: r.LastCrash.UnixMilli(),
		Upstream:    r.Upstream,
	}
	for _, instance := range slices.Sorted(maps.Keys(r.Crashes)) {
		m.Crashes = append(m.Crashes, &quarantinepb.Crashes{Instance: instance, Ordinal: r.Crashes[instance]})
	}
	return m
}

// Decode reads another instance's records. Those that cannot be used are passed over and told
// as *BadRecordError.
func Decode(messages []*quarantinepb.Record) (records []Record, bad []error) {
	for _, m := range messages {
		if fault := faultOf(m); fault != "" {
			bad = append(bad, &BadRecordError{Fingerprint: m.GetFingerprint(), Fault: fault})
			continue
		}
		r := Record{
			Fingerprint: fingerprint.Fingerprint(m.Fingerprint),
			Account:     m.Account,
			Route:       m.Route,
			Crashes:     map[string]uint32{},
			Cleared:     m.Cleared,
			Alone:       m.Alone,
			Verdict:     m.Verdict,
			Started:     m.Started,
			Ended:       m.Ended,
			LastCrash:   time.UnixMilli(m.LastCrashMs),
			Upstream:    m.Upstream,
		}
		for _, crashes := range m.Crashes {
			r.Crashes[crashes.Instance] = max(r.Crashes[crashes.Instance], crashes.Ordinal)
		}
		records = append(records, r)
	}
	return records, bad
}

// faultOf says what is wrong with a record; empty if nothing is.
func faultOf(m *quarantinepb.Record) string {
	switch {
	case len(m.GetFingerprint()) != fingerprint.Size:
		return "the fingerprint has another length"
	case max(len(m.Account), len(m.Route), len(m.Upstream)) > mostName:
		return "a name is too long"
	case len(m.Crashes) > mostReporters:
		return "too many instances are named"
	case max(m.Cleared, m.Alone, m.Verdict, m.Started, m.Ended) > mostOrdinal:
		return "an ordinal is out of range"
	}
	for _, crashes := range m.Crashes {
		if crashes.GetInstance() == "" || len(crashes.Instance) > mostName || crashes.Ordinal > mostOrdinal {
			return "a crash is unusable"
		}
	}
	return ""
}
