// Package quarantine detects requests that crash the upstreams which run them, and prevents them from
// running again. It does no network I/O itself.
//
// A request that was running when its upstream crashed is suspected: it may have caused the crash, or
// only have run at the same time as the cause. Suspected requests run one at a time in the whole fleet.
// An answer clears a request; CondemnAfter consecutive crashes condemn it permanently, unless an operator
// releases it. More crashes are needed if other upstreams crash at the same time and no suspected request
// explains those crashes.
//
// The cause may also be one part of a prompt, in requests of which no two are alike. Parts are judged by the
// crashes that they explain, see partJudge.
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

// trialTimeout is how long a trial prevents other runs of its request if its end is not received: the
// instance that runs the trial may be gone.
const trialTimeout = 5 * time.Second

// Reasons for refusing a request.
var (
	// ErrCondemned means that the request is refused permanently.
	ErrCondemned = errors.New("request crashed the upstreams that ran it")
	// ErrTrialRuns means that the request may run once its current run has ended.
	ErrTrialRuns = errors.New("request is suspected of crashing upstreams and runs elsewhere")
)

// RefusedError is returned for a request that may not run.
type RefusedError struct {
	// Fingerprint identifies the request, or the part of its prompt, to operators.
	Fingerprint fingerprint.Fingerprint
	// Part is the part of the prompt for which the request is refused; nil if it is the request itself.
	Part *Part
	// Crashes is how many upstreams crashed under a condemned part, LastCrashAge how long ago the last did.
	Crashes      uint32
	LastCrashAge time.Duration
	// Err is ErrCondemned or ErrTrialRuns.
	Err error
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Part == nil {
		return fmt.Sprintf("quarantine %s: %v", e.Fingerprint, e.Err)
	}
	return fmt.Sprintf("quarantine %s: prompt part %x, %d crashes, the last %v ago: %v",
		e.Fingerprint, e.Part.ID, e.Crashes, e.LastCrashAge.Round(time.Millisecond), e.Err)
}

// Unwrap returns Err.
func (e *RefusedError) Unwrap() error { return e.Err }

// Policy controls how crashes are judged. Instances use DefaultPolicy; experiments compare it with other
// policies.
type Policy struct {
	// Trials makes suspected requests run one at a time.
	Trials bool
	// DiscountConcurrent gives less weight to a crash if other upstreams crashed at the same time.
	DiscountConcurrent bool
	// Parts controls how parts of prompts are judged.
	Parts PartPolicy
	// PartTrials makes requests with a suspected part run one at a time.
	PartTrials bool
}

// PartPolicy controls how parts of prompts are judged. Each policy adds to the one before.
type PartPolicy int

// Policies for parts.
const (
	// IgnoreParts judges whole requests only.
	IgnoreParts PartPolicy = iota
	// CountParts condemns the parts with enough crashes since the last answer on them.
	CountParts
	// JudgeByCover condemns the part that explains most crashes; a crash that it explains counts against no other.
	JudgeByCover
	// JudgeByAnswers counts a crash against a part that was answered not long before only where no other
	// part was there.
	JudgeByAnswers
)

// DefaultPolicy is the policy that instances use.
var DefaultPolicy = Policy{Trials: true, DiscountConcurrent: true, Parts: JudgeByAnswers, PartTrials: true}

