// Package blame simulates, in virtual time, fleets whose upstreams crash, and compares policies of
// the quarantine on the same random histories: how many upstreams a crashing request (one that
// crashes the upstream which runs it) brings down, and how many harmless requests are condemned by
// mistake.
package blame

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lavenderring/lavenderring/pkg/emulator"
	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
)

// Parameters of every history.
const (
	// historyDuration is the virtual time in which requests arrive.
	historyDuration = 40 * time.Second
	// harmlessPerSecond is the number of harmless requests that arrive in a second for each
	// upstream; meanRunTime is how long one runs on average.
	harmlessPerSecond = 8
	meanRunTime       = 400 * time.Millisecond
	// sharedBodyShare is the share of harmless requests that have one of numSharedBodies bodies.
	// The others have a body of their own.
	sharedBodyShare = 0.05
	numSharedBodies = 20
	// clientTries is how many times a client sends a request that fails. It pauses for
	// minRetryPause to twice that time before a retry.
	clientTries   = 3
	minRetryPause = 100 * time.Millisecond
	// maxAttempts is the number of upstreams that an instance tries for a request of a client.
	maxAttempts = 2
	// maxCrashingRunTime bounds how long a crashing request runs before its upstream crashes.
	maxCrashingRunTime = 150 * time.Millisecond
	// restartTime is how long a crashed upstream is down.
	restartTime = 2 * time.Second
	// messageLossPercent is the share of messages that are lost. Instances find lost records by
	// comparing their tables, within maxCompareDelay.
	messageLossPercent = 1
	maxCompareDelay    = 400 * time.Millisecond
	// messageDelay is the latency of a message. In a large fleet, records reach an instance over
	// up to four more messages, and hopDelay is the time that each of them adds.
	messageDelay = 5 * time.Millisecond
	hopDelay     = 15 * time.Millisecond
	// maxDirectInstances is the fleet size up to which records are sent directly to all others.
	maxDirectInstances = 7
)

// Scenario describes the causes of crashes in a history.
type Scenario struct {
	Name string
	// CrashingBodies is the number of bodies that crash the upstream which runs them. Each is sent
	// CrashingPerSecond times a second.
	CrashingBodies    int
	CrashingPerSecond float64
	// OtherCrashes schedules crashes of upstreams for other reasons; nil for none.
	OtherCrashes func(w *simulation)
	// Prompts adds prompts with parts to all requests; it is nil for requests without.
	Prompts *Prompts
}

// Size is the size of a fleet.
type Size struct{ Instances, Upstreams int }

// Result holds the outcome of a history.
type Result struct {
	// Harmless is the number of harmless requests; Failed is the number of them that were not
	// served in any of their tries.
	Harmless, Failed int
	// BesideCrash is the number of harmless requests that ran at an upstream that crashed;
	// Condemned is the number of distinct fingerprints condemned among them.
	BesideCrash, Condemned int
	// MaxCrashes is the number of crashes under the crashing body that caused most. LateCrashes is the
	// number of crashes, under all crashing bodies, more than a second after the third of their body.
	MaxCrashes, LateCrashes int
	// MaxLateSent is the number of requests with the crashing part of which most reached upstreams more than
	// lateSentDelay after the fifth crash under it. PartsCondemned is the number of harmless parts condemned.
	MaxLateSent, PartsCondemned int
}

func (r *Result) add(o Result) {
	r.Harmless += o.Harmless
	r.Failed += o.Failed
	r.BesideCrash += o.BesideCrash
	r.Condemned += o.Condemned
	r.MaxCrashes = max(r.MaxCrashes, o.MaxCrashes)
	r.LateCrashes += o.LateCrashes
	r.MaxLateSent = max(r.MaxLateSent, o.MaxLateSent)
	r.PartsCondemned += o.PartsCondemned
}

