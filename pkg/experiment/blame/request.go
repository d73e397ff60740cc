package blame

import (
	"errors"
	"fmt"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
)

// request is one request of a caller, with all its sendings.
type request struct {
	body  string
	fatal bool
	// tries is how often its caller still sends it.
	tries int
	// beside says that it ran at an upstream that crashed.
	beside bool
}

// Fingerprint implements quarantine.Request.
func (r *request) Fingerprint() fingerprint.Fingerprint {
	return fingerprint.Of("crew", "", fingerprint.Content("POST", "/", []byte(r.body)))
}

// attempt is one run of a request.
type attempt struct {
	request *request
	at      int // the instance
	run     quarantine.Run
	left    int // attempts that its sending still has
}

// send sends a request at any instance.
func (w *world) send(r *request) {
	r.tries--
	w.try(r, w.rng.IntN(len(w.tables)), attempts)
}

// try has an instance send a request to one more upstream.
func (w *world) try(r *request, at, left int) {
	a := &attempt{request: r, at: at, left: left - 1}
	if table := w.tables[at]; table != nil {
		run, err := table.Begin(r, w.clock())
		if err != nil {
			w.refused(r, err)
			return
		}
		w.tell(at)
		a.run = run
	}
	u := w.choose()
	if u == nil {
		w.failed(a)
		return
	}
	u.running[a] = true
	incarnation := u.incarnation
	work := time.Duration(w.rng.ExpFloat64() * float64(workMean))
	if r.fatal {
		work = 1 + w.upTo(fatalWork)
	}
	w.after(work, func() {
		if u.incarnation != incarnation || !u.running[a] {
			return // it crashed with the upstream
		}
		if r.fatal {
			w.fatal[r.body] = append(w.fatal[r.body], w.Now())
			w.crash(u)
			return
		}
		delete(u.running, a)
		if table := w.tables[at]; table != nil {
			a.run.NoteAnswer()
			w.tell(at)
		}
	})
}

// choose returns an upstream that is up, the less loaded of two.
func (w *world) choose() *upstream {
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

// crash ends an upstream and all that runs there.
func (w *world) crash(u *upstream) {
	if w.Now() < u.downUntil {
		return
	}
	victims := u.running
	name := fmt.Sprint(u.name, "-", u.incarnation)
	u.incarnation++
	u.downUntil = w.Now() + downFor
	u.running = map[*attempt]bool{}
	for _, a := range ordered(victims) {
		if !a.request.fatal && !a.request.beside {
			a.request.beside = true
			w.result.Beside++
		}
		w.judge(a, name)
	}
}

// judge has the instance of an attempt note the crash, and goes on once it is judged.
func (w *world) judge(a *attempt, upstream string) {
	table := w.tables[a.at]
	if table == nil {
		w.failed(a)
		return
	}
	crash := a.run.NoteCrash(quarantine.Origin{Account: "crew"}, quarantine.Upstream{ID: upstream, Address: upstream, Incarnation: upstream}, w.clock())
	w.tell(a.at)
	wait := time.Duration(0)
	if !crash.IsFirst() {
		wait = quarantine.JudgeDelay
	}
	w.after(wait, func() {
		record := crash.Judge()
		w.tell(a.at)
		if record.IsCondemned() && !a.request.fatal {
			w.condemned[record.Fingerprint] = true
		}
		w.failed(a)
	})
}

// failed goes on after an attempt that gave no answer.
func (w *world) failed(a *attempt) {
	if a.left > 0 {
		w.try(a.request, a.at, a.left)
		return
	}
	w.sendAgain(a.request)
}

func (w *world) refused(r *request, err error) {
	if errors.Is(err, quarantine.ErrCondemned) {
		r.tries = 0 // its answer says not to come back
	}
	w.sendAgain(r)
}

// sendAgain has the caller send a request again, if it does.
func (w *world) sendAgain(r *request) {
	if r.tries > 0 {
		w.after(callerPause+w.upTo(callerPause), func() { w.send(r) })
		return
	}
	if !r.fatal {
		w.result.Failed++
	}
}
