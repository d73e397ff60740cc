// Package quarantine finds requests that crash the upstreams which run them, and keeps them from
// running again. It knows no network.
//
// A request under which an upstream crashed is suspected: it may have been the cause, or have run
// beside it. Suspected requests run one at a time in the whole fleet. An answer clears a request;
// CondemnAfter crashes in a row condemn it, for good, unless an operator releases it. Where other
// upstreams crash at the same time without a suspect, more are needed.
package quarantine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/pause"
)

// trialTimeout is how long a trial that was told of holds others back without its end: the
// instance that runs it may be gone.
const trialTimeout = 5 * time.Second

// Reasons for which a request does not run.
var (
	// ErrCondemned means that it will not run later either.
	ErrCondemned = errors.New("request crashed the upstreams that ran it")
	// ErrTrialRuns means that it may run when its present run has ended.
	ErrTrialRuns = errors.New("request is suspected of crashing upstreams and runs elsewhere")
)

// RefusedError tells which request does not run.
type RefusedError struct {
	// Fingerprint is by what operators find it.
	Fingerprint fingerprint.Fingerprint
	// Err is ErrCondemned or ErrTrialRuns.
	Err error
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("quarantine %s: %v", e.Fingerprint, e.Err) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// Policy is how crashes are judged. Instances use DefaultPolicy; the others are what experiments
// compare it with.
type Policy struct {
	// Trials says that suspected requests run one at a time.
	Trials bool
	// Alone says that crashes beside those of other upstreams count for less.
	Alone bool
}

// DefaultPolicy is that of instances.
var DefaultPolicy = Policy{Trials: true, Alone: true}

// Table holds the records of one instance. It is safe for concurrent use.
type Table struct {
	self   string
	policy Policy
	// watched counts the records that are not clear; while there are none, no request needs
	// to be recognized.
	watched atomic.Int64

	mu      sync.Mutex
	records map[fingerprint.Fingerprint]*entry
	// accounts counts the records of each account.
	accounts map[string]int
	news     map[fingerprint.Fingerprint]bool
	// undecided holds the requests with undecided endings by the address of the upstream;
	// expires is when the first of these endings says nothing any more.
	undecided map[string]map[fingerprint.Fingerprint]bool
	expires   time.Time
	// crashedProcesses holds when processes were known to have crashed.
	crashedProcesses map[process]time.Time
	// open counts these addresses; while there are none, answers need not be looked at.
	open atomic.Int64
	// seen are the crashes of upstreams of the last seconds.
	seen   crashesSeen
	onNews func()
	// onCondemned is called after a crash seen here condemned a request.
	onCondemned func()
	// onDecided is told of a crash that was undecided until now.
	onDecided func(Record)
}

// entry is a record with what only this instance knows of it.
type entry struct {
	Record
	// heldUntil is when a trial of another instance holds no longer.
	heldUntil time.Time
	// undecidedAt are the addresses under which the table's index has the record.
	undecidedAt []string
	// crashed are incarnations that crashed under the request, the first of them.
	crashed map[string]bool
	// kept is the record's hash; 0 after a change.
	kept uint64
}

// hash is the record's, kept until it changes: each heartbeat compares whole tables.
func (e *entry) hash() uint64 {
	if e.kept == 0 {
		e.kept = e.Record.hash()
	}
	return e.kept
}

// mostOwnCrashes bounds the incarnations that an entry names.
const mostOwnCrashes = 32

func (e *entry) noteCrash(upstream string) {
	if upstream != "" && len(e.crashed) < mostOwnCrashes {
		e.crashed[upstream] = true
	}
}

// NewTable returns the empty table of an instance. onNews, if not nil, is called after a change
// that the others do not know; it must not block.
func NewTable(self string, onNews func()) *Table { return NewPolicyTable(self, DefaultPolicy, onNews) }

// NewPolicyTable returns a table with a policy of its own, for experiments.
func NewPolicyTable(self string, policy Policy, onNews func()) *Table {
	if onNews == nil {
		onNews = func() {}
	}
	return &Table{
		self:     self,
		policy:   policy,
		records:  map[fingerprint.Fingerprint]*entry{},
		accounts: map[string]int{},
		news:     map[fingerprint.Fingerprint]bool{},

		undecided: map[string]map[fingerprint.Fingerprint]bool{},

		crashedProcesses: map[process]time.Time{},

		seen:   crashesSeen{},
		onNews: onNews,

		onCondemned: func() {},
		onDecided:   func(Record) {},
	}
}

// OnCondemned sets what is called after a crash seen here condemned a request; it must not block.
// It is set before the table is used.
func (t *Table) OnCondemned(call func()) { t.onCondemned = call }

// OnDecided sets what is told of each crash that was undecided until now; it must not block. It is
// set before the table is used.
func (t *Table) OnDecided(call func(Record)) { t.onDecided = call }

// Watching reports whether any request is suspected or condemned. It takes no lock.
func (t *Table) Watching() bool { return t.watched.Load() > 0 }

// StateOf tells what this instance does with a request.
func (t *Table) StateOf(f fingerprint.Fingerprint) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[f]
	if e == nil {
		return Clear
	}
	return e.StateAt(t.self)
}

