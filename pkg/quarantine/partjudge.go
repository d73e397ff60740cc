package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
)

// A part of prompts that crashes upstreams is found by the crashes that it explains: those at which a request
// with it was running whose answer had not proved it sound. After an answer does, its earlier crashes no longer
// count, and a crash that a condemned part explains counts against no other part or request.
//
// Each instance derives this from the reports of endings, which all instances exchange, so they need not agree on
// it: one that condemns a part tells the others.

// Bounds on judging parts.
const (
	// minRequests is the number of different requests that condemn a part. Of a single one, the request
	// itself is condemned instead.
	minRequests = 2
	// minSuspectedMoments is the number of crashes that makes a part suspected. After a single one, all parts
	// that were there are alike.
	minSuspectedMoments = 2
	// judgeInterval limits how often the parts are judged anew.
	judgeInterval = 20 * time.Millisecond
)

// partJudge is the state by which parts are judged. It belongs to a Table and is guarded by its mutex.
type partJudge struct {
	crashes map[crashKey]*upstreamCrash
	// records indexes the records of parts.
	records map[scopedPart]*entry
	// condemned holds the condemned parts as of the last run of judgeParts.
	condemned []scopedPart
	// tallies holds the parts that crashes count against, lastPresent when each part was last at a crash.
	tallies     map[Part]*tally
	lastPresent map[Part]time.Time
	// changed reports that crashes or answers were added since the last run, due when the next one is
	// due for a crash that was too young to be judged; zero if there is none.
	changed      bool
	due, lastRun time.Time
}

func newPartJudge() partJudge {
	return partJudge{
		crashes: map[crashKey]*upstreamCrash{}, records: map[scopedPart]*entry{}, tallies: map[Part]*tally{}, lastPresent: map[Part]time.Time{},
	}
}

// tally sums up the crashes that count against one part.
type tally struct {
	// moments counts the crashes, those within JudgeDelay of each other as one.
	// judged counts those of them that are older than JudgeDelay.
	moments, judged uint32
	// first and last are the times of the first and last crash.
	first, last time.Time
	upstream    string
	// reporters maps each reporting instance to the ordinal of the last moment that it reported.
	reporters map[string]uint32
	accounts  map[string]bool
	requests  map[fingerprint.Fingerprint]bool
	// answeredBefore reports that answers had proved the part sound not long before.
	answeredBefore bool
	lastMoment     int
}

// watchesParts reports whether any crash counts against parts, or any part is condemned. It takes no lock.
func (t *Table) watchesParts() bool { return t.numCrashes.Load() > 0 || t.Watching() }

// judgeParts brings the tallies up to date and condemns parts. t.mu must be held.
func (t *Table) judgeParts(now time.Time) {
	s := &t.parts
	isDue := s.changed || (!s.due.IsZero() && !now.Before(s.due))
	if t.policy.Parts == IgnoreParts || !isDue || now.Sub(s.lastRun).Abs() < judgeInterval {
		return
	}
	t.expireCrashes(now)
	s.changed, s.lastRun, s.due = false, now, time.Time{}
	s.condemned = t.listCondemned()
	s.tallies = t.tallyParts(now)
	for p, found := t.findPartToCondemn(now); found && t.condemnPart(p, now); p, found = t.findPartToCondemn(now) {
		s.condemned = t.listCondemned()
		s.tallies = t.tallyParts(now)
	}
	t.clearExplained()
}

// tallyParts counts the crashes at which each part was present and that no other, condemned part explains.
func (t *Table) tallyParts(now time.Time) map[Part]*tally {
	s := &t.parts
	tallies := map[Part]*tally{}
	moment, momentStart := 0, time.Time{}
	for _, k := range s.ordered() {
		c := s.crashes[k]
		if c.at.Sub(momentStart) >= JudgeDelay {
			moment, momentStart = moment+1, c.at
		}
		explaining := t.explainingParts(c)
		for p, answeredBefore := range t.candidates(c) {
			if len(explaining) > 1 || (len(explaining) == 1 && explaining[0] != p) {
				continue
			}
			if tallies[p] == nil {
				tallies[p] = &tally{
					first: c.at, reporters: map[string]uint32{}, accounts: map[string]bool{}, requests: map[fingerprint.Fingerprint]bool{},
				}
			}
			tallies[p].add(c, c.parts[p], moment, answeredBefore, now)
		}
		if judgeAt := c.at.Add(JudgeDelay); judgeAt.After(now) {
			s.due = judgeAt
		}
	}
	return tallies
}