// Table holds the records known to one instance. It is safe for concurrent use.
type Table struct {
	self   string
	policy Policy
	// watched counts the records with crashes or undecided endings. While it is 0, requests need
	// not be fingerprinted.
	watched atomic.Int64

	mu      sync.Mutex
	records map[fingerprint.Fingerprint]*entry
	// accounts counts the records of each account.
	accounts map[string]int
	// pending holds the requests whose records are still to be sent to other instances.
	pending map[fingerprint.Fingerprint]bool
	// undecided holds the requests with undecided endings by the address of the upstream;
	// nextExpiry is when the first of these endings expires.
	undecided  map[string]map[fingerprint.Fingerprint]bool
	nextExpiry time.Time
	// crashedProcesses holds, for each process known to have crashed, when a record last reported it.
	crashedProcesses map[process]time.Time
	// numUndecidedAddresses is the number of addresses in undecided. While it is 0, answers need not
	// be examined.
	numUndecidedAddresses atomic.Int64
	// recent holds the upstream crashes of the last seconds, under whatever request.
	recent recentCrashes
	// parts is what parts of prompts are judged by; numCrashes is the number of its crashes, answered the parts
	// that answers proved sound.
	parts      partJudge
	numCrashes atomic.Int64
	answered   *answeredParts
	onChange   func()
	// onCondemned is called when this instance judges a request and finds it condemned.
	onCondemned func()
	// onCrashConfirmed is called with the record when an undecided ending is found to be a crash.
	onCrashConfirmed func(Record)
	// onPartCondemned is called when this instance condemns a part.
	onPartCondemned func(PartVerdict)
}

// entry is a record with state that is local to this instance.
type entry struct {
	Record
	// trialExpiry is when the last known trial stops preventing other runs, even if its end is not
	// known.
	trialExpiry time.Time
	// indexedAddresses are the addresses under which Table.undecided lists the request.
	indexedAddresses []string
	// crashedUpstreams holds the IDs of the first maxCrashedUpstreams incarnations that crashed
	// under the request.
	crashedUpstreams map[string]bool
	// cachedHash is the record's hash; 0 after a change.
	cachedHash uint64
}

// hash returns the record's hash, cached until the record changes: each heartbeat hashes the whole
// table.
func (e *entry) hash() uint64 {
	if e.cachedHash == 0 {
		e.cachedHash = e.Record.hash()
	}
	return e.cachedHash
}

// maxCrashedUpstreams limits entry.crashedUpstreams.
const maxCrashedUpstreams = 32

func (e *entry) addCrashedUpstream(upstream string) {
	if upstream != "" && len(e.crashedUpstreams) < maxCrashedUpstreams {
		e.crashedUpstreams[upstream] = true
	}
}

// NewTable returns an empty table for the instance named self. onChange, if not nil, is called after a
// change that is to be sent to other instances; it must not block.
func NewTable(self string, onChange func()) *Table {
	return NewPolicyTable(self, DefaultPolicy, onChange)
}

// NewPolicyTable is like NewTable but with another policy, for experiments.
func NewPolicyTable(self string, policy Policy, onChange func()) *Table {
	if onChange == nil {
		onChange = func() {}
	}
	return &Table{
		self:     self,
		policy:   policy,
		records:  map[fingerprint.Fingerprint]*entry{},
		accounts: map[string]int{},
		pending:  map[fingerprint.Fingerprint]bool{},

		undecided: map[string]map[fingerprint.Fingerprint]bool{},

		crashedProcesses: map[process]time.Time{},

		recent:   recentCrashes{},
		parts:    newPartJudge(),
		answered: newAnsweredParts(),
		onChange: onChange,

		onCondemned:      func() {},
		onCrashConfirmed: func(Record) {},
		onPartCondemned:  func(PartVerdict) {},
	}
}

// OnCondemned sets a function that is called when this instance judges a request and finds it condemned.
// It must not block, and must be set before the table is used.
func (t *Table) OnCondemned(call func()) { t.onCondemned = call }

// OnCrashConfirmed sets a function that is called with the record when an undecided ending is found to
// be a crash. It must not block, and must be set before the table is used.
func (t *Table) OnCrashConfirmed(call func(Record)) { t.onCrashConfirmed = call }

// OnPartCondemned sets a function that is called when this instance condemns a part of prompts. It must not
// block, and must be set before the table is used.
func (t *Table) OnPartCondemned(call func(PartVerdict)) { t.onPartCondemned = call }

// Watching reports whether any record has crashes or undecided endings. It takes no lock.
func (t *Table) Watching() bool { return t.watched.Load() > 0 }

