package blame

import (
	"fmt"
	"time"
)

// Prompts describes prompts, and which of their parts crash upstreams.
type Prompts struct {
	// CrashingParts is the number of parts that crash an upstream which begins to answer a request with
	// them. Each is in PerSecond requests a second, of which no two are alike, from StartAt on.
	CrashingParts int
	PerSecond     float64
	StartAt       time.Duration
	// HarmlessPerSecond is the number of harmless requests in a second; 0 for harmlessPerSecond for each
	// upstream.
	HarmlessPerSecond int
	// NewPart is a part that most harmless requests have from firstCrashAt on; 0 for none.
	NewPart uint64
}

// Parameters of prompts.
const (
	// systemPart is in all prompts. Besides, each prompt has one of numDocuments documents, some of which are
	// in many prompts.
	systemPart   = 1
	firstDoc     = 100
	numDocuments = 40
	// documentSkew is the exponent of the distribution of documents.
	documentSkew = 0.7
	// firstCrashingPart is the ID of the first crashing part.
	firstCrashingPart = 1000
	// An upstream begins an answer after minBeginTime to maxBeginTime.
	minBeginTime, maxBeginTime = 40 * time.Millisecond, 120 * time.Millisecond
	// lateSentDelay is the time after the fifth crash under a part from which requests with it count as late.
	lateSentDelay  = 2 * time.Second
	allowedCrashes = 5
)

// interval returns the mean time between two harmless requests.
func (p *Prompts) interval(usual time.Duration) time.Duration {
	if p == nil || p.HarmlessPerSecond == 0 {
		return usual
	}
	return time.Second / time.Duration(p.HarmlessPerSecond)
}

// drawParts draws the parts of a prompt.
func (w *simulation) drawParts() []uint64 {
	if w.prompts == nil {
		return nil
	}
	document := 0
	for document < numDocuments-1 && w.rng.Float64() > documentSkew/float64(document+1) {
		document++
	}
	parts := []uint64{systemPart, firstDoc + uint64(document)}
	if w.prompts.NewPart != 0 && w.Now() >= firstCrashAt {
		parts = append(parts, w.prompts.NewPart)
	}
	return parts
}

// sendCrashingParts sends the requests with crashing parts.
func (w *simulation) sendCrashingParts() {
	if w.prompts == nil {
		return
	}
	for n := range w.prompts.CrashingParts {
		w.after(w.prompts.StartAt, func() { w.sendCrashingPart(n, 0) })
	}
}

func (w *simulation) sendCrashingPart(n, sent int) {
	if w.Now() > historyDuration {
		return
	}
	part := uint64(firstCrashingPart + n)
	name := fmt.Sprint("part-", part)
	w.send(&request{
		body: fmt.Sprint(name, "-", sent), crashing: true, cause: name, parts: append(w.drawParts(), part), triesLeft: 1,
	})
	between := time.Duration(float64(time.Second) / w.prompts.PerSecond)
	w.after(between/2+w.drawBelow(between), func() { w.sendCrashingPart(n, sent+1) })
}

// beginAnswer schedules the beginning of an attempt's answer, and returns how long the upstream works in all.
func (w *simulation) beginAnswer(a *attempt, u *upstream, work time.Duration) time.Duration {
	begin := minBeginTime + w.drawBelow(maxBeginTime-minBeginTime)
	incarnation := u.incarnation
	w.after(begin, func() {
		if u.incarnation == incarnation && u.running[a] && w.tables[a.instance] != nil {
			a.run.NoteAnswering(w.clock())
		}
	})
	return begin + work
}

// collectParts derives from the history what became of the parts.
func (w *simulation) collectParts() {
	for name, times := range w.crashTimes {
		if len(times) < allowedCrashes {
			continue
		}
		late := 0
		for _, sent := range w.sentTimes[name] {
			if sent > times[allowedCrashes-1]+lateSentDelay {
				late++
			}
		}
		w.result.MaxLateSent = max(w.result.MaxLateSent, late)
	}
	condemned := map[uint64]bool{}
	for _, table := range w.tables {
		if table == nil {
			continue
		}
		for _, r := range table.All() {
			if r.Part != nil && r.IsCondemned() && r.Part.ID < firstCrashingPart {
				condemned[r.Part.ID] = true
			}
		}
	}
	w.result.PartsCondemned = len(condemned)
}