func (y *tally) add(c *upstreamCrash, a *presence, moment int, answeredBefore bool, now time.Time) {
	if moment != y.lastMoment {
		y.lastMoment = moment
		y.moments++
		if now.Sub(c.at) >= JudgeDelay {
			y.judged++
		}
	}
	y.last, y.upstream = c.at, c.upstream
	y.answeredBefore = y.answeredBefore || answeredBefore
	for by := range a.by {
		y.reporters[by.instance] = y.moments
		y.accounts[by.account] = true
		y.requests[by.request] = true
	}
}

// candidates returns the parts that a crash counts against: those without an answer since, and among these those
// without an answer not long before, if there are any. The value reports such an answer.
func (t *Table) candidates(c *upstreamCrash) map[Part]bool {
	unanswered, answered := map[Part]bool{}, map[Part]bool{}
	for p, a := range c.parts {
		last := t.lastAnswer(p)
		switch {
		case !last.Before(c.at):
		case t.policy.Parts >= JudgeByAnswers && (a.answered || c.at.Sub(last) <= answeredLifetime):
			answered[p] = true
		default:
			unanswered[p] = false
		}
	}
	if len(unanswered) > 0 {
		return unanswered
	}
	return answered
}

// lastAnswer returns when an answer last proved a part sound, as far as any instance has reported it.
func (t *Table) lastAnswer(p Part) time.Time {
	last := t.answered.last(p)
	if e := t.parts.records[scopedPart{Part: p}]; e != nil && e.Answered.After(last) {
		last = e.Answered
	}
	return last
}

// explainingParts returns the condemned parts that explain a crash.
func (t *Table) explainingParts(c *upstreamCrash) (parts []Part) {
	for _, condemned := range t.parts.condemned {
		a := c.parts[condemned.Part]
		if a != nil && a.isIn(condemned.Account) && !slices.Contains(parts, condemned.Part) {
			parts = append(parts, condemned.Part)
		}
	}
	return parts
}

// listCondemned returns the condemned parts whose crashes count against no other part.
func (t *Table) listCondemned() (condemned []scopedPart) {
	if t.policy.Parts < JudgeByCover {
		return nil
	}
	for scoped, e := range t.parts.records {
		if t.stateOf(e) == Condemned {
			condemned = append(condemned, scoped)
		}
	}
	return condemned
}

// condemnedRecord returns the record that condemns a part in the requests of an account; nil if there is none.
func (t *Table) condemnedRecord(account string, p Part) *entry {
	for e := range t.partRecords(account, p) {
		if t.stateOf(e) == Condemned {
			return e
		}
	}
	return nil
}

// findPartToCondemn returns the part to condemn next, if any: the one with most crashes against it. Of several that
// explain as many, none is condemned until further crashes tell them apart.
func (t *Table) findPartToCondemn(now time.Time) (part Part, found bool) {
	for _, p := range t.suspectedParts() {
		y := t.parts.tallies[p]
		if !t.hasEnoughEvidence(p, y, now) {
			continue
		}
		if t.policy.Parts >= JudgeByCover && y.judged < CondemnAtMost && t.isTied(p, y) {
			return Part{}, false
		}
		return p, true
	}
	return Part{}, false
}

// suspectedParts returns the parts with crashes that are not condemned yet, those with most crashes first.
func (t *Table) suspectedParts() []Part {
	var parts []Part
	for p, y := range t.parts.tallies {
		if t.condemnedRecord(y.scope(), p) == nil {
			parts = append(parts, p)
		}
	}
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Or(cmp.Compare(t.parts.tallies[b].judged, t.parts.tallies[a].judged), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.ID, b.ID))
	})
	return parts
}