// Refuse returns why a request does not run now or later: a *RefusedError if it is condemned. Its
// fingerprint is asked for only while any request is watched.
func (t *Table) Refuse(request Request) error {
	if !t.Watching() {
		return nil
	}
	f := request.Fingerprint()
	if t.StateOf(f) != Condemned {
		return nil
	}
	return &RefusedError{Fingerprint: f, Err: ErrCondemned}
}

// Request is a request that may have to be recognized.
type Request interface {
	Fingerprint() fingerprint.Fingerprint
}

// Run is one run of a request at an upstream. Its end is told once: by Conclude, or by one of
// Answered, Crashed and Ended.
type Run struct {
	table   *Table
	request Request
	// before is how many crashes were known when the run began.
	before uint32
	// turn is how many endings were known then.
	turn uint32
	// watched says that an upstream crashed under the request, or may have.
	watched bool
	// trial is its ordinal; 0 for a run of a request that is not suspected.
	trial uint32
}

// IsWatched reports that an upstream crashed under the request, or may have: it is worth a question to
// know which process gets it now.
func (r Run) IsWatched() bool { return r.watched }

// IsTrial reports that the request is suspected.
func (r Run) IsTrial() bool { return r.trial > 0 }

// Origin says, for operators, whose request it is and where it is sent.
type Origin struct{ Account, Route string }

// Begin asks whether a request may run. Its fingerprint is asked for only while any request is
// watched. Errors: *RefusedError.
func (t *Table) Begin(request Request, now time.Time) (Run, error) {
	run := Run{table: t, request: request}
	if !t.Watching() {
		return run, nil
	}
	f := request.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	e := t.records[f]
	if e == nil {
		return run, nil
	}
	run.before, run.turn, run.watched = e.last(), e.lastTurn(), e.watched()
	if e.StateAt(t.self) == Suspected {
		t.condemn(e, now) // instances may have decided about its crashes each without the others
	}
	switch e.StateAt(t.self) {
	case Clear:
		return run, nil
	case Condemned:
		return Run{}, &RefusedError{Fingerprint: f, Err: ErrCondemned}
	}
	if t.policy.Trials && e.heldBack(now) {
		return Run{}, &RefusedError{Fingerprint: f, Err: ErrTrialRuns}
	}
	e.Started = max(e.Started, e.Ended) + 1
	e.heldUntil = now.Add(trialTimeout)
	run.trial = e.Started
	t.tell(f)
	return run, nil
}

// heldBack reports that the request has to wait: a trial runs, or endings are undecided beside a crash,
// or as many of them as condemn it if they are crashes.
func (e *entry) heldBack(now time.Time) bool {
	if e.Started > e.Ended && now.Before(e.heldUntil) {
		return true
	}
	undecided, crashes := e.Undecided(), e.InARow()
	return undecided > 0 && (crashes > 0 || undecided >= CondemnAfter)
}

// Crashed notes that the upstream crashed while the request ran there. Judge is to be called after
// JudgeAfter; until then an equal request does not run if this one is suspected.
func (r Run) Crashed(origin Origin, upstream Upstream, now time.Time) Crash {
	t := r.table
	f := r.request.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	cleared := uint32(0)
	if e := t.records[f]; e != nil {
		cleared = e.Cleared
	}
	before := max(r.before, cleared) // what was cleared was not looked up when the run began
	t.seen.note(upstream.ID, before-cleared, now)
	key := t.keyOf(&r, f, upstream)
	crash := Crash{run: r, at: now, record: Record{
		Fingerprint: f,
		Account:     origin.Account,
		Route:       origin.Route,
		Crashes:     map[string]uint32{t.self: before + 1},
		LastCrash:   now,
		Upstream:    upstream.ID,
		endings:     map[endingKey]ending{key: {At: now, Crash: before + 1}},
	}}
	t.merge(&crash.record, now)
	return crash
}

// Crash is one that waits for its judgement.
type Crash struct {
	run    Run
	at     time.Time
	record Record
}

// IsFirst reports that the request was not suspected before: it needs no judgement then.
func (c *Crash) IsFirst() bool { return c.run.trial == 0 }

// Await waits until the crash can be judged, or ctx ends, and judges it.
func (c *Crash) Await(ctx context.Context) Record {
	if !c.IsFirst() {
		pause.For(ctx, JudgeAfter)
	}
	return c.Judge()
}

// Judge tells what follows for the request: a crash counts for more if no other upstream crashed at
// that time of an unknown cause.
func (c *Crash) Judge() Record {
	t := c.run.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[c.record.Fingerprint]
	if e == nil {
		return c.record // the table has no room for it
	}
	t.judge(e, c.run.trial, c.IsFirst(), c.at)
	return e.clone()
}