// StateOf returns the state of a request at this instance.
func (t *Table) StateOf(f fingerprint.Fingerprint) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[f]
	if e == nil {
		return Clear
	}
	return t.stateOf(e)
}

// stateOf returns the state of an entry at this instance. A part that another instance alone condemns is
// condemned here too, unless this instance knows of answers on it. t.mu must be held.
func (t *Table) stateOf(e *entry) State {
	state := e.StateAt(t.self)
	if state == Suspected && e.Part != nil && e.IsCondemned() && t.answered.last(*e.Part).IsZero() {
		return Condemned
	}
	return state
}

// Refuse returns a *RefusedError if the request or a part of its prompt is condemned, else nil. The
// fingerprint is computed only while any request is watched.
func (t *Table) Refuse(request Request, now time.Time) error {
	if !t.watchesParts() {
		return nil
	}
	prompt, f := request.Prompt(), t.fingerprintOf(request)
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.records[f]; e != nil && t.stateOf(e) == Condemned {
		return &RefusedError{Fingerprint: f, Err: ErrCondemned}
	}
	t.judgeParts(now)
	return t.refuseCondemnedParts(&prompt, now)
}

// fingerprintOf returns the request's fingerprint; the zero one while no request is watched.
func (t *Table) fingerprintOf(request Request) fingerprint.Fingerprint {
	if !t.Watching() {
		return fingerprint.Fingerprint{}
	}
	return request.Fingerprint()
}

// Request is a request whose fingerprint and prompt are determined on demand.
type Request interface {
	Fingerprint() fingerprint.Fingerprint
	Prompt() Prompt
}

// Run is one run of a request at an upstream. Its end is recorded once: by Conclude, or by one of
// NoteAnswer, NoteCrash and NoteEnd.
type Run struct {
	table   *Table
	request Request
	// knownCrashes is the ordinal of the last crash known when the run began.
	knownCrashes uint32
	// knownEndings is the turn of the last ending known when the run began.
	knownEndings uint32
	// watched reports that an upstream crashed under the request, or may have.
	watched bool
	// trial is the ordinal of the trial; 0 if the request is not suspected.
	trial uint32
	// beside reports that the run began beside another one.
	beside bool
	// partTrials are the run's trials of suspected parts.
	partTrials []partTrial
	// answeringSince is when the upstream sent the first event of its answer; zero before.
	answeringSince time.Time
	// provenAt is when the answer last showed that the parts of the prompt are sound; zero before.
	provenAt time.Time
}

// IsWatched reports whether an upstream crashed under the request, or may have. For such a request it is
// worth a query to learn which process is about to run it.
func (r Run) IsWatched() bool { return r.watched }

// IsTrial reports whether the request, or a part of its prompt, is suspected.
func (r Run) IsTrial() bool { return r.trial > 0 || len(r.partTrials) > 0 }

// Origin shows operators whose request it is and where it is sent.
type Origin struct{ Account, Route string }

// Begin starts a run of a request, or returns a *RefusedError if it may not run now. The fingerprint is
// computed only while any request is watched.
func (t *Table) Begin(request Request, now time.Time) (Run, error) {
	run := Run{table: t, request: request}
	if !t.watchesParts() {
		return run, nil
	}
	prompt, f := request.Prompt(), t.fingerprintOf(request)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if err := t.refuseParts(&prompt, false, now); err != nil {
		return Run{}, err
	}
	if err := t.beginRequest(&run, f, now); err != nil {
		return Run{}, err
	}
	t.beginPartTrials(&run, &prompt, now)
	return run, nil
}

// beginRequest starts a run of a request, and a trial if the request is suspected. t.mu must be held.
func (t *Table) beginRequest(run *Run, f fingerprint.Fingerprint, now time.Time) error {
	e := t.records[f]
	if e == nil {
		return nil
	}
	run.knownCrashes, run.knownEndings, run.watched = e.lastCrashOrdinal(), e.lastTurn(), e.isWatched()
	if t.stateOf(e) == Suspected {
		t.condemn(e, now) // several instances may each have judged some of its crashes separately
	}
	switch t.stateOf(e) {
	case Clear:
		return nil
	case Condemned:
		return &RefusedError{Fingerprint: f, Err: ErrCondemned}
	}
	if t.policy.Trials && e.mustWait(now) {
		return &RefusedError{Fingerprint: f, Err: ErrTrialRuns}
	}
	run.trial = t.startTrial(e, now)
	return nil
}

