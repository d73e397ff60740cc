package member

import (
	"slices"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// namedMost is how many members one line of the log names. After a loss of power of a whole
// fleet all of it joins at once: a line for each pair filled the log's bound for seconds.
const namedMost = 8

// Notes logs which members have joined, fallen silent or left since the last look, each kind
// in one line.
type Notes struct {
	seen map[string]note
}

// note is what was last logged of a member.
type note struct{ silent, left bool }

// changes are the members that one line of the log tells of.
type changes struct{ members, domains []string }

func (c *changes) add(m View) {
	c.members = append(c.members, m.Incarnation)
	if !slices.Contains(c.domains, m.Domain) {
		c.domains = append(c.domains, m.Domain)
	}
}

func (c *changes) tell(log *eventlog.Log, number eventlog.Number) {
	if len(c.members) == 0 {
		return
	}
	named := c.members[:min(len(c.members), namedMost)]
	log.Event(number, "", eventlog.Fields{"count": len(c.members), "members": named, "domains": c.domains})
}

// Look compares the table with the last look. It is called by one goroutine.
func (n *Notes) Look(table *Table, log *eventlog.Log) {
	if n.seen == nil {
		n.seen = map[string]note{}
	}
	var joined, silent, left changes
	present := map[string]note{}
	own := table.Self().Incarnation
	for _, m := range table.View() {
		if m.Incarnation == own {
			continue
		}
		before, known := n.seen[m.Incarnation]
		now := note{silent: m.Silent, left: m.Leaving}
		if !known {
			joined.add(m)
		}
		if now.silent && !before.silent {
			silent.add(m)
		}
		if now.left && !before.left {
			left.add(m)
		}
		present[m.Incarnation] = now
	}
	n.seen = present
	joined.tell(log, eventlog.MemberJoined)
	silent.tell(log, eventlog.MemberSilent)
	left.tell(log, eventlog.MemberLeft)
}
