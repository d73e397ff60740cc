package quarantine

import (
	"iter"
	"time"
)

// partTrial is a run of a request with a suspected part, of which one runs at a time in the fleet.
type partTrial struct {
	part Part
	// ordinal is that of the trial in the part's record.
	ordinal uint32
}

// refuseParts returns a *RefusedError if a part of the prompt is condemned, or is suspected and the request has
// to wait. A run beside another one has to wait for every suspected part. t.mu must be held.
func (t *Table) refuseParts(prompt *Prompt, beside bool, now time.Time) error {
	if len(prompt.Parts) == 0 {
		return nil
	}
	t.judgeParts(now)
	if err := t.refuseCondemnedParts(prompt, now); err != nil {
		return err
	}
	for _, id := range prompt.Parts {
		p := prompt.part(id)
		if t.isSuspectedPart(prompt.Account, p) && (beside || t.partMustWait(p, now)) {
			return &RefusedError{Fingerprint: scopedPart{Part: p}.fingerprint(), Part: &p, Err: ErrTrialRuns}
		}
	}
	return nil
}

// refuseCondemnedParts returns a *RefusedError if a part of the prompt is condemned. t.mu must be held.
func (t *Table) refuseCondemnedParts(prompt *Prompt, now time.Time) error {
	for _, id := range prompt.Parts {
		p := prompt.part(id)
		if e := t.condemnedRecord(prompt.Account, p); e != nil {
			return &RefusedError{
				Fingerprint: e.Fingerprint, Part: &p, Crashes: e.ConsecutiveCrashes(), LastCrashAge: now.Sub(e.LastCrash), Err: ErrCondemned,
			}
		}
	}
	return nil
}

// isSuspectedPart reports whether runs of the part are trials: enough crashes count against it, or it is condemned by
// a report that this instance does not trust alone.
func (t *Table) isSuspectedPart(account string, p Part) bool {
	if !t.policy.PartTrials {
		return false
	}
	if y := t.parts.tallies[p]; y != nil && y.moments >= minSuspectedMoments {
		return true
	}
	for e := range t.partRecords(account, p) {
		if t.stateOf(e) == Suspected {
			return true
		}
	}
	return false
}

// partMustWait reports whether a trial of the part is running, or a crash under it is still to be judged.
func (t *Table) partMustWait(p Part, now time.Time) bool {
	if y := t.parts.tallies[p]; y != nil && now.Sub(y.last) < JudgeDelay {
		return true
	}
	e := t.parts.records[scopedPart{Part: p}]
	return e != nil && e.isTrialRunning(now)
}

// beginPartTrials starts a trial of each suspected part of the prompt. t.mu must be held.
func (t *Table) beginPartTrials(run *Run, prompt *Prompt, now time.Time) {
	for _, id := range prompt.Parts {
		p := prompt.part(id)
		if !t.isSuspectedPart(prompt.Account, p) {
			continue
		}
		e := t.partRecord(p)
		if e == nil {
			continue // the table is full
		}
		run.partTrials = append(run.partTrials, partTrial{part: p, ordinal: t.startTrial(e, now)})
		run.watched = true
	}
}

// partRecords yields the records of a part that concern an account: in the requests of all accounts, and in its own.
func (t *Table) partRecords(account string, p Part) iter.Seq[*entry] {
	return func(yield func(*entry) bool) {
		if e := t.parts.records[scopedPart{Part: p}]; e != nil && !yield(e) {
			return
		}
		if e := t.parts.records[scopedPart{Account: account, Part: p}]; e != nil && account != "" {
			yield(e)
		}
	}
}

// partRecord returns the record of a part in the requests of all accounts, adding it if there is none. It
// returns nil if the table is full. t.mu must be held.
func (t *Table) partRecord(p Part) *entry {
	scoped := scopedPart{Part: p}
	if e := t.parts.records[scoped]; e != nil {
		return e
	}
	return t.add(&Record{Fingerprint: scoped.fingerprint(), Part: &p})
}

// endPartTrials ends the trials of a run. t.mu must be held.
func (t *Table) endPartTrials(r *Run) {
	for _, trial := range r.partTrials {
		if e := t.parts.records[scopedPart{Part: trial.part}]; e != nil {
			t.update(e, func() bool { return raise(&e.Ended, trial.ordinal) })
		}
	}
}

// When a streamed answer proves the parts of its prompt sound.
const (
	// sustainedAnswer is how long an answer has to go on after its first event to show as much as a whole one: a part
	// that crashes upstreams does so when they begin to answer it.
	sustainedAnswer = 2 * time.Second
	// proofInterval is how often an answer that goes on proves that anew.
	proofInterval = 250 * time.Millisecond
)

// NoteAnswering records that the upstream has sent a part of a streamed answer. The first one shows nothing yet:
// what crashes an upstream may come right after it.
func (r *Run) NoteAnswering(now time.Time) {
	switch {
	case r.answeringSince.IsZero():
		r.answeringSince = now
	case now.Sub(r.answeringSince) >= sustainedAnswer && now.Sub(r.provenAt) >= proofInterval:
		r.prove(now)
	}
}

// NoteWhole records that the upstream has sent a whole answer.
func (r *Run) NoteWhole(now time.Time) { r.prove(now) }

// prove records that no part of the prompt crashes what answers it.
func (r *Run) prove(now time.Time) {
	r.provenAt = now
	t := r.table
	prompt := r.request.Prompt()
	if prompt.Service == "" {
		return
	}
	t.answered.note(&prompt, now)
	if !t.watchesParts() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range prompt.Parts {
		t.refute(prompt.Account, prompt.part(id), now)
	}
	t.endPartTrials(r)
}

// refute makes the crashes before a time no longer count against a part, because an answer on it proved it sound then or an
// operator released it. t.mu must be held.
func (t *Table) refute(account string, p Part, now time.Time) {
	if t.needsRefutation(p, now) {
		t.parts.changed = true
		if e := t.partRecord(p); e != nil {
			t.update(e, func() bool {
				e.Answered = now
				return true
			})
		}
	}
	for e := range t.partRecords(account, p) {
		if e.isWatched() {
			t.clearCrashes(e)
		}
	}
}

// needsRefutation reports whether a crash before a time counts against a part, and no instance has reported an answer
// since. Only such an answer is worth reporting.
func (t *Table) needsRefutation(p Part, now time.Time) bool {
	lastCrashAt, present := t.parts.lastPresent[p]
	if !present || lastCrashAt.After(now) {
		return false
	}
	e := t.parts.records[scopedPart{Part: p}]
	return e == nil || e.Answered.Before(lastCrashAt)
}