// simulation is one history.
type simulation struct {
	emulator.Simulator
	rng               *rand.Rand
	tables            []*quarantine.Table
	upstreams         []*upstream
	crashTimes        map[string][]time.Duration
	condemnedHarmless map[fingerprint.Fingerprint]bool
	prompts           *Prompts
	// sentTimes holds, for each crashing part, when requests with it reached upstreams.
	sentTimes map[string][]time.Duration
	result    Result
}

// upstream is one upstream; its incarnation rises with each crash.
type upstream struct {
	name        string
	incarnation int
	downUntil   time.Duration
	running     map[*attempt]bool
}

// Simulate simulates a history under a policy; nil means no quarantine.
func Simulate(size Size, scenario Scenario, policy *quarantine.Policy, seed uint64) Result {
	w := &simulation{
		rng:               rand.New(rand.NewPCG(seed, 3)),
		crashTimes:        map[string][]time.Duration{},
		condemnedHarmless: map[fingerprint.Fingerprint]bool{},
		prompts:           scenario.Prompts,
		sentTimes:         map[string][]time.Duration{},
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
	w.sendHarmless(w.prompts.interval(time.Second / time.Duration(harmlessPerSecond*size.Upstreams)))
	w.sendCrashingParts()
	for n := range scenario.CrashingBodies {
		w.sendCrashing(fmt.Sprint("fatal-", n), time.Duration(float64(time.Second)/scenario.CrashingPerSecond))
	}
	if scenario.OtherCrashes != nil {
		scenario.OtherCrashes(w)
	}
	w.Run()
	w.collectResult()
	return w.result
}

// after schedules an action for a time from now.
func (w *simulation) after(delay time.Duration, action func()) { w.Schedule(w.Now()+delay, action) }

// clock returns the virtual time as the time.Time that tables take.
func (w *simulation) clock() time.Time { return time.Unix(0, 0).Add(w.Now()) }

// drawBelow draws a duration below a bound.
func (w *simulation) drawBelow(bound time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(bound)))
}

// sendHarmless sends a harmless request and schedules the next one; between is the mean time
// between two.
func (w *simulation) sendHarmless(between time.Duration) {
	if w.Now() > historyDuration {
		return
	}
	w.result.Harmless++
	body := fmt.Sprint("sound-", w.result.Harmless)
	if w.rng.Float64() < sharedBodyShare {
		body = fmt.Sprint("hot-", w.rng.IntN(numSharedBodies))
	}
	w.send(&request{body: body, parts: w.drawParts(), triesLeft: clientTries})
	w.after(time.Duration(w.rng.ExpFloat64()*float64(between)), func() { w.sendHarmless(between) })
}

// sendCrashing sends a request with a crashing body and schedules the next one; between is the mean
// time between two.
func (w *simulation) sendCrashing(body string, between time.Duration) {
	if w.Now() > historyDuration {
		return
	}
	w.send(&request{body: body, crashing: true, triesLeft: 1})
	w.after(between/2+w.drawBelow(between), func() { w.sendCrashing(body, between) })
}

// sendRecords sends the pending records of an instance to the others.
func (w *simulation) sendRecords(from int) {
	records := w.tables[from].TakePending()
	if len(records) == 0 {
		return
	}
	for to, table := range w.tables {
		if to == from {
			continue
		}
		wait := messageDelay
		if len(w.tables) > maxDirectInstances {
			wait += w.drawBelow(4 * hopDelay)
		}
		if w.rng.IntN(100) < messageLossPercent {
			wait += w.drawBelow(maxCompareDelay)
		}
		w.after(wait, func() { table.Merge(records, w.clock(), false) })
	}
}

// collectResult derives the result from the crashes and verdicts of the history.
func (w *simulation) collectResult() {
	for _, times := range w.crashTimes {
		w.result.MaxCrashes = max(w.result.MaxCrashes, len(times))
		for n, at := range times {
			if n >= quarantine.CondemnAfter && at-times[quarantine.CondemnAfter-1] > time.Second {
				w.result.LateCrashes++
			}
		}
	}
	w.result.Condemned = len(w.condemnedHarmless)
	w.collectParts()
}
