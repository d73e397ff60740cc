package prepaid

import (
	"fmt"
	"testing"
)

// sizedShard returns a shard with the given number of budgets, of each of which the given number of
// instances have moved tokens.
func sizedShard(budgets, instances int) *Shard {
	s, _ := DecodeShard(nil)
	amounts := Amounts{Version: 1, Tokens: map[string]int64{}}
	for b := range budgets {
		amounts.Tokens[fmt.Sprintf("account%04d", b)] = 1_000_000
	}
	s.SetPrepaid(amounts)
	for i := range instances {
		transfers := map[string]Transfer{}
		for id := range amounts.Tokens {
			transfers[id] = Transfer{Need: 900, Returned: 400, Known: Counter{}}
		}
		s.Apply(fmt.Sprintf("edge-zone-%03d-01ARZ3NDEKTSV4RRFFQ69G5FAV", i), Start{}, transfers)
	}
	return s
}

// The cost of a ledger object grows with the number of budgets times the number of instances; its
// size limits how many of them one object can hold.
func BenchmarkShardDecodeApplyEncode(b *testing.B) {
	for _, size := range []struct{ budgets, instances int }{{3, 9}, {6, 80}, {24, 80}, {24, 330}} {
		b.Run(fmt.Sprintf("%d_budgets_%d_instances", size.budgets, size.instances), func(b *testing.B) {
			value, err := sizedShard(size.budgets, size.instances).Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				s, err := DecodeShard(value)
				if err != nil {
					b.Fatal(err)
				}
				s.Apply("edge-zone-000-01ARZ3NDEKTSV4RRFFQ69G5FAV", Start{}, map[string]Transfer{"account0000": {Need: 1, AheadDivisor: 1}})
				if _, err := s.Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value)), "bytes")
		})
	}
}
