package quarantine

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/quarantine/quarantinepb"
)

// maxOrdinal limits ordinals in received records: a crash with an ordinal near the maximum of uint32
// could never be cleared.
const maxOrdinal = 1 << 30

// maxNameBytes limits the length of names in received records.
const maxNameBytes = 256

// BadRecordError reports an invalid record received from another instance.
type BadRecordError struct {
	// Fingerprint is the record's fingerprint as received; it may be malformed.
	Fingerprint []byte
	// Reason describes why the record is invalid.
	Reason string
}

// Error implements error.
func (e *BadRecordError) Error() string {
	return fmt.Sprintf("quarantine record %x: %s", e.Fingerprint, e.Reason)
}

// Encode converts records to messages. The ages of their endings are relative to now.
func Encode(records []Record, now time.Time) []*quarantinepb.Record {
	out := make([]*quarantinepb.Record, 0, len(records))
	for i := range records {
		out = append(out, encode(&records[i], now))
	}
	return out
}

func encode(r *Record, now time.Time) *quarantinepb.Record {
	m := &quarantinepb.Record{
		Fingerprint: r.Fingerprint[:],
		Account:     r.Account,
		Route:       r.Route,
		Cleared:     r.Cleared,
		Alone:       r.Isolated,
		Verdict:     r.Verdict,
		Started:     r.Started,
		Ended:       r.Ended,
		LastCrashMs: r.LastCrash.UnixMilli(),
		Upstream:    r.Upstream,
	}
	if r.Part != nil {
		m.Part = &quarantinepb.Part{Service: r.Part.Service, Model: r.Part.Model, Id: r.Part.ID}
	}
	if !r.Answered.IsZero() {
		age := uint32(max(now.Sub(r.Answered), 0).Milliseconds())
		m.AnsweredAgeMs = &age
	}
	for _, instance := range slices.Sorted(maps.Keys(r.Crashes)) {
		m.Crashes = append(m.Crashes, &quarantinepb.Crashes{Instance: instance, Ordinal: r.Crashes[instance]})
	}
	for _, key := range r.orderedEndings() {
		e := r.endings[key]
		m.Endings = append(m.Endings, &quarantinepb.Ending{
			Instance:    key.Instance,
			Turn:        key.Turn,
			Upstream:    key.ID,
			Address:     key.Address,
			Incarnation: key.Incarnation,
			AgeMs:       uint32(max(now.Sub(e.At), 0).Milliseconds()),
			Crash:       e.Crash,
			Refuted:     e.Refuted,
			Alone:       e.Isolated,
			Suspects:    encodeSuspects(&e.Suspects),
		})
	}
	return m
}

func encodeSuspects(s *suspects) *quarantinepb.Suspects {
	if len(s.Unanswered)+len(s.Answered) == 0 {
		return nil
	}
	return &quarantinepb.Suspects{Service: s.Service, Model: s.Model, Unanswered: s.Unanswered, Answered: s.Answered}
}

// Decode converts messages that were received at now to records. Invalid ones are skipped and reported
// as *BadRecordError.
func Decode(messages []*quarantinepb.Record, now time.Time) (records []Record, bad []error) {
	for _, m := range messages {
		if reason := validate(m); reason != "" {
			bad = append(bad, &BadRecordError{Fingerprint: m.GetFingerprint(), Reason: reason})
			continue
		}
		r := Record{
			Fingerprint: fingerprint.Fingerprint(m.Fingerprint),
			Account:     m.Account,
			Route:       m.Route,
			Crashes:     map[string]uint32{},
			Cleared:     m.Cleared,
			Isolated:    m.Alone,
			Verdict:     m.Verdict,
			Started:     m.Started,
			Ended:       m.Ended,
			LastCrash:   time.UnixMilli(m.LastCrashMs),
			Upstream:    m.Upstream,
		}
		if m.Part != nil {
			r.Part = &Part{Service: m.Part.Service, Model: m.Part.Model, ID: m.Part.Id}
		}
		if m.AnsweredAgeMs != nil {
			r.Answered = now.Add(-time.Duration(*m.AnsweredAgeMs) * time.Millisecond)
		}
		for _, crashes := range m.Crashes {
			r.Crashes[crashes.Instance] = max(r.Crashes[crashes.Instance], crashes.Ordinal)
		}
		r.endings = decodeEndings(m.Endings, now)
		records = append(records, r)
	}
	return records, bad
}

