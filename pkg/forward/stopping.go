package forward

import "time"

// stopAcceptPeriod is how long after the start of a planned stop requests are still accepted that could
// last beyond it: the load balancer sends no more requests here after that.
const stopAcceptPeriod = 2500 * time.Millisecond

// plannedStop holds when a planned stop began and when it ends.
type plannedStop struct{ beganAt, endsAt time.Time }

// StopBy announces that the instance ends at a time. Requests that would probably last beyond that time
// are refused, and later than stopAcceptPeriod after the announcement all that might: if they were cut off,
// their clients would not know whether they ran.
func (f *Forwarder) StopBy(ends time.Time) {
	f.stop.Store(&plannedStop{beganAt: f.Now(), endsAt: ends})
}

// mayOutlastStop reports whether a call is to be refused because of a planned stop.
func (c *call) mayOutlastStop() bool {
	stop := c.f.stop.Load()
	if stop == nil || !c.deadline.After(stop.endsAt) {
		return false
	}
	now := c.f.Now()
	if now.Sub(stop.beganAt) > stopAcceptPeriod {
		return true
	}
	took, known := c.f.paces.estimate(c.route.Name, c.r)
	return known && now.Add(took).After(stop.endsAt)
}
