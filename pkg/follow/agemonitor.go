package follow

import "time"

// AgeReport describes a copy that has become stale, or is confirmed again.
type AgeReport struct {
	Copy string
	// Stale is false once the copy is confirmed again.
	Stale bool
	// Age is the time since the copy was last confirmed: the current value, or the maximum reached
	// while the copy was stale.
	Age time.Duration
	// StoreAnswers reports whether the store answered this instance's last call. If so, only the
	// confirmations of the publishing instances are missing.
	StoreAnswers bool
}

// AgeMonitor reports copies that have gone unconfirmed for longer than Timing.LastTimeout, the
// longest that any instance relies on confirmations by others. It must be used by one goroutine
// only.
type AgeMonitor struct {
	Report func(AgeReport)
	// maxAges holds the maximum age of each stale copy.
	maxAges map[string]time.Duration
}

// Check examines the current age of a copy and reports a transition to or from stale.
func (a *AgeMonitor) Check(name string, copied *Follower) {
	age, read := copied.Age()
	if !read {
		return
	}
	maxAge, wasStale := a.maxAges[name]
	report := AgeReport{Copy: name, Stale: age > copied.timing().LastTimeout, Age: max(age, maxAge), StoreAnswers: !copied.Breaker.Tripped()}
	switch {
	case report.Stale && !wasStale:
		a.Report(report)
	case !report.Stale && wasStale:
		delete(a.maxAges, name)
		a.Report(report)
	}
	if report.Stale {
		a.recordAge(name, report.Age)
	}
}

func (a *AgeMonitor) recordAge(name string, age time.Duration) {
	if a.maxAges == nil {
		a.maxAges = map[string]time.Duration{}
	}
	a.maxAges[name] = age
}
