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
		Self:              newMember("self", "1", "a"),
		SilenceTimeout:    3 * time.Second,
		HeartbeatInterval: time.Second,
		Fanout:            2,
		Now:               func() time.Time { return c.now },
	})
}

func newMember(name, run, domain string) *memberpb.Member {
	return &memberpb.Member{Incarnation: name + "-" + run, Name: name, Region: "r", Domain: domain, PeerAddress: name}
}

// Guards against an old incarnation that a delayed message makes live again after the instance has
// restarted under its name: other instances would not take over its work, but wait for it.
func TestOldIncarnationStaysSilent(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	table := newTable(c)
	table.Learn(newMember("x", "1", "b"), true)
	table.Learn(newMember("x", "2", "b"), true)
	table.Learn(newMember("x", "1", "b"), true)
	if !table.Silent("x-1") || table.Silent("x-2") {
		t.Error("the old incarnation is live, or the new one is silent")
	}
}

// Guards against an instance that crashed long ago but is still in the platform's list: an indirect
// record adds it, so that it is contacted once, but must never count as a message from it.
func TestHearsayIsNoSignOfLife(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	table := newTable(c)
	for range 10 {
		table.Learn(newMember("x", "1", "b"), false)
		c.now = c.now.Add(time.Second)
	}
	if !table.Silent("x-1") {
		t.Error("an instance known from indirect records only is live")
	}
	table.MarkHeard("x-1")
	if table.Silent("x-1") {
		t.Error("an instance is silent just after MarkHeard")
	}
}

// Guards against an older digest that arrives after an instance has announced that it leaves: the
// instance must not count as live again and get a new role.
func TestLeavingIsNotTakenBack(t *testing.T) {
	table := newTable(&clock{now: time.Unix(1000, 0)})
	leaving := newMember("x", "1", "b")
	leaving.Leaving = true
	table.Learn(leaving, true)
	table.Learn(newMember("x", "1", "b"), false)
	for _, m := range table.Live() {
		if m.Name == "x" {
			t.Error("a leaving instance counts as live")
		}
	}
}

// Guards against winners that change for keys which a joining instance does not win itself:
// otherwise each membership change would move the holder of every budget.
func TestWinnersMoveOnlyToTheNewcomer(t *testing.T) {
	table := newTable(&clock{now: time.Unix(1000, 0)})
	for n := range 8 {
		table.Learn(newMember(fmt.Sprint("m", n), "1", "b"), true)
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
	table.Learn(newMember("late", "1", "b"), true)
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

// With a fan-out smaller than the fleet, successive rounds reach every peer.
func TestRoundsReachEverybody(t *testing.T) {
	table := newTable(&clock{now: time.Unix(1000, 0)})
	for n := range 9 {
		table.Learn(newMember(fmt.Sprint("m", n), "1", "b"), true)
	}
	reached := map[string]bool{}
	for range 5 {
		round := table.NextRound()
		if len(round) > 2 {
			t.Fatalf("a round goes to %d peers", len(round))
		}
		for _, m := range round {
			reached[m.Name] = true
		}
	}
	if len(reached) != 9 {
		t.Errorf("%d of 9 peers were reached", len(reached))
	}
}