// isTied reports whether another part without an answer not long before explains as many crashes.
func (t *Table) isTied(p Part, y *tally) bool {
	for other, o := range t.parts.tallies {
		if other != p && !o.answeredBefore && o.judged >= y.judged && t.condemnedRecord(o.scope(), other) == nil {
			return true
		}
	}
	return false
}

// hasEnoughEvidence reports whether enough crashes, of different requests, count against a part.
func (t *Table) hasEnoughEvidence(p Part, y *tally, now time.Time) bool {
	if t.policy.Parts < JudgeByCover {
		return y.judged >= CondemnAfter
	}
	return y.judged >= CondemnAfter && len(y.requests) >= minRequests && t.servesOthers(p, y) &&
		y.judged >= t.requiredMoments(p, y, now)
}

// servesOthers reports whether the service answers other requests: a service that answers none may crash under
// any request. For a part that was answered itself, only answers since the first of its crashes show that.
func (t *Table) servesOthers(p Part, y *tally) bool {
	since := y.first
	if !y.answeredBefore {
		since = since.Add(-answeredLifetime)
	}
	return t.answered.lastOfService(service{p.Service, p.Model}).After(since)
}

// requiredMoments returns the number of crashes that condemns a part. It grows with the number of other
// upstreams that crashed lately and that no part explains.
func (t *Table) requiredMoments(p Part, y *tally, now time.Time) uint32 {
	if y.answeredBefore {
		return CondemnAtMost
	}
	others := 0
	for _, c := range t.parts.crashes {
		if c.parts[p] == nil && now.Sub(c.at) <= recentCrashLifetime && len(t.explainingParts(c)) == 0 {
			others++
		}
	}
	return requiredCrashes(others)
}

// scope returns the account in whose requests the part is condemned: a single account that sent it, or
// empty for all.
func (y *tally) scope() string {
	if len(y.accounts) != 1 {
		return ""
	}
	for account := range y.accounts {
		return account
	}
	return ""
}

// condemnPart condemns a part for the accounts under whose requests upstreams crashed. It reports whether this
// instance applies that now: the table may be full. t.mu must be held.
func (t *Table) condemnPart(p Part, now time.Time) bool {
	y := t.parts.tallies[p]
	scoped := scopedPart{Account: y.scope(), Part: p}
	base := uint32(0)
	if e := t.parts.records[scoped]; e != nil {
		base = max(e.lastCrashOrdinal(), e.Cleared)
	}
	verdict := Record{
		Fingerprint: scoped.fingerprint(),
		Account:     scoped.Account,
		Part:        &p,
		Crashes:     map[string]uint32{},
		Verdict:     base + y.moments,
		LastCrash:   y.last,
		Upstream:    y.upstream,
	}
	for instance, ordinal := range y.reporters {
		verdict.Crashes[instance] = base + ordinal
	}
	verdict.trimReporters()
	t.merge(&verdict, now)
	e := t.parts.records[scoped]
	if e == nil || t.stateOf(e) != Condemned {
		return false
	}
	t.onCondemned()
	t.onPartCondemned(PartVerdict{Record: e.clone(), Crashes: y.moments, Since: now.Sub(y.first), Requests: len(y.requests)})
	return true
}

// PartVerdict tells why a part was condemned.
type PartVerdict struct {
	Record Record
	// Crashes is the number of crashes that condemned the part, Since how long ago the first of them was, and
	// Requests the number of different requests with the part.
	Crashes  uint32
	Since    time.Duration
	Requests int
}

// clearExplained clears the requests all of whose crashes condemned parts explain. t.mu must be held.
func (t *Table) clearExplained() {
	explained := map[string]bool{}
	requests := map[fingerprint.Fingerprint]bool{}
	for _, c := range t.parts.crashes {
		if len(t.explainingParts(c)) > 0 {
			explained[c.upstream] = true
			maps.Copy(requests, c.requests)
		}
	}
	for f := range requests {
		e := t.records[f]
		if e == nil || e.ConsecutiveCrashes() == 0 || !isSubset(e.crashedUpstreams, explained) {
			continue
		}
		t.clearCrashes(e)
	}
}

func isSubset(set, of map[string]bool) bool {
	for member := range set {
		if !of[member] {
			return false
		}
	}
	return true
}