// judge tells what follows from a crash at a time; t.mu is held.
func (t *Table) judge(e *entry, trial uint32, first bool, at time.Time) {
	verdict := Record{Fingerprint: e.Fingerprint, Ended: trial}
	if !first && t.isAlone(e, at) {
		verdict.Alone = max(e.Alone, e.Cleared) + 1
	}
	t.merge(&verdict, at)
	t.condemn(e, at)
}

// isAlone reports that nothing else explains a crash at a time; t.mu is held.
func (t *Table) isAlone(e *entry, at time.Time) bool {
	return !t.seen.othersAt(e.crashed, at) && !t.undecidedBeside(e, at)
}

// condemn condemns a request that has crashes enough; t.mu is held.
func (t *Table) condemn(e *entry, now time.Time) {
	if e.InARow() >= CondemnAfter && t.enoughAlone(e, now) {
		t.merge(&Record{Fingerprint: e.Fingerprint, Verdict: e.last()}, now)
	}
	if e.StateAt(t.self) == Condemned {
		t.onCondemned()
	}
}

// enoughAlone reports whether a request has crashes enough that no other crash can explain; t.mu
// is held.
func (t *Table) enoughAlone(e *entry, now time.Time) bool {
	return !t.policy.Alone || e.aloneCrashes() >= t.seen.aloneNeeded(e.crashed, now)
}

// Answered notes that an upstream gave a whole answer: the request is not what crashed the others.
// It reports whether that cleared the request of a suspicion.
func (r Run) Answered() bool {
	t := r.table
	if !t.Watching() {
		return false
	}
	f := r.request.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[f]
	if e == nil {
		return false
	}
	suspected := e.StateAt(t.self) != Clear
	t.change(e, func() bool {
		ended := raise(&e.Ended, r.trial)
		refuted := e.refuteAll()
		return raise(&e.Cleared, e.last()) || ended || refuted
	})
	return suspected
}

// Ended notes that the run ended in another way, from which nothing follows.
func (r Run) Ended() {
	t := r.table
	if r.trial == 0 {
		return
	}
	f := r.request.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.records[f]; e != nil {
		t.change(e, func() bool { return raise(&e.Ended, r.trial) })
	}
}

// Release has a condemned or suspected request run again like any other. It reports whether there
// was one.
func (t *Table) Release(f fingerprint.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[f]
	if e == nil || !e.watched() {
		return false
	}
	t.change(e, func() bool {
		refuted := e.refuteAll()
		return raise(&e.Cleared, e.last()) || refuted
	})
	return true
}

// change applies a change to an entry and has it told; t.mu is held.
func (t *Table) change(e *entry, apply func() bool) {
	before := e.watched()
	if !apply() {
		return
	}
	e.kept = 0
	t.count(before, e.watched())
	t.index(e)
	t.tell(e.Fingerprint)
}

// count keeps the number of watched records.
func (t *Table) count(before, after bool) {
	switch {
	case before && !after:
		t.watched.Add(-1)
	case !before && after:
		t.watched.Add(1)
	}
}

func (t *Table) tell(f fingerprint.Fingerprint) {
	t.news[f] = true
	t.onNews()
}

// Merge takes in what another instance, or the store, knows, and returns the records of which
// this was news. They are to be told on where the sender did not tell all itself.
func (t *Table) Merge(records []Record, now time.Time, tellOn bool) (changed []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range records {
		f := records[i].Fingerprint
		told := t.news[f]
		t.hear(&records[i], now)
		if !t.merge(&records[i], now) {
			continue
		}
		if e := t.records[f]; e != nil { // the table may have no room for it
			changed = append(changed, e.clone())
		}
		if !tellOn && !told {
			delete(t.news, f)
		}
	}
	return changed
}

// merge takes one record in; t.mu is held.
func (t *Table) merge(record *Record, now time.Time) (changed bool) {
	e := t.records[record.Fingerprint]
	if e == nil {
		if e = t.add(record); e == nil {
			return false
		}
	}
	started := e.Started
	e.noteCrash(record.Upstream)
	t.noteProcesses(record, now)
	t.change(e, func() bool {
		changed = e.Record.merge(record)
		return changed
	})
	if e.Started > started {
		e.heldUntil = now.Add(trialTimeout)
	}
	return changed
}

// hear notes the crash that another instance's record tells of.
func (t *Table) hear(record *Record, now time.Time) {
	if e := t.records[record.Fingerprint]; record.Upstream != "" && (e == nil || record.last() > e.last()) {
		t.seen.note(record.Upstream, max(record.InARow(), 1)-1, now)
	}
}

// News returns what the other instances are to be told, and forgets it.
func (t *Table) News() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.news))
	for f := range t.news {
		if e := t.records[f]; e != nil {
			out = append(out, e.clone())
		}
	}
	clear(t.news)
	return out
}

// All returns every record.
func (t *Table) All() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.records))
	for _, e := range t.records {
		out = append(out, e.clone())
	}
	return out
}

// Condemned returns the records of condemned requests.
func (t *Table) Condemned() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for _, e := range t.records {
		if e.StateAt(t.self) == Condemned {
			out = append(out, e.clone())
		}
	}
	return out
}