// decodeEndings converts the endings of a record, skipping expired ones.
func decodeEndings(messages []*quarantinepb.Ending, now time.Time) map[endingKey]ending {
	if len(messages) == 0 {
		return nil
	}
	endings := map[endingKey]ending{}
	for _, m := range messages {
		age := time.Duration(m.AgeMs) * time.Millisecond
		if age > endingLifetime {
			continue
		}
		upstream := Upstream{ID: m.Upstream, Address: m.Address, Incarnation: m.Incarnation}
		key := endingKey{Turn: m.Turn, Instance: m.Instance, Upstream: upstream}
		endings[key] = ending{
			At: now.Add(-age), Crash: m.Crash, Refuted: m.Refuted, Isolated: m.Alone, Suspects: decodeSuspects(m.Suspects),
		}
	}
	return endings
}

func decodeSuspects(m *quarantinepb.Suspects) suspects {
	return suspects{Service: m.GetService(), Model: m.GetModel(), Unanswered: m.GetUnanswered(), Answered: m.GetAnswered()}
}

// validate returns why a record is invalid; empty if it is valid.
func validate(m *quarantinepb.Record) string {
	switch {
	case len(m.GetFingerprint()) != fingerprint.Size:
		return fmt.Sprintf("fingerprint has %d bytes, want %d", len(m.GetFingerprint()), fingerprint.Size)
	case max(len(m.Account), len(m.Route), len(m.Upstream)) > maxNameBytes:
		return fmt.Sprintf("account, route or upstream name is longer than %d bytes", maxNameBytes)
	case m.Part != nil && !isPartRecord(m):
		return "part has names that are too long, or another fingerprint"
	case len(m.Crashes) > maxReporters:
		return fmt.Sprintf("crashes of %d instances, at most %d allowed", len(m.Crashes), maxReporters)
	case max(m.Cleared, m.Alone, m.Verdict, m.Started, m.Ended) > maxOrdinal:
		return fmt.Sprintf("ordinal is greater than %d", maxOrdinal)
	}
	for _, crashes := range m.Crashes {
		if crashes.GetInstance() == "" || len(crashes.Instance) > maxNameBytes || crashes.Ordinal > maxOrdinal {
			return "crash has an invalid instance name or ordinal"
		}
	}
	if len(m.Endings) > maxEndings {
		return fmt.Sprintf("%d endings, at most %d allowed", len(m.Endings), maxEndings)
	}
	for _, e := range m.Endings {
		longest := max(len(e.GetInstance()), len(e.GetUpstream()), len(e.GetAddress()), len(e.GetIncarnation()))
		if e.GetInstance() == "" || longest > maxNameBytes || max(e.GetTurn(), e.GetCrash()) > maxOrdinal {
			return "ending has an invalid name or ordinal"
		}
		s := e.GetSuspects()
		if len(s.GetUnanswered())+len(s.GetAnswered()) > maxSuspects || max(len(s.GetService()), len(s.GetModel())) > maxNameBytes {
			return fmt.Sprintf("ending has invalid names or more than %d suspects", maxSuspects)
		}
	}
	return ""
}

// isPartRecord reports whether the record's fingerprint is that of its part.
func isPartRecord(m *quarantinepb.Record) bool {
	p := scopedPart{Account: m.Account, Part: Part{Service: m.Part.Service, Model: m.Part.Model, ID: m.Part.Id}}
	own := p.fingerprint()
	return max(len(p.Service), len(p.Model)) <= maxNameBytes && bytes.Equal(own[:], m.Fingerprint)
}
