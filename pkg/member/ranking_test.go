package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

// The instances of a region compute distinct ranks in a common order, so that exactly one performs
// a task for all. When the first one leaves or becomes silent each rank decreases by one at most;
// members of other regions do not count.
func TestRanksOfARegionAreOneOrder(t *testing.T) {
	const size = 9
	c := &clock{now: time.Unix(1000, 0)}
	var members []*memberpb.Member
	for n := range size {
		members = append(members, newMember(fmt.Sprintf("m%d", n), "1", "a"))
	}
	elsewhere := newMember("far", "1", "z")
	elsewhere.Region = "other"
	tables := map[string]*Table{}
	for _, self := range members {
		table := NewTable(Config{Self: self, SilenceTimeout: 3 * time.Second, HeartbeatInterval: time.Second, Fanout: DefaultFanout,
			Now: func() time.Time { return c.now }})
		for _, m := range append(members, elsewhere) {
			table.Learn(m, true)
		}
		tables[self.Incarnation] = table
	}
	byRank := map[int]string{}
	for incarnation, table := range tables {
		byRank[table.RankInRegion("task")] = incarnation
	}
	if len(byRank) != size {
		t.Fatalf("ranks are %v", byRank)
	}
	for _, table := range tables {
		if others := len(table.Others()); others != size {
			t.Errorf("Others returns %d members", others)
		}
		if others := len(table.OthersInRegion()); others != size-1 {
			t.Errorf("OthersInRegion returns %d members", others)
		}
	}
	for rank := 1; rank < size; rank++ {
		table := tables[byRank[rank]]
		table.Learn(&memberpb.Member{Incarnation: byRank[0], Name: byRank[0][:2], Region: "r", Leaving: true}, true)
		if got := table.RankInRegion("task"); got != rank-1 {
			t.Errorf("rank %d became %d after the first member left", rank, got)
		}
	}
	c.now = c.now.Add(time.Minute)
	if got := tables[byRank[size-1]].RankInRegion("task"); got != 0 {
		t.Errorf("with all others silent the last member has rank %d, want 0", got)
	}
}
