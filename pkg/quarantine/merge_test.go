package quarantine

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// randomRecord returns a random record of one of three requests.
func randomRecord(rng *rand.Rand) Record {
	r := Record{
		Fingerprint: bodyRequest(fmt.Sprint(rng.IntN(3))).Fingerprint(),
		Account:     "crew",
		Crashes:     map[string]uint32{},
		Cleared:     rng.Uint32N(4),
		Isolated:    rng.Uint32N(4),
		Verdict:     rng.Uint32N(5),
		Started:     rng.Uint32N(5),
		Ended:       rng.Uint32N(5),
	}
	for range rng.IntN(maxReporters + 1) {
		r.Crashes[fmt.Sprint("i", rng.IntN(7))] = 1 + rng.Uint32N(5)
	}
	if len(r.Crashes) > 0 {
		millis := rng.Int64N(100)
		r.LastCrash, r.Upstream = time.UnixMilli(millis), fmt.Sprint("u", millis)
	}
	r.endings = randomEndings(rng)
	return r
}

// randomEndings returns random endings from a small range, so that different records share some of them.
func randomEndings(rng *rand.Rand) map[endingKey]ending {
	endings := map[endingKey]ending{}
	for range rng.IntN(maxEndings) {
		turn := 1 + rng.Uint32N(4)
		key := endingKey{Turn: turn, Instance: fmt.Sprint("i", rng.IntN(3)), Upstream: upstreamProcess(int(turn))}
		endings[key] = ending{At: startTime, Crash: rng.Uint32N(3), Refuted: rng.IntN(3) == 0, Isolated: rng.IntN(2) == 0}
	}
	return endings
}

func randomRecords(seed uint64) []Record {
	rng := rand.New(rand.NewPCG(seed, 1))
	records := make([]Record, 1+rng.IntN(12))
	for i := range records {
		records[i] = randomRecord(rng)
	}
	return records
}

// recordsByRequest returns the records of a table by fingerprint.
func recordsByRequest(t *Table) map[string]Record {
	out := map[string]Record{}
	for _, r := range t.All() {
		out[r.Fingerprint.String()] = r
	}
	return out
}

func mergedTable(batches ...[]Record) *Table {
	t := NewTable("i0", nil)
	for _, batch := range batches {
		t.Merge(batch, startTime, true)
	}
	return t
}

// Records reach instances in any order, late, repeatedly and through other instances. All instances must
// end up with the same table.
func TestMergingIsAUnion(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 1000
	properties := gopter.NewProperties(parameters)
	properties.Property("any order", prop.ForAll(func(seed, order uint64) bool {
		records := randomRecords(seed)
		shuffled := append([]Record(nil), records...)
		rng := rand.New(rand.NewPCG(order, 2))
		rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		a, b := mergedTable(records), mergedTable(shuffled)
		return reflect.DeepEqual(recordsByRequest(a), recordsByRequest(b)) && a.Hash() == b.Hash()
	}, gen.UInt64(), gen.UInt64()))
	properties.Property("again", prop.ForAll(func(seed uint64) bool {
		records := randomRecords(seed)
		table := mergedTable(records)
		before := recordsByRequest(table)
		changed := table.Merge(records, startTime, true)
		return len(changed) == 0 && reflect.DeepEqual(before, recordsByRequest(table))
	}, gen.UInt64()))
	properties.Property("by way of others", prop.ForAll(func(one, two uint64) bool {
		a, b := randomRecords(one), randomRecords(two)
		direct := mergedTable(a, b)
		relayed := mergedTable(mergedTable(b, mergedTable(a).All()).All())
		return reflect.DeepEqual(recordsByRequest(direct), recordsByRequest(relayed))
	}, gen.UInt64(), gen.UInt64()))
	properties.Property("as a message", prop.ForAll(func(seed uint64) bool {
		records, bad := Decode(Encode(randomRecords(seed), startTime), startTime)
		return len(bad) == 0 && reflect.DeepEqual(recordsByRequest(mergedTable(records)), recordsByRequest(mergedTable(randomRecords(seed))))
	}, gen.UInt64()))
	properties.TestingRun(t)
}
