package quarantine

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
)

var (
	startTime  = time.Unix(1_000_000, 0)
	testOrigin = Origin{Account: "crew", Route: "r"}
)

// bodyRequest is a request with a body.
type bodyRequest string

// Fingerprint implements Request.
func (r bodyRequest) Fingerprint() fingerprint.Fingerprint {
	return fingerprint.Content("POST", "/", []byte(r))
}

// Prompt implements Request.
func (r bodyRequest) Prompt() Prompt { return Prompt{} }

func mustBegin(t testing.TB, table *Table, body string) Run {
	t.Helper()
	run, err := table.Begin(bodyRequest(body), startTime)
	if err != nil {
		t.Fatalf("request %q is refused: %v", body, err)
	}
	return run
}

// runAndCrash runs a request at the n-th upstream, which crashes in the n-th minute.
func runAndCrash(t testing.TB, table *Table, body string, n int) {
	t.Helper()
	endWithCrash(mustBegin(t, table, body), testOrigin, n)
}

// upstreamNamed returns an upstream with its own address and incarnation.
func upstreamNamed(id string) Upstream {
	return Upstream{ID: id, Address: "at " + id, Incarnation: id}
}

// endWithCrash ends a run with the crash of the n-th upstream.
func endWithCrash(run Run, origin Origin, n int) {
	c := run.NoteCrash(origin, upstreamNamed(fmt.Sprint("u", n)), startTime.Add(time.Duration(n)*time.Minute))
	c.Judge()
}

func TestThreeCrashesInARowCondemn(t *testing.T) {
	table := NewTable("a", nil)
	for n := range CondemnAfter {
		if state := table.StateOf(bodyRequest("fatal").Fingerprint()); state == Condemned {
			t.Fatalf("condemned after %d crashes", n)
		}
		runAndCrash(t, table, "fatal", n)
	}
	var refused *RefusedError
	if _, err := table.Begin(bodyRequest("fatal"), startTime); !errors.As(err, &refused) || !errors.Is(err, ErrCondemned) {
		t.Errorf("got error %v, want ErrCondemned", err)
	}
	mustBegin(t, table, "another").NoteEnd()
}

// Guards against harmless requests that are condemned because a whole failure domain lost power while
// many equal ones were running.
func TestCrashesAtTheSameMomentCountAsOne(t *testing.T) {
	table := NewTable("a", nil)
	runs := make([]Run, 10)
	for n := range runs {
		runs[n] = mustBegin(t, table, "sound")
	}
	for n, run := range runs {
		endWithCrash(run, testOrigin, n)
	}
	if all := table.All(); len(all) != 1 || all[0].ConsecutiveCrashes() != 1 {
		t.Errorf("got records %+v, want one with one crash", all)
	}
}

// Guards against a harmless request that twice ran next to a crashing one and is condemned later.
func TestAnswerClearsASuspectedRequest(t *testing.T) {
	table := NewTable("a", nil)
	runAndCrash(t, table, "sound", 1)
	runAndCrash(t, table, "sound", 2)
	if !mustBegin(t, table, "sound").NoteAnswer() || table.Watching() {
		t.Errorf("still suspected: %+v", table.All())
	}
	runAndCrash(t, table, "sound", 3)
	if state := table.StateOf(bodyRequest("sound").Fingerprint()); state != Suspected {
		t.Errorf("after one more crash, the state is %s", state)
	}
}

// Guards against harmless requests that are condemned because many upstreams repeatedly crash together,
// for a cause that is not a request.
func TestManyUpstreamsThatCrashTogetherCondemnNobody(t *testing.T) {
	table := NewTable("a", nil)
	for n := range CondemnAtMost - 1 {
		at := startTime.Add(time.Duration(n) * time.Minute)
		repeated := mustBegin(t, table, "repeated")
		other := mustBegin(t, table, fmt.Sprint("once ", n)).NoteCrash(testOrigin, upstreamNamed(fmt.Sprint("other ", n)), at.Add(-JudgeDelay/2))
		other.Judge()
		c := repeated.NoteCrash(testOrigin, upstreamNamed(fmt.Sprint("u", n)), at)
		if record := c.Judge(); record.StateAt("a") == Condemned {
			t.Fatalf("condemned after %d crashes", n+1)
		}
	}
	runAndCrash(t, table, "repeated", 100)
	if state := table.StateOf(bodyRequest("repeated").Fingerprint()); state != Condemned {
		t.Errorf("after %d consecutive crashes, the state is %s", CondemnAtMost, state)
	}
}

