package budget

import (
	"fmt"
	"testing"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
)

// benchBudgets is the number of budgets in the documented capacity target.
const benchBudgets = 53_000

func benchSpender(budgets int) (*Spender, []string) {
	s := NewSpender("bench")
	ids := make([]string, budgets)
	for n := range ids {
		ids[n] = fmt.Sprintf("service/account-%05d", n)
		s.Merge(ids[n], []*budgetpb.Lot{{Grant: "h#1", Holder: "h", Allocated: 1 << 50}})
	}
	return s, ids
}

func BenchmarkReserveSettle(b *testing.B) {
	s, ids := benchSpender(benchBudgets)
	var r Reservation
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if !s.TryReserve(ids[n%benchBudgets], 100, &r) {
			b.Fatalf("budget %s has too few tokens", ids[n%benchBudgets])
		}
		s.Settle(&r, 60)
	}
}

// BenchmarkBareMap is the baseline for BenchmarkReserveSettle: two updates of a
// plain map.
func BenchmarkBareMap(b *testing.B) {
	ids := make([]string, benchBudgets)
	m := map[string]int64{}
	for n := range ids {
		ids[n] = fmt.Sprintf("service/account-%05d", n)
		m[ids[n]] = 1 << 50
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		m[ids[n%benchBudgets]] -= 100
		m[ids[n%benchBudgets]] += 40
	}
}

// Reserving and settling must not allocate memory: at peak load each instance does
// both for every request, and garbage collection would cost more than the decision.
func TestReserveAndSettleDoNotAllocate(t *testing.T) {
	s, ids := benchSpender(100)
	var r Reservation
	n := 0
	allocsPerRequest := testing.AllocsPerRun(1000, func() {
		s.TryReserve(ids[n%100], 100, &r)
		s.Settle(&r, 60)
		n++
	})
	if allocsPerRequest != 0 {
		t.Errorf("%v memory allocations per request, want 0", allocsPerRequest)
	}
}