// startTrial starts a trial and returns its ordinal. t.mu must be held.
func (t *Table) startTrial(e *entry, now time.Time) uint32 {
	e.Started = max(e.Started, e.Ended) + 1
	e.trialExpiry = now.Add(trialTimeout)
	t.markPending(e.Fingerprint)
	return e.Started
}

// BeginBeside starts a further run of a request beside one that is still in progress. A request that is
// watched, or a part of which is suspected, is refused, as its runs must not multiply: each could end an
// upstream.
func (t *Table) BeginBeside(request Request, now time.Time) (Run, error) {
	run := Run{table: t, request: request, beside: true}
	if !t.watchesParts() {
		return run, nil
	}
	prompt, f := request.Prompt(), t.fingerprintOf(request)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if err := t.refuseParts(&prompt, true, now); err != nil {
		return Run{}, err
	}
	e := t.records[f]
	switch {
	case e == nil:
		return run, nil
	case e.isWatched():
		return Run{}, &RefusedError{Fingerprint: f, Err: ErrTrialRuns}
	}
	run.knownCrashes, run.knownEndings = e.lastCrashOrdinal(), e.lastTurn()
	return run, nil
}

// Confirm is called before the request is sent, which may be some time after the run began. It returns the run
// with what is known now, or a *RefusedError if the request may not run any more.
func (r Run) Confirm(now time.Time) (Run, error) {
	switch {
	case !r.table.watchesParts():
		return r, nil
	case r.IsTrial():
		return r, r.confirmTrial(now)
	case r.beside:
		return r.table.BeginBeside(r.request, now)
	default:
		return r.table.Begin(r.request, now)
	}
}

// confirmTrial returns a *RefusedError, and ends the trial, if a part of the prompt has been condemned since the
// trial began.
func (r Run) confirmTrial(now time.Time) error {
	t, prompt := r.table, r.request.Prompt()
	t.mu.Lock()
	t.judgeParts(now)
	err := t.refuseCondemnedParts(&prompt, now)
	t.mu.Unlock()
	if err != nil {
		r.NoteEnd()
	}
	return err
}

// isTrialRunning reports whether a trial has begun and is not known to have ended.
func (e *entry) isTrialRunning(now time.Time) bool {
	return e.Started > e.Ended && now.Before(e.trialExpiry)
}

// mustWait reports whether the request has to wait: a trial is running, or the request has undecided
// endings in addition to a crash, or so many of them that they would condemn it if they were crashes.
func (e *entry) mustWait(now time.Time) bool {
	if e.isTrialRunning(now) {
		return true
	}
	undecided, crashes := e.NumUndecided(), e.ConsecutiveCrashes()
	return undecided > 0 && (crashes > 0 || undecided >= CondemnAfter)
}

// NoteCrash records that the upstream crashed while running the request. The caller must call
// Crash.Judge after JudgeDelay; until then, an equal request does not run if this one is suspected.
func (r Run) NoteCrash(origin Origin, upstream Upstream, now time.Time) Crash {
	t := r.table
	f := r.request.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	cleared := uint32(0)
	if e := t.records[f]; e != nil {
		cleared = e.Cleared
	}
	// A run that began while nothing was watched did not look up the cleared crashes.
	before := max(r.knownCrashes, cleared)
	t.recent.note(upstream.ID, before-cleared, now)
	key := t.endingKeyFor(&r, f, upstream)
	crash := Crash{run: r, at: now, record: Record{
		Fingerprint: f,
		Account:     origin.Account,
		Route:       origin.Route,
		Crashes:     map[string]uint32{t.self: before + 1},
		LastCrash:   now,
		Upstream:    upstream.ID,
		endings:     map[endingKey]ending{key: {At: now, Crash: before + 1, Suspects: r.suspects(now)}},
	}}
	t.merge(&crash.record, now)
	t.endPartTrials(&r)
	return crash
}

