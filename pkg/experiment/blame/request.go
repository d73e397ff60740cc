package blame

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
)

// request is one request of a client. The client may send it several times.
type request struct {
	body     string
	crashing bool // whether it crashes the upstream that runs it
	// parts are the shared parts of its prompt; empty for a request without one. cause is the crashing
	// part's name, if it has one.
	parts []uint64
	cause string
	// triesLeft is how many times its client may still send it.
	triesLeft int
	// besideCrash reports whether the request, a harmless one, ran at an upstream that crashed.
	besideCrash bool
}

// Fingerprint implements quarantine.Request.
func (r *request) Fingerprint() fingerprint.Fingerprint {
	return fingerprint.Of("crew", "", fingerprint.Content("POST", "/", []byte(r.body)))
}

// Prompt implements quarantine.Request.
func (r *request) Prompt() quarantine.Prompt {
	return quarantine.Prompt{Account: "crew", Service: "models", Parts: r.parts}
}

// name returns under what the request's crashes are counted.
func (r *request) name() string { return cmp.Or(r.cause, r.body) }

// attempt is one run of a request at an upstream.
type attempt struct {
	request      *request
	instance     int // index of the instance that sends it
	run          quarantine.Run
	attemptsLeft int // attempts that the instance may still make
}

// send has a client send a request to a random instance.
func (w *simulation) send(r *request) {
	r.triesLeft--
	w.sendToUpstream(r, w.rng.IntN(len(w.tables)), maxAttempts)
}

// sendToUpstream has an instance send a request to an upstream; attemptsLeft counts this attempt.
func (w *simulation) sendToUpstream(r *request, instance, attemptsLeft int) {
	a := &attempt{request: r, instance: instance, attemptsLeft: attemptsLeft - 1}
	if table := w.tables[instance]; table != nil {
		run, err := table.Begin(r, w.clock())
		if err != nil {
			w.requestRefused(r, err)
			return
		}
		w.sendRecords(instance)
		a.run = run
	}
	if r.cause != "" {
		w.sentTimes[r.cause] = append(w.sentTimes[r.cause], w.Now())
	}
	u := w.pickUpstream()
	if u == nil {
		w.attemptFailed(a)
		return
	}
	u.running[a] = true
	incarnation := u.incarnation
	work := time.Duration(w.rng.ExpFloat64() * float64(meanRunTime))
	if r.crashing {
		work = 1 + w.drawBelow(maxCrashingRunTime)
	}
	if len(r.parts) > 0 {
		work = w.beginAnswer(a, u, work)
	}
	w.after(work, func() {
		if u.incarnation != incarnation || !u.running[a] {
			return // the upstream crashed while the request ran
		}
		if r.crashing {
			w.crashTimes[r.name()] = append(w.crashTimes[r.name()], w.Now())
			w.crashUpstream(u)
			return
		}
		delete(u.running, a)
		if table := w.tables[instance]; table != nil {
			if len(r.parts) > 0 {
				a.run.NoteWhole(w.clock())
			}
			a.run.NoteAnswer()
			w.sendRecords(instance)
		}
	})
}

// pickUpstream draws two upstreams that are up and returns the less loaded one; nil if none is up.
func (w *simulation) pickUpstream() *upstream {
	var up []*upstream
	for _, u := range w.upstreams {
		if w.Now() >= u.downUntil {
			up = append(up, u)
		}
	}
	if len(up) == 0 {
		return nil
	}
	a, b := up[w.rng.IntN(len(up))], up[w.rng.IntN(len(up))]
	if len(b.running) < len(a.running) {
		return b
	}
	return a
}

// crashUpstream crashes an upstream and fails all attempts that run there.
func (w *simulation) crashUpstream(u *upstream) {
	if w.Now() < u.downUntil {
		return
	}
	lost := u.running
	name := fmt.Sprint(u.name, "-", u.incarnation)
	u.incarnation++
	u.downUntil = w.Now() + restartTime
	u.running = map[*attempt]bool{}
	for _, a := range sortAttempts(lost) {
		if !a.request.crashing && !a.request.besideCrash {
			a.request.besideCrash = true
			w.result.BesideCrash++
		}
		w.judgeCrash(a, name)
	}
}

// judgeCrash makes the instance that sent an attempt record the crash of the attempt's upstream. Once
// the instance has judged the crash, the attempt fails.
func (w *simulation) judgeCrash(a *attempt, upstream string) {
	table := w.tables[a.instance]
	if table == nil {
		w.attemptFailed(a)
		return
	}
	crash := a.run.NoteCrash(quarantine.Origin{Account: "crew"}, quarantine.Upstream{ID: upstream, Address: upstream, Incarnation: upstream}, w.clock())
	w.sendRecords(a.instance)
	wait := time.Duration(0)
	if !crash.IsFirst() {
		wait = quarantine.JudgeDelay
	}
	w.after(wait, func() {
		record := crash.Judge()
		w.sendRecords(a.instance)
		if record.IsCondemned() && !a.request.crashing {
			w.condemnedHarmless[record.Fingerprint] = true
		}
		w.attemptFailed(a)
	})
}

// attemptFailed handles an attempt without an answer: the instance sends the request to another
// upstream or, if it has no attempts left, the client retries.
func (w *simulation) attemptFailed(a *attempt) {
	if a.attemptsLeft > 0 {
		w.sendToUpstream(a.request, a.instance, a.attemptsLeft)
		return
	}
	w.retry(a.request)
}

// requestRefused makes the client retry a request that an instance refused, unless the request is
// condemned.
func (w *simulation) requestRefused(r *request, err error) {
	if errors.Is(err, quarantine.ErrCondemned) {
		r.triesLeft = 0 // the answer tells the client not to retry
	}
	w.retry(r)
}

// retry makes the client send a request again after a pause. A harmless request without tries left
// counts as failed.
func (w *simulation) retry(r *request) {
	if r.triesLeft > 0 {
		w.after(minRetryPause+w.drawBelow(minRetryPause), func() { w.send(r) })
		return
	}
	if !r.crashing {
		w.result.Failed++
	}
}
