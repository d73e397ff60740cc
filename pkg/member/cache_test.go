package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

// Guards against a cached rank or list of live members that stays in use after a member has joined,
// left, become silent or sent a message again. Two instances would then publish changes, or none.
func TestKeptViewsAreThoseOfTheEntries(t *testing.T) {
	const members, steps = 40, 3000
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(0, 0)
	self := &memberpb.Member{Incarnation: "m-00-1", Name: "m-00", Region: "r", Domain: "d"}
	table := NewTable(Config{Self: self, Now: func() time.Time { return now }, RandIntN: random.IntN})
	runs := make([]int, members)
	for range steps {
		now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
		n := 1 + random.IntN(members-1)
		m := &memberpb.Member{
			Incarnation: fmt.Sprintf("m-%02d-%d", n, runs[n]), Name: fmt.Sprintf("m-%02d", n), Region: "r", Domain: "d",
		}
		switch random.IntN(7) {
		case 0:
			runs[n] = min(runs[n]+1, 9)
		case 1:
			m.Leaving = true
			table.Learn(m, false)
		case 2:
			table.Suspect(m.Incarnation)
		case 3:
			table.expireSuspects()
		case 4:
			table.MarkHeard(m.Incarnation)
		case 5:
			table.NextHeartbeats(false)
		default:
			table.Learn(m, random.IntN(2) == 0)
		}
		checkCache(t, table)
	}
}

// checkCache compares a table's cached results with those computed from its entries.
func checkCache(t *testing.T, table *Table) {
	t.Helper()
	live, rank, ranked := table.Live(), table.RankInRegion("k"), table.RankedInRegion("k", 3)
	table.mu.Lock()
	table.cache = viewCache{}
	table.mu.Unlock()
	if fresh := table.Live(); !slices.Equal(live, fresh) {
		t.Fatalf("cached list has %d live members, computed list has %d", len(live), len(fresh))
	}
	if fresh := table.RankInRegion("k"); rank != fresh {
		t.Fatalf("cached rank is %d, computed rank is %d", rank, fresh)
	}
	if fresh := table.RankedInRegion("k", 3); !slices.Equal(ranked, fresh) {
		t.Fatalf("cached ranking is %v, computed ranking is %v", ranked, fresh)
	}
}