// Crash is a recorded crash that is still to be judged, by Await or Judge.
type Crash struct {
	run    Run
	at     time.Time
	record Record
}

// IsFirst reports whether the request was not suspected when the run began: its crash needs no delay
// before it is judged.
func (c *Crash) IsFirst() bool { return c.run.trial == 0 }

// Await waits until the crash can be judged or ctx ends, and judges it.
func (c *Crash) Await(ctx context.Context) Record {
	if !c.IsFirst() {
		pause.For(ctx, JudgeDelay)
	}
	return c.Judge()
}

// Judge decides what the crash means for the request, and returns its record. A crash has more weight if
// no other upstream crashed at that time for an unknown cause.
func (c *Crash) Judge() Record {
	t := c.run.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[c.record.Fingerprint]
	if e == nil {
		return c.record // the table is full
	}
	t.judge(e, c.run.trial, c.IsFirst(), c.at)
	return e.clone()
}

// judge ends the trial, counts the crash as isolated if it was, and condemns the request if it has
// enough crashes. t.mu must be held.
func (t *Table) judge(e *entry, trial uint32, first bool, at time.Time) {
	verdict := Record{Fingerprint: e.Fingerprint, Ended: trial}
	if !first && t.isIsolated(e, at) {
		verdict.Isolated = max(e.Isolated, e.Cleared) + 1
	}
	t.merge(&verdict, at)
	t.condemn(e, at)
}

// isIsolated reports whether no other upstream crashed, or may have crashed, at the same time for an
// unknown cause. t.mu must be held.
func (t *Table) isIsolated(e *entry, at time.Time) bool {
	return !t.recent.hasUnexplainedAt(e.crashedUpstreams, at) && !t.hasConcurrentUndecided(e, at)
}

// condemn condemns a request that has enough crashes, and calls onCondemned if it is condemned. t.mu must
// be held.
func (t *Table) condemn(e *entry, now time.Time) {
	if e.ConsecutiveCrashes() >= CondemnAfter && t.hasEnoughIsolated(e, now) {
		t.merge(&Record{Fingerprint: e.Fingerprint, Verdict: e.lastCrashOrdinal()}, now)
	}
	if t.stateOf(e) == Condemned {
		t.onCondemned()
	}
}

// hasEnoughIsolated reports whether a request has enough isolated crashes to be condemned. t.mu must be
// held.
func (t *Table) hasEnoughIsolated(e *entry, now time.Time) bool {
	return !t.policy.DiscountConcurrent || e.numIsolatedCrashes() >= t.recent.requiredIsolated(e.crashedUpstreams, now)
}

// NoteAnswer records that an upstream sent a complete answer, which shows that the request did not cause
// its earlier crashes. It reports whether the request was suspected or condemned until then.
func (r Run) NoteAnswer() bool {
	t := r.table
	if !t.watchesParts() {
		return false
	}
	f := t.fingerprintOf(r.request)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endPartTrials(&r)
	e := t.records[f]
	if e == nil {
		return false
	}
	suspected := t.stateOf(e) != Clear
	t.update(e, func() bool {
		ended := raise(&e.Ended, r.trial)
		refuted := e.refuteUndecided()
		return raise(&e.Cleared, e.lastCrashOrdinal()) || ended || refuted
	})
	return suspected
}

// NoteEnd records that the run ended without evidence about the request.
func (r Run) NoteEnd() {
	t := r.table
	if !r.IsTrial() {
		return
	}
	f := r.request.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endPartTrials(&r)
	if e := t.records[f]; e != nil && r.trial > 0 {
		t.update(e, func() bool { return raise(&e.Ended, r.trial) })
	}
}

