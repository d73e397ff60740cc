package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

type clock struct{ now time.Time }

func newTable(c *clock) *Table {
	return NewTable(Config{
		Self:      memberOf("self", "1", "a"),
		Silent:    3 * time.Second,
		Heartbeat: time.Second,
		Fanout:    2,
		Now:       func() time.Time { return c.now },
	})
}

func memberOf(name, run, domain string) *memberpb.Member {
	return &memberpb.Member{Incarnation: name + "-" + run, Name: name, Region: "r", Domain: domain, PeerAddress: name}
}

// An instance restarts under its name. Its old incarnation is gone for good,
// whatever late messages of it say: work on its behalf must not wait for it.
func TestOldIncarnationStaysSilent(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	table := newTable(c)
	table.Learn(memberOf("x", "1", "b"), true)
	table.Learn(memberOf("x", "2", "b"), true)
	table.Learn(memberOf("x", "1", "b"), true)
	if !table.Silent("x-1") || table.Silent("x-2") {
		t.Error("the old incarnation is taken for alive, or the new one for dead")
	}
}

// The platform's list still names an instance that died long ago. Hearsay makes
// it known, for a try, and is no sign of life ever after.
func TestHearsayIsNoSignOfLife(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	table := newTable(c)
	for range 10 {
		table.Learn(memberOf("x", "1", "b"), false)
		c.now = c.now.Add(time.Second)
	}
	if !table.Silent("x-1") {
		t.Error("a listed instance is taken for alive")
	}
	table.Heard("x-1")
	if table.Silent("x-1") {
		t.Error("a sign of life is ignored")
	}
}

// An instance says that it leaves; an older digest, passed on late, names it as
// staying. It gets no new role.
func TestLeavingIsNotTakenBack(t *testing.T) {
	table := newTable(&clock{now: time.Unix(1000, 0)})
	leaving := memberOf("x", "1", "b")
	leaving.Leaving = true
	table.Learn(leaving, true)
	table.Learn(memberOf("x", "1", "b"), false)
	for _, m := range table.Live() {
		if m.Name == "x" {
			t.Error("a leaving instance counts as live")
		}
	}
}

// One instance comes or goes. Only the keys that it wins itself may change their
// winner, or each change would move every budget's holder.
func TestWinnersMoveOnlyToTheNewcomer(t *testing.T) {
	table := newTable(&clock{now: time.Unix(1000, 0)})
	for n := range 8 {
		table.Learn(memberOf(fmt.Sprint("m", n), "1", "b"), true)
	}
	winner := func(key string) string {
		for _, m := range table.WinnersByDomain(key) {
			if m.Domain == "b" {
				return m.Name
			}
		}
		return ""
	}
	before := map[string]string{}
	for n := range 200 {
		before[fmt.Sprint(n)] = winner(fmt.Sprint(n))
	}
	table.Learn(memberOf("late", "1", "b"), true)
	moved := 0
	for key, name := range before {
		if now := winner(key); now != name {
			moved++
			if now != "late" {
				t.Errorf("%s moved from %s to %s", key, name, now)
			}
		}
	}
	if moved == 0 || moved > 60 {
		t.Errorf("%d of 200 keys moved", moved)
	}
}

// A large fleet with a small fan-out: every peer gets its turn.
func TestRoundsReachEverybody(t *testing.T) {
	table := newTable(&clock{now: time.Unix(1000, 0)})
	for n := range 9 {
		table.Learn(memberOf(fmt.Sprint("m", n), "1", "b"), true)
	}
	met := map[string]bool{}
	for range 5 {
		round := table.NextRound()
		if len(round) > 2 {
			t.Fatalf("a round goes to %d peers", len(round))
		}
		for _, m := range round {
			met[m.Name] = true
		}
	}
	if len(met) != 9 {
		t.Errorf("%d of 9 peers were met", len(met))
	}
}
