package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

// Guards against a rank, or a list of live members, that is kept although a member has joined, left,
// fallen silent or spoken again: two instances would publish, or none.
func TestKeptViewsAreThoseOfTheEntries(t *testing.T) {
	const members, steps = 40, 3000
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(0, 0)
	self := &memberpb.Member{Incarnation: "m-00-1", Name: "m-00", Region: "r", Domain: "d"}
	table := NewTable(Config{Self: self, Now: func() time.Time { return now }, Draw: random.IntN})
	born := make([]int, members)
	for range steps {
		now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
		n := 1 + random.IntN(members-1)
		m := &memberpb.Member{
			Incarnation: fmt.Sprintf("m-%02d-%d", n, born[n]), Name: fmt.Sprintf("m-%02d", n), Region: "r", Domain: "d",
		}
		switch random.IntN(7) {
		case 0:
			born[n] = min(born[n]+1, 9)
		case 1:
			m.Leaving = true
			table.Learn(m, false)
		case 2:
			table.Suspect(m.Incarnation)
		case 3:
			table.expireSuspects()
		case 4:
			table.Heard(m.Incarnation)
		case 5:
			table.Due(false)
		default:
			table.Learn(m, random.IntN(2) == 0)
		}
		checkViews(t, table)
	}
}

// checkViews compares what a table keeps with what its entries say.
func checkViews(t *testing.T, table *Table) {
	t.Helper()
	live, rank, ranked := table.Live(), table.RankInRegion("k"), table.RankedInRegion("k", 3)
	table.mu.Lock()
	table.views = views{}
	table.mu.Unlock()
	if fresh := table.Live(); !slices.Equal(live, fresh) {
		t.Fatalf("%d live members are kept of %d", len(live), len(fresh))
	}
	if fresh := table.RankInRegion("k"); rank != fresh {
		t.Fatalf("rank %d is kept, it is %d", rank, fresh)
	}
	if fresh := table.RankedInRegion("k", 3); !slices.Equal(ranked, fresh) {
		t.Fatalf("the ranking %v is kept, it is %v", ranked, fresh)
	}
}
