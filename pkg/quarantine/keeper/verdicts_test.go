package keeper

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
)

func condemned(n int) quarantine.Record {
	return quarantine.Record{
		Fingerprint: fingerprint.Content("POST", "/", fmt.Append(nil, n)),
		Account:     "crew",
		Crashes:     map[string]uint32{"a": quarantine.CondemnAfter},
		Verdict:     quarantine.CondemnAfter,
		LastCrash:   time.UnixMilli(int64(1000 + n)),
		Upstream:    "u",
	}
}

// Guards against two instances that overwrite each other's verdicts, or write again what is stored.
func TestStoredVerdictsAreAUnion(t *testing.T) {
	encode := func(records []quarantine.Record) []byte {
		value, err := encodeVerdicts(records)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	first := encode(mergeVerdicts(nil, []quarantine.Record{condemned(1)}))
	stored, err := decodeVerdicts(first)
	if err != nil {
		t.Fatal(err)
	}
	both := mergeVerdicts(stored, []quarantine.Record{condemned(2)})
	if len(both) != 2 {
		t.Fatalf("%d verdicts", len(both))
	}
	again, err := decodeVerdicts(encode(both))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encode(both), encode(mergeVerdicts(again, []quarantine.Record{condemned(1)}))) {
		t.Error("what is known already changes the object")
	}
}

// Guards against a released request that the store's older verdict takes out of use again.
func TestReleaseOutlastsTheStoredVerdict(t *testing.T) {
	released := condemned(1)
	released.Cleared = quarantine.CondemnAfter
	merged := mergeVerdicts([]quarantine.Record{condemned(1)}, []quarantine.Record{released})
	if len(merged) != 1 || merged[0].IsCondemned() {
		t.Errorf("got %+v", merged)
	}
}

// Guards against an object that grows with every verdict, and against suspicions in it.
func TestStoredVerdictsAreBounded(t *testing.T) {
	suspected := condemned(0)
	suspected.Verdict, suspected.Crashes = 0, map[string]uint32{"a": 1}
	known := []quarantine.Record{suspected}
	for n := range 2 * mostVerdicts {
		known = append(known, condemned(n+1))
	}
	merged := mergeVerdicts(nil, known)
	if len(merged) != mostVerdicts || merged[0].Fingerprint != condemned(2*mostVerdicts).Fingerprint {
		t.Errorf("%d verdicts, the first of %v", len(merged), merged[0].LastCrash)
	}
}

func TestUnreadableVerdictsAreTold(t *testing.T) {
	for _, value := range []string{"{", `{"records":"AAAA"}`, `{"records":"not base64"}`} {
		if records, err := decodeVerdicts([]byte(value)); err == nil && len(records) > 0 {
			t.Errorf("%s: %v", value, records)
		}
	}
	if _, err := decodeVerdicts([]byte("{")); err == nil {
		t.Error("no error")
	}
}
