package member

import "github.com/lavenderring/lavenderring/pkg/eventlog"

// Notes logs which members have fallen silent or left since the last look.
type Notes struct {
	seen map[string]note
}

// note is what was last logged of a member.
type note struct{ silent, left bool }

// Look compares the table with the last look. It is called by one goroutine.
func (n *Notes) Look(table *Table, log *eventlog.Log) {
	if n.seen == nil {
		n.seen = map[string]note{}
	}
	for _, m := range table.View() {
		before := n.seen[m.Incarnation]
		now := note{silent: m.Silent, left: m.Leaving}
		fields := eventlog.Fields{"member": m.Incarnation, "domain": m.Domain}
		if now.silent && !before.silent {
			log.Event(eventlog.MemberSilent, "", fields)
		}
		if now.left && !before.left {
			log.Event(eventlog.MemberLeft, "", fields)
		}
		n.seen[m.Incarnation] = now
	}
}