// Release clears a watched request or part, so that it runs without restrictions. It reports whether it was
// watched.
func (t *Table) Release(f fingerprint.Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[f]
	if e == nil || !e.isWatched() {
		return false
	}
	if e.Part != nil {
		t.refute(e.Account, *e.Part, now)
		return true
	}
	t.update(e, func() bool {
		refuted := e.refuteUndecided()
		return raise(&e.Cleared, e.lastCrashOrdinal()) || refuted
	})
	return true
}

// clearCrashes makes the crashes of an entry no longer count. t.mu must be held.
func (t *Table) clearCrashes(e *entry) {
	t.update(e, func() bool { return raise(&e.Cleared, e.lastCrashOrdinal()) })
}

// update calls apply to change an entry. If apply reports a change, update adjusts the count of watched
// records and the index of undecided endings, and marks the record as pending. t.mu must be held.
func (t *Table) update(e *entry, apply func() bool) {
	before := e.isWatched()
	if !apply() {
		return
	}
	e.cachedHash = 0
	t.countWatched(before, e.isWatched())
	t.updateIndex(e)
	t.markPending(e.Fingerprint)
}

// countWatched adjusts the number of watched records after a record changed.
func (t *Table) countWatched(before, after bool) {
	switch {
	case before && !after:
		t.watched.Add(-1)
	case !before && after:
		t.watched.Add(1)
	}
}

func (t *Table) markPending(f fingerprint.Fingerprint) {
	t.pending[f] = true
	t.onChange()
}

// Merge merges records from another instance or the store, and returns the records that changed. If
// forward is set, the changed records are sent to other instances as well, which is not needed if the
// sender has sent them to all instances itself.
func (t *Table) Merge(records []Record, now time.Time, forward bool) (changed []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range records {
		f := records[i].Fingerprint
		wasPending := t.pending[f]
		t.noteRemoteCrash(&records[i], now)
		if !t.merge(&records[i], now) {
			continue
		}
		if e := t.records[f]; e != nil { // the table may be full
			changed = append(changed, e.clone())
		}
		if !forward && !wasPending {
			delete(t.pending, f)
		}
	}
	return changed
}

// merge merges one record, and reports whether that added knowledge. t.mu must be held.
func (t *Table) merge(record *Record, now time.Time) (changed bool) {
	e := t.records[record.Fingerprint]
	if e == nil {
		if e = t.add(record); e == nil {
			return false
		}
	}
	started := e.Started
	e.addCrashedUpstream(record.Upstream)
	t.noteCrashedProcesses(record, now)
	t.update(e, func() bool {
		changed = e.Record.merge(record)
		return changed
	})
	if e.Started > started {
		e.trialExpiry = now.Add(trialTimeout)
	}
	t.noteCrashes(e, record.endings)
	if changed && e.Part != nil {
		t.parts.changed = true
	}
	return changed
}

// noteRemoteCrash adds the last crash of another instance's record to the recent crashes, if it is new.
// t.mu must be held.
func (t *Table) noteRemoteCrash(record *Record, now time.Time) {
	if e := t.records[record.Fingerprint]; record.Upstream != "" && (e == nil || record.lastCrashOrdinal() > e.lastCrashOrdinal()) {
		t.recent.note(record.Upstream, max(record.ConsecutiveCrashes(), 1)-1, now)
	}
}

// TakePending removes and returns the records to be sent to the other instances.
func (t *Table) TakePending() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.pending))
	for f := range t.pending {
		if e := t.records[f]; e != nil {
			out = append(out, e.clone())
		}
	}
	clear(t.pending)
	return out
}

// All returns all records.
func (t *Table) All() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.records))
	for _, e := range t.records {
		out = append(out, e.clone())
	}
	return out
}

// Condemned returns the records of requests that are condemned at this instance.
func (t *Table) Condemned() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for _, e := range t.records {
		if t.stateOf(e) == Condemned {
			out = append(out, e.clone())
		}
	}
	return out
}
