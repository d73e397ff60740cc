package follow

import "time"

// AgeReport tells that a copy has become too old, or is confirmed again.
type AgeReport struct {
	Copy string
	// Old is false once the copy is confirmed again.
	Old bool
	// Age is for how long nothing has confirmed the copy: now, or at most while it was old.
	Age time.Duration
	// StoreAnswers says that the store answered this instance's last call: what is missing then is
	// the word of those that publish.
	StoreAnswers bool
}

// Alarm tells of copies that nothing has confirmed for longer than their Timing lets any instance rely
// on others' word. It is for one goroutine.
type Alarm struct {
	Tell func(AgeReport)
	// worst holds the greatest age of each copy that is old.
	worst map[string]time.Duration
}

// Look takes in the present age of a copy.
func (a *Alarm) Look(name string, copied *Follower) {
	age, read := copied.Age()
	if !read {
		return
	}
	worst, old := a.worst[name]
	report := AgeReport{Copy: name, Old: age > copied.timing().Last, Age: max(age, worst), StoreAnswers: !copied.Gate.Closed()}
	switch {
	case report.Old && !old:
		a.Tell(report)
	case !report.Old && old:
		delete(a.worst, name)
		a.Tell(report)
	}
	if report.Old {
		a.note(name, report.Age)
	}
}

func (a *Alarm) note(name string, age time.Duration) {
	if a.worst == nil {
		a.worst = map[string]time.Duration{}
	}
	a.worst[name] = age
}
