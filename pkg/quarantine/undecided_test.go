package quarantine

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

const watchedBody = "watched"

// runUntilConnectionEnds runs the request at an upstream whose connection ends in the n-th second.
func runUntilConnectionEnds(t testing.TB, table *Table, u Upstream, n int) {
	t.Helper()
	run, err := table.Begin(bodyRequest(watchedBody), startTime)
	if err != nil {
		t.Fatalf("run %d: %v", n, err)
	}
	run.NoteConnectionEnd(testOrigin, u, startTime.Add(time.Duration(n)*time.Second))
	run.NoteEnd()
}

func upstreamProcess(n int) Upstream {
	return Upstream{ID: fmt.Sprint("u", n), Address: fmt.Sprint("at ", n%3), Incarnation: fmt.Sprint("process ", n)}
}

func watchedState(table *Table) State { return table.StateOf(bodyRequest(watchedBody).Fingerprint()) }

// Guards against crashes that are not counted because probes came too late: the next process at the
// address reveals each crash to any instance that observes it, and three such crashes condemn.
func TestNextIncarnationDecidesThatItWasACrash(t *testing.T) {
	here, there := NewTable("here", nil), NewTable("there", nil)
	for n := range CondemnAfter {
		runUntilConnectionEnds(t, here, upstreamProcess(n), n)
	}
	there.Merge(here.All(), startTime, true)
	if watchedState(here) == Condemned || !there.HasUndecided("at 0") {
		t.Fatalf("before any observation, the state is %s", watchedState(here))
	}
	for n := range CondemnAfter {
		there.NoteAnswer(upstreamProcess(n).Address, "a later process", startTime.Add(time.Minute))
	}
	here.Merge(there.All(), startTime, true)
	if watchedState(here) != Condemned || here.HasUndecided("at 0") {
		t.Errorf("the state is %s", watchedState(here))
	}
}

// Guards against a crashing request that continues to run while earlier crashes are undecided.
func TestUndecidedEndingsHoldARequestBack(t *testing.T) {
	table := NewTable("a", nil)
	for n := range CondemnAfter {
		runUntilConnectionEnds(t, table, upstreamProcess(n), n)
	}
	if _, err := table.Begin(bodyRequest(watchedBody), startTime); !errors.Is(err, ErrTrialRuns) {
		t.Errorf("with undecided endings: got error %v, want ErrTrialRuns", err)
	}
	if _, err := table.Begin(bodyRequest(watchedBody), startTime.Add(endingLifetime+time.Minute)); err != nil {
		t.Errorf("after the endings expired: %v", err)
	}
}

// Guards against harmless requests that are suspected because their connections were reset.
func TestEndingIsRefutedByTheSameIncarnation(t *testing.T) {
	table := NewTable("a", nil)
	for n := range 20 {
		runUntilConnectionEnds(t, table, upstreamProcess(n), n)
		at := startTime.Add(time.Duration(n) * time.Second)
		table.NoteAnswer(upstreamProcess(n).Address, upstreamProcess(n).Incarnation, at.Add(-time.Millisecond))
		if !table.HasUndecided(upstreamProcess(n).Address) {
			t.Fatal("an answer to a request sent before the ending refuted it")
		}
		table.NoteAnswer(upstreamProcess(n).Address, upstreamProcess(n).Incarnation, at.Add(time.Millisecond))
	}
	if watchedState(table) != Clear || table.Watching() {
		t.Errorf("the state is %s", watchedState(table))
	}
}

// Guards against one crash that counts several times for a request that was sent to the same address
// again while its process was gone.
func TestProcessCrashesOnce(t *testing.T) {
	table := NewTable("a", nil)
	for n := range 2 {
		runUntilConnectionEnds(t, table, upstreamProcess(0), n)
	}
	table.NoteAnswer(upstreamProcess(0).Address, "a later process", startTime.Add(time.Minute))
	if all := table.All(); len(all) != 1 || all[0].ConsecutiveCrashes() != 1 {
		t.Errorf("got records %+v, want one with one crash", all)
	}
	if !table.HasCrashed(upstreamProcess(0).Address, upstreamProcess(0).Incarnation) {
		t.Error("the process is not known to have crashed")
	}
}

// Guards against crashes of a request that are not counted individually because they are decided in
// another order, or by several instances.
func TestCrashesDecidedInAnyOrderCountOneByOne(t *testing.T) {
	a, b := NewTable("a", nil), NewTable("b", nil)
	for n := range 2 {
		runUntilConnectionEnds(t, a, upstreamProcess(n), n)
	}
	b.Merge(a.All(), startTime, true)
	b.NoteAnswer(upstreamProcess(1).Address, "later", startTime.Add(time.Minute))
	b.NoteAnswer(upstreamProcess(0).Address, "later", startTime.Add(time.Minute))
	a.NoteAnswer(upstreamProcess(0).Address, "later", startTime.Add(time.Minute))
	a.NoteAnswer(upstreamProcess(1).Address, "later", startTime.Add(time.Minute))
	a.Merge(b.All(), startTime, true)
	b.Merge(a.All(), startTime, true)
	for _, table := range []*Table{a, b} {
		if all := table.All(); all[0].ConsecutiveCrashes() != 2 {
			t.Errorf("got records %+v, want two crashes", all)
		}
	}
	if a.Hash() != b.Hash() {
		t.Error("the tables differ")
	}
}

// Guards against counting the end of a connection as a crash when the upstream had already left in an
// orderly way.
func TestEndingAfterTheEntryWentIsNoCrash(t *testing.T) {
	table := NewTable("a", nil)
	runUntilConnectionEnds(t, table, upstreamProcess(0), 2)
	table.NoteGone(upstreamProcess(0).Address, upstreamProcess(0).Incarnation, startTime.Add(time.Second))
	if all := table.All(); all[0].ConsecutiveCrashes() != 0 {
		t.Errorf("got records %+v, want no crash", all)
	}
}

// Guards against one reset connection that makes the whole fleet fingerprint requests permanently.
func TestEndingsAreForgotten(t *testing.T) {
	table := NewTable("a", nil)
	runUntilConnectionEnds(t, table, upstreamProcess(0), 0)
	table.Expire(startTime.Add(endingLifetime + time.Second))
	if table.Watching() || table.Hash() != 0 || table.HasUndecided(upstreamProcess(0).Address) {
		t.Error("the ending still counts")
	}
}

// Guards against endings that fill the table, or that displace records of other accounts.
func TestEndingsAreBounded(t *testing.T) {
	table := NewTable("a", nil)
	for n := range 10_000 {
		run := mustBegin(t, table, fmt.Sprint("body ", n))
		run.NoteConnectionEnd(testOrigin, upstreamProcess(n), startTime)
		run.NoteEnd()
	}
	if all := len(table.All()); all > maxRecordsPerAccount {
		t.Errorf("%d records, more than maxRecordsPerAccount", all)
	}
	record := Record{Fingerprint: bodyRequest(watchedBody).Fingerprint(), endings: map[endingKey]ending{}}
	for n := range 2 * maxEndings {
		record.mergeEndings(map[endingKey]ending{{Turn: uint32(n), Instance: "a"}: {At: startTime}})
	}
	if len(record.endings) != maxEndings || record.lastTurn() != 2*maxEndings-1 {
		t.Errorf("%d endings, the last with turn %d; want the maxEndings latest", len(record.endings), record.lastTurn())
	}
}