// Guards against an answer that does not clear its request because the run began before the request was
// suspected.
func TestAnswerOfAnEarlierRunClears(t *testing.T) {
	table := NewTable("a", nil)
	early := mustBegin(t, table, "sound")
	runAndCrash(t, table, "sound", 1)
	if !early.NoteAnswer() || table.Watching() {
		t.Error("still suspected")
	}
}

// Guards against a faulty instance that makes all others refuse any request it reports.
func TestWordOfOneInstanceDoesNotCondemn(t *testing.T) {
	there, here := NewTable("there", nil), NewTable("here", nil)
	for n := range 10 {
		run, err := there.Begin(bodyRequest("fatal"), startTime)
		if n >= CondemnAfter {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		endWithCrash(run, testOrigin, n)
	}
	here.Merge(there.All(), startTime, true)
	if state := here.StateOf(bodyRequest("fatal").Fingerprint()); state != Suspected {
		t.Errorf("with the reports of one other instance, the state is %s", state)
	}
	here.Merge([]Record{{Fingerprint: bodyRequest("fatal").Fingerprint(), Ended: 10}}, startTime, true) // ends its trials
	runAndCrash(t, here, "fatal", 20)
	if state := here.StateOf(bodyRequest("fatal").Fingerprint()); state != Condemned {
		t.Errorf("after a crash seen here, the state is %s", state)
	}
	there.Merge(here.All(), startTime, true)
	third := NewTable("third", nil)
	third.Merge(there.All(), startTime, true)
	if state := third.StateOf(bodyRequest("fatal").Fingerprint()); state != Condemned {
		t.Errorf("with the reports of two instances, the state is %s", state)
	}
}

// Guards against a burst of equal requests that each crash an upstream before the first crash is counted.
func TestSuspectedRequestsRunOneAtATime(t *testing.T) {
	a, b := NewTable("a", nil), NewTable("b", nil)
	runAndCrash(t, a, "suspect", 1)
	b.Merge(a.TakePending(), startTime, false)
	trial := mustBegin(t, a, "suspect")
	b.Merge(a.TakePending(), startTime, false)
	if _, err := b.Begin(bodyRequest("suspect"), startTime); !errors.Is(err, ErrTrialRuns) {
		t.Errorf("during a trial elsewhere: %v", err)
	}
	if _, err := b.Begin(bodyRequest("suspect"), startTime.Add(trialTimeout)); err != nil {
		t.Errorf("after the timeout of a trial whose end was not received: %v", err)
	}
	trial.NoteEnd()
	if _, err := a.Begin(bodyRequest("suspect"), startTime); err != nil {
		t.Errorf("after the trial: %v", err)
	}
}

func TestReleasedRequestRunsAgain(t *testing.T) {
	a, b := NewTable("a", nil), NewTable("b", nil)
	for n := range CondemnAfter {
		runAndCrash(t, a, "fatal", n)
	}
	b.Merge(a.All(), startTime, true)
	if !b.Release(bodyRequest("fatal").Fingerprint(), startTime) || b.Release(bodyRequest("fatal").Fingerprint(), startTime) {
		t.Error("Release must report true once, then false")
	}
	a.Merge(b.TakePending(), startTime, true)
	mustBegin(t, a, "fatal").NoteEnd()
	if a.Hash() != 0 || b.Hash() != 0 {
		t.Error("the hash of a table without watched requests is not 0")
	}
}

// Guards against a client that fills the table, so that its condemned request or the records of other
// accounts are evicted.
func TestFullTableKeepsTheCondemnedAndOthers(t *testing.T) {
	table := NewTable("a", nil)
	for n := range CondemnAfter {
		runAndCrash(t, table, "fatal", n)
	}
	endWithCrash(mustBegin(t, table, "of another"), Origin{Account: "other"}, 9)
	for n := range 10_000 {
		runAndCrash(t, table, fmt.Sprint("body ", n), 10+n)
	}
	if state := table.StateOf(bodyRequest("fatal").Fingerprint()); state != Condemned {
		t.Errorf("the state of the condemned request is %s", state)
	}
	if state := table.StateOf(bodyRequest("of another").Fingerprint()); state != Suspected {
		t.Errorf("the state of the other account's request is %s", state)
	}
	if all := table.All(); len(all) > maxRecordsPerAccount+1 || int64(len(all)) != table.watched.Load() {
		t.Errorf("%d records, %d watched", len(all), table.watched.Load())
	}
}

// Guards against a client that makes its condemned requests evicted by sending new ones.
func TestTableFullOfCondemnedKeepsThem(t *testing.T) {
	table := NewTable("a", nil)
	for body := range maxRecordsPerAccount {
		for n := range CondemnAfter {
			runAndCrash(t, table, fmt.Sprint("fatal ", body), CondemnAfter*body+n)
		}
	}
	runAndCrash(t, table, "one more", CondemnAfter*maxRecordsPerAccount)
	if condemned := len(table.Condemned()); condemned != maxRecordsPerAccount {
		t.Errorf("%d of %d are condemned", condemned, maxRecordsPerAccount)
	}
}

// Guards against invalid records of a faulty instance that block valid ones or can never be cleared.
func TestUnusableRecordsArePassedOver(t *testing.T) {
	good := Encode([]Record{{Fingerprint: bodyRequest("x").Fingerprint(), Crashes: map[string]uint32{"a": 1}}}, startTime)
	for name, spoil := range map[string]func(){
		"fingerprint": func() { good[0].Fingerprint = good[0].Fingerprint[1:] },
		"name":        func() { good[0].Account = string(make([]byte, maxNameBytes+1)) },
		"ordinal":     func() { good[0].Cleared = maxOrdinal + 1 },
		"instance":    func() { good[0].Crashes[0].Instance = "" },
		"crash":       func() { good[0].Crashes[0].Ordinal = maxOrdinal + 1 },
	} {
		good = Encode([]Record{{Fingerprint: bodyRequest("x").Fingerprint(), Crashes: map[string]uint32{"a": 1}}}, startTime)
		if records, bad := Decode(good, startTime); len(records) != 1 || len(bad) != 0 {
			t.Fatalf("valid record: %v", bad)
		}
		spoil()
		if records, bad := Decode(good, startTime); len(records) != 0 || len(bad) != 1 {
			t.Errorf("%s: %d records, %v", name, len(records), bad)
		}
	}
}

// unhashableRequest is a request whose fingerprint must not be computed.
type unhashableRequest struct{ t testing.TB }

// Prompt implements Request.
func (unhashableRequest) Prompt() Prompt { return Prompt{} }

// Fingerprint implements Request.
func (h unhashableRequest) Fingerprint() fingerprint.Fingerprint {
	h.t.Error("the fingerprint was computed")
	return fingerprint.Fingerprint{}
}

func TestNothingIsHashedWhileNothingIsWatched(t *testing.T) {
	table := NewTable("a", nil)
	run, err := table.Begin(unhashableRequest{t}, startTime)
	if err != nil || run.NoteAnswer() {
		t.Errorf("the request was suspected, or refused: %v", err)
	}
	run.NoteEnd()
}

func BenchmarkBeginWhileNothingIsWatched(b *testing.B) {
	table := NewTable("a", nil)
	var request Request = bodyRequest("x")
	for b.Loop() {
		run, err := table.Begin(request, startTime)
		if err != nil {
			b.Fatal(err)
		}
		run.NoteAnswer()
	}
}

func BenchmarkCondemnedIsRefused(b *testing.B) {
	table := NewTable("a", nil)
	for n := range CondemnAfter {
		runAndCrash(b, table, "fatal", n)
	}
	body := make([]byte, 64<<10)
	for b.Loop() {
		f := fingerprint.Of("crew", "host", fingerprint.Content("POST", "/", body))
		_ = table.StateOf(f)
	}
}

// Guards against verdicts without a crash, sent by a faulty instance, that fill the table permanently.
func TestVerdictWithoutACrashIsEvicted(t *testing.T) {
	table := NewTable("a", nil)
	for n := range maxRecordsPerAccount {
		f := bodyRequest(fmt.Sprint("told ", n)).Fingerprint()
		table.Merge([]Record{{Fingerprint: f, Account: testOrigin.Account, Verdict: CondemnAfter}}, startTime, true)
	}
	runAndCrash(t, table, "fatal", 1)
	if state := table.StateOf(bodyRequest("fatal").Fingerprint()); state != Suspected {
		t.Errorf("the state of a request under which an upstream crashed is %s", state)
	}
}
