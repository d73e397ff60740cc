package quarantine

import (
	"errors"
	"testing"
	"time"
)

// Guards against a request that ends upstreams and runs at two of them at the same time, because a further
// run is started beside one that is silent.
func TestWatchedRequestGetsNoRunBesideAnother(t *testing.T) {
	const body = "watched"
	cases := []struct {
		description string
		prepare     func(table *Table, running Run)
		at          time.Time
		allowed     bool
	}{
		{"nothing is known", func(*Table, Run) {}, startTime, true},
		{"an undecided ending", func(table *Table, _ Run) {
			other := mustBegin(t, table, body)
			other.NoteConnectionEnd(testOrigin, upstreamNamed("u"), startTime)
			other.NoteEnd()
		}, startTime, false},
		{"a crash", func(table *Table, _ Run) { runAndCrash(t, table, body, 1) }, startTime, false},
		{"a trial whose end is overdue", func(table *Table, _ Run) {
			runAndCrash(t, table, body, 1)
			mustBegin(t, table, body)
		}, startTime.Add(2 * trialTimeout), false},
		{"an answer after a crash", func(table *Table, _ Run) {
			runAndCrash(t, table, body, 1)
			mustBegin(t, table, body).NoteAnswer()
		}, startTime, true},
		{"an ending that is forgotten", func(table *Table, running Run) {
			running.NoteConnectionEnd(testOrigin, upstreamNamed("u"), startTime)
		}, startTime.Add(2 * endingLifetime), true},
		{"another request's crash", func(table *Table, _ Run) { runAndCrash(t, table, "another", 1) }, startTime, true},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			table := NewTable("a", nil)
			c.prepare(table, mustBegin(t, table, body))
			_, err := table.BeginBeside(bodyRequest(body), c.at)
			if c.allowed != (err == nil) || (err != nil && !errors.Is(err, ErrTrialRuns)) {
				t.Errorf("got error %v, allowed %t", err, c.allowed)
			}
		})
	}
}

// Guards against crashes of attempts beside each other that are not counted, or count several times: those of one
// moment are one crash, a later one is the next.
func TestCrashesBesideEachOtherCountAsOne(t *testing.T) {
	table := NewTable("a", nil)
	runAndCrash(t, table, "body", 0)
	mustBegin(t, table, "body").NoteAnswer()
	runs := []Run{mustBegin(t, table, "body")}
	for range 2 {
		beside, err := table.BeginBeside(bodyRequest("body"), startTime)
		if err != nil {
			t.Fatal(err)
		}
		runs = append(runs, beside)
	}
	for n, run := range runs {
		endWithCrash(run, testOrigin, n+1)
	}
	if crashes := table.All()[0].ConsecutiveCrashes(); crashes != 1 {
		t.Errorf("%d crashes, want 1", crashes)
	}
	runAndCrash(t, table, "body", 9)
	if crashes := table.All()[0].ConsecutiveCrashes(); crashes != 2 {
		t.Errorf("%d crashes, want 2", crashes)
	}
}

// Guards against a request that runs although upstreams ended under equal ones while its connection was set up.
func TestRunIsConfirmedBeforeItIsSent(t *testing.T) {
	const body = "watched"
	cases := []struct {
		description string
		crashes     int
		trialRuns   bool
		want        error
		trial       bool
	}{
		{"nothing happened", 0, false, nil, false},
		{"a crash", 1, false, nil, true},
		{"a crash, and its trial runs elsewhere", 1, true, ErrTrialRuns, false},
		{"condemned", CondemnAfter, false, ErrCondemned, false},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			table := NewTable("a", nil)
			run := mustBegin(t, table, body)
			for n := range c.crashes {
				runAndCrash(t, table, body, n)
			}
			if c.trialRuns {
				mustBegin(t, table, body)
			}
			confirmed, err := run.Confirm(startTime)
			if !errors.Is(err, c.want) || (c.want == nil && confirmed.IsTrial() != c.trial) {
				t.Errorf("got error %v, trial %t; want %v, %t", err, confirmed.IsTrial(), c.want, c.trial)
			}
			if _, again := table.Begin(bodyRequest(body), startTime); c.trial && !errors.Is(again, ErrTrialRuns) {
				t.Errorf("beside the confirmed trial: got error %v", again)
			}
		})
	}
}

// Guards against a run beside another one that is sent although an ending became known meanwhile.
func TestRunBesideAnotherIsConfirmedBeforeItIsSent(t *testing.T) {
	table := NewTable("a", nil)
	running := mustBegin(t, table, "body")
	beside, err := table.BeginBeside(bodyRequest("body"), startTime)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := beside.Confirm(startTime); err != nil {
		t.Errorf("before the ending: %v", err)
	}
	running.NoteConnectionEnd(testOrigin, upstreamNamed("u"), startTime)
	if _, err := beside.Confirm(startTime); !errors.Is(err, ErrTrialRuns) {
		t.Errorf("after the ending: got error %v, want ErrTrialRuns", err)
	}
}
