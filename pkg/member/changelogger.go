package member

import (
	"slices"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// maxNamedMembers bounds the members named in one log line. After a power loss all instances of a
// fleet join at once, and one line per pair of instances exhausted the log's rate limit for seconds.
const maxNamedMembers = 8

// ChangeLogger logs which members have joined, become silent or left since the previous call of
// LogChanges, with one line per kind of change.
type ChangeLogger struct {
	lastLogged map[string]loggedStatus
}

// loggedStatus is the status of a member as last logged.
type loggedStatus struct{ silent, left bool }

// memberChanges collects the members and failure domains for one log line.
type memberChanges struct{ members, domains []string }

func (c *memberChanges) add(m View) {
	c.members = append(c.members, m.Incarnation)
	if !slices.Contains(c.domains, m.Domain) {
		c.domains = append(c.domains, m.Domain)
	}
}

func (c *memberChanges) logEvent(log *eventlog.Log, number eventlog.Number) {
	if len(c.members) == 0 {
		return
	}
	named := c.members[:min(len(c.members), maxNamedMembers)]
	log.Event(number, "", eventlog.Fields{"count": len(c.members), "members": named, "domains": c.domains})
}

// LogChanges compares the table with its state at the previous call and logs the differences. It
// must not be called concurrently.
func (l *ChangeLogger) LogChanges(table *Table, log *eventlog.Log) {
	if l.lastLogged == nil {
		l.lastLogged = map[string]loggedStatus{}
	}
	var joined, silent, left memberChanges
	present := map[string]loggedStatus{}
	own := table.Self().Incarnation
	for _, m := range table.View() {
		if m.Incarnation == own {
			continue
		}
		before, known := l.lastLogged[m.Incarnation]
		now := loggedStatus{silent: m.Silent, left: m.Leaving}
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
	l.lastLogged = present
	joined.logEvent(log, eventlog.MemberJoined)
	silent.logEvent(log, eventlog.MemberSilent)
	left.logEvent(log, eventlog.MemberLeft)
}
