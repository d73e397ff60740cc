package router

import (
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/origin"
)

// originFaultInterval is the minimum time between two logged faults of origins: each stream causes one
// while another instance does not answer.
const originFaultInterval = time.Second

// originMembers returns the other live instances.
func (r *Router) originMembers() []origin.Member {
	others := r.table.Others()
	members := make([]origin.Member, 0, len(others))
	for _, m := range others {
		members = append(members, origin.Member{Name: m.Name, Domain: m.Region + "/" + m.Domain, Address: m.PeerAddress})
	}
	return members
}

func (r *Router) logOriginFault(f origin.Fault) {
	suppressed, allowed := r.originFaults.allow(time.Now())
	if !allowed {
		return
	}
	r.log.Event(eventlog.OriginFault, "", eventlog.Fields{
		"step": f.Step, "peer": f.Peer, "records": f.Records, "cause": f.Err.Error(), "suppressed": suppressed,
	})
}

// faultLimit allows one fault to be logged in each originFaultInterval. Its zero value is ready to use.
type faultLimit struct {
	mu         sync.Mutex
	lastLogged time.Time
	suppressed int
}

// allow reports whether a fault may be logged now, and how many have been suppressed since the last one.
func (l *faultLimit) allow(now time.Time) (suppressed int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastLogged.IsZero() && now.Sub(l.lastLogged) < originFaultInterval {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.lastLogged, l.suppressed = now, 0
	return suppressed, true
}
