// Package blame plays fleets whose upstreams crash, in virtual time, and compares policies of the
// quarantine on the same drawn histories: how many upstreams one request ends, and how many sound
// requests are taken for it.
package blame

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lavenderring/lavenderring/pkg/emulator"
	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
)

// Figures of every history.
const (
	// length is its virtual time.
	length = 40 * time.Second
	// soundPerSecond is how many sound requests come for each upstream in a second; workMean is
	// how long one runs on average.
	soundPerSecond = 8
	workMean       = 400 * time.Millisecond
	// hotShare is the part of sound requests that have one of hotBodies bodies.
	hotShare  = 0.05
	hotBodies = 20
	// callerTries is how often a caller sends a request whose sending failed, after callerPause.
	callerTries = 3
	callerPause = 100 * time.Millisecond
	// attempts is how many upstreams one sending may reach.
	attempts = 2
	// fatalWork is how long a fatal request runs at most before its upstream crashes.
	fatalWork = 150 * time.Millisecond
	// downFor is how long a crashed upstream is away.
	downFor = 2 * time.Second
	// lossOf is how many of a hundred messages are lost; what is lost is found by comparing
	// tables within comparedAfter.
	lossOf        = 1
	comparedAfter = 400 * time.Millisecond
	// messageTime is that of one message, hopTime what each further one adds in a large fleet.
	messageTime = 5 * time.Millisecond
	hopTime     = 15 * time.Millisecond
	// directMost is the size up to which all others are told at once.
	directMost = 7
)

// Scenario is what happens in a history.
type Scenario struct {
	Name string
	// Fatal is how many bodies crash what runs them, each sent FatalPerSecond times a second.
	Fatal          int
	FatalPerSecond float64
	// Others has upstreams crash of other causes; nil for none.
	Others func(w *world)
}

// Size is how large a fleet is.
type Size struct{ Instances, Upstreams int }

// Result is what a history showed.
type Result struct {
	// Sound is how many sound requests came, Failed how many of them no sending served.
	Sound, Failed int
	// Beside is how many sound requests ran at upstreams that crashed, Condemned how many of
	// them were condemned.
	Beside, Condemned int
	// MostCrashes is how many upstreams the worst fatal request ended, Late how many of all ended
	// more than a second after its third.
	MostCrashes, Late int
}

func (r *Result) add(o Result) {
	r.Sound += o.Sound
	r.Failed += o.Failed
	r.Beside += o.Beside
	r.Condemned += o.Condemned
	r.MostCrashes = max(r.MostCrashes, o.MostCrashes)
	r.Late += o.Late
}

// world is one history.
type world struct {
	emulator.Simulator
	rng       *rand.Rand
	tables    []*quarantine.Table
	upstreams []*upstream
	fatal     map[string][]time.Duration
	condemned map[fingerprint.Fingerprint]bool
	result    Result
}

// upstream is one upstream; its incarnation rises with each crash.
type upstream struct {
	name        string
	incarnation int
	downUntil   time.Duration
	running     map[*attempt]bool
}

// Play plays a history with a policy; nil for no quarantine at all.
func Play(size Size, scenario Scenario, policy *quarantine.Policy, seed uint64) Result {
	w := &world{
		rng:       rand.New(rand.NewPCG(seed, 3)),
		fatal:     map[string][]time.Duration{},
		condemned: map[fingerprint.Fingerprint]bool{},
	}
	for n := range size.Instances {
		if policy != nil {
			w.tables = append(w.tables, quarantine.NewPolicyTable(fmt.Sprint("i", n), *policy, nil))
		} else {
			w.tables = append(w.tables, nil)
		}
	}
	for n := range size.Upstreams {
		w.upstreams = append(w.upstreams, &upstream{name: fmt.Sprint("u", n), running: map[*attempt]bool{}})
	}
	w.sendSound(time.Second / time.Duration(soundPerSecond*size.Upstreams))
	for n := range scenario.Fatal {
		w.sendFatal(fmt.Sprint("fatal-", n), time.Duration(float64(time.Second)/scenario.FatalPerSecond))
	}
	if scenario.Others != nil {
		scenario.Others(w)
	}
	w.Run()
	w.count()
	return w.result
}

func (w *world) after(wait time.Duration, what func()) { w.Schedule(w.Now()+wait, what) }

// clock is the time as tables see it.
func (w *world) clock() time.Time { return time.Unix(0, 0).Add(w.Now()) }

// upTo draws a time below a bound.
func (w *world) upTo(bound time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(bound)))
}

// sendSound has sound requests come with a mean time between them.
func (w *world) sendSound(between time.Duration) {
	if w.Now() > length {
		return
	}
	w.result.Sound++
	body := fmt.Sprint("sound-", w.result.Sound)
	if w.rng.Float64() < hotShare {
		body = fmt.Sprint("hot-", w.rng.IntN(hotBodies))
	}
	w.send(&request{body: body, tries: callerTries})
	w.after(time.Duration(w.rng.ExpFloat64()*float64(between)), func() { w.sendSound(between) })
}

// sendFatal has one fatal request come again and again.
func (w *world) sendFatal(body string, between time.Duration) {
	if w.Now() > length {
		return
	}
	w.send(&request{body: body, fatal: true, tries: 1})
	w.after(between/2+w.upTo(between), func() { w.sendFatal(body, between) })
}

// tell has the other instances learn what an instance has just learned.
func (w *world) tell(from int) {
	records := w.tables[from].TakePending()
	if len(records) == 0 {
		return
	}
	for to, table := range w.tables {
		if to == from {
			continue
		}
		wait := messageTime
		if len(w.tables) > directMost {
			wait += w.upTo(4 * hopTime)
		}
		if w.rng.IntN(100) < lossOf {
			wait += w.upTo(comparedAfter)
		}
		w.after(wait, func() { table.Merge(records, w.clock(), false) })
	}
}

// count takes the results from what happened.
func (w *world) count() {
	for _, times := range w.fatal {
		w.result.MostCrashes = max(w.result.MostCrashes, len(times))
		for n, at := range times {
			if n >= quarantine.CondemnAfter && at-times[quarantine.CondemnAfter-1] > time.Second {
				w.result.Late++
			}
		}
	}
	w.result.Condemned = len(w.condemned)
}
