package keeper

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
)

func condemnedRecord(n int) quarantine.Record {
	return quarantine.Record{
		Fingerprint: fingerprint.Content("POST", "/", fmt.Append(nil, n)),
		Account:     "crew",
		Crashes:     map[string]uint32{"a": quarantine.CondemnAfter},
		Verdict:     quarantine.CondemnAfter,
		LastCrash:   time.UnixMilli(int64(1000 + n)),
		Upstream:    "u",
	}
}

// Guards against two instances that overwrite each other's verdicts, or rewrite an unchanged object.
func TestStoredVerdictsAreAUnion(t *testing.T) {
	encode := func(records []quarantine.Record) []byte {
		value, err := encodeVerdicts(records)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	first := encode(mergeVerdicts(nil, []quarantine.Record{condemnedRecord(1)}))
	stored, err := decodeVerdicts(first)
	if err != nil {
		t.Fatal(err)
	}
	both := mergeVerdicts(stored, []quarantine.Record{condemnedRecord(2)})
	if len(both) != 2 {
		t.Fatalf("%d verdicts after merging two, want 2", len(both))
	}
	again, err := decodeVerdicts(encode(both))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encode(both), encode(mergeVerdicts(again, []quarantine.Record{condemnedRecord(1)}))) {
		t.Error("a verdict that is already stored changes the object")
	}
}

// Guards against a released request that an older verdict in the store condemns again.
func TestReleaseOutlastsTheStoredVerdict(t *testing.T) {
	released := condemnedRecord(1)
	released.Cleared = quarantine.CondemnAfter
	merged := mergeVerdicts([]quarantine.Record{condemnedRecord(1)}, []quarantine.Record{released})
	if len(merged) != 1 || merged[0].IsCondemned() {
		t.Errorf("got records %+v, want one that is not condemned", merged)
	}
}

// Guards against an object that grows with every verdict, or that contains suspected requests.
func TestStoredVerdictsAreBounded(t *testing.T) {
	suspected := condemnedRecord(0)
	suspected.Verdict, suspected.Crashes = 0, map[string]uint32{"a": 1}
	known := []quarantine.Record{suspected}
	for n := range 2 * maxStoredVerdicts {
		known = append(known, condemnedRecord(n+1))
	}
	merged := mergeVerdicts(nil, known)
	if len(merged) != maxStoredVerdicts || merged[0].Fingerprint != condemnedRecord(2*maxStoredVerdicts).Fingerprint {
		t.Errorf("%d verdicts, the first with its last crash at %v; want the maxStoredVerdicts latest",
			len(merged), merged[0].LastCrash)
	}
}

func TestUnreadableVerdictsAreTold(t *testing.T) {
	for _, value := range []string{"{", `{"records":"AAAA"}`, `{"records":"not base64"}`} {
		if records, err := decodeVerdicts([]byte(value)); err == nil && len(records) > 0 {
			t.Errorf("decoding %s returned records without an error: %v", value, records)
		}
	}
	if _, err := decodeVerdicts([]byte("{")); err == nil {
		t.Error("no error for invalid JSON")
	}
}

// Guards against a part of prompts that crashes upstreams again after the loss of all instances, because only
// requests are stored.
func TestStoredVerdictsContainParts(t *testing.T) {
	part := &quarantine.Part{Service: "models", Model: "m", ID: 7}
	known := condemnedRecord(1)
	known.Part, known.Account, known.Answered = part, "crew", time.UnixMilli(500)
	known.Fingerprint = fingerprint.Part("crew", part.Service, part.Model, part.ID)
	value, err := encodeVerdicts(mergeVerdicts(nil, []quarantine.Record{known}))
	if err != nil {
		t.Fatal(err)
	}
	stored, err := decodeVerdicts(value)
	if err != nil {
		t.Fatal(err)
	}
	if len(stored) != 1 || stored[0].Part == nil || *stored[0].Part != *part || !stored[0].IsCondemned() || !stored[0].Answered.IsZero() {
		t.Errorf("got %+v, want the condemned part", stored)
	}
}
