package test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/standin/relay"
	"github.com/lavenderring/lavenderring/platform"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// Parameters of the silences. Clients wait much longer than an answer and a silence take.
const (
	silentClients = 48
	// silentRounds is the number of requests of each client. The silence strikes in the first.
	silentRounds = 2
	// brieflySilent is how long upstreams are silent, frozenDuration how long an instance is frozen and
	// setUpDelay how long connections take to be set up.
	brieflySilent, frozenDuration, setUpDelay = 1500 * time.Millisecond, 1200 * time.Millisecond, time.Second
	// slowEventInterval is the time between two events of a stream, plainDuration how long a plain request
	// takes, longPlainDuration how long one takes that is longer than the failover fraction of a timeout of 3 s.
	slowEventInterval, plainDuration, longPlainDuration = 117 * time.Millisecond, 500 * time.Millisecond, time.Second
	// silentStreamTimeout and silentPlainTimeout are the timeouts of the routes. The timeout of a plain
	// route is such that its failover fraction is shorter than the silence.
	silentStreamTimeout, silentPlainTimeout = 10 * time.Second, 4500 * time.Millisecond
	// configInterval is the time between two changes of the configuration.
	configInterval = 150 * time.Millisecond
	// fewRetries is a bound on retries that is used up at once, manyRetries one that is never used up.
	fewRetries, manyRetries = 1, 1000
)

// silentFleet is a routed fleet with a relay in front of each upstream.
type silentFleet struct {
	*routedFleet
	plainRelays, engineRelays []*relay.Relay
}

// newSilentFleet starts a fleet whose requests need no key.
func newSilentFleet(t *testing.T, retryExtra int, timeout, grace time.Duration) *silentFleet {
	t.Helper()
	f := &silentFleet{routedFleet: newRoutedFleet(t, 0, 0)}
	f.withoutKeys, f.retryExtra, f.timeout, f.grace = true, retryExtra, timeout, grace
	f.writeConfig()
	for n := range f.plainUpstreams {
		f.plainRelays = append(f.plainRelays, f.startProxy(f.plainUpstreams[n], "jobs", n))
		f.engineRelays = append(f.engineRelays, f.startProxy(f.engines[n], "models", n))
	}
	f.slowDown(plainDuration)
	for n := range 3 {
		f.instances = append(f.instances, f.startInstance(n))
	}
	for _, i := range f.instances {
		f.await("the instance to be ready", func() bool { return i.isReady() })
	}
	return f
}

// slowDown sets how long the upstreams take for their answers.
func (f *routedFleet) slowDown(plain time.Duration) {
	f.setFaults(f.plainUpstreams, standin.UpstreamFaults{Delay: plain})
	f.setFaults(f.engines, standin.UpstreamFaults{Delay: slowEventInterval})
}

// relaysOf returns the relays in front of the upstreams of a route's service.
func (f *silentFleet) relaysOf(route string) []*relay.Relay {
	if route == "stream" || route == "resumable" {
		return f.engineRelays
	}
	return f.plainRelays
}

// setRelays sets the faults of relays.
func setRelays(relays []*relay.Relay, faults relay.Faults) {
	for _, r := range relays {
		r.SetFaults(faults)
	}
}

// numWork returns how many requests run or ran and how many events were sent.
func (f *routedFleet) numWork() (runs, events int) {
	for _, u := range append(append([]*standin.Upstream{}, f.plainUpstreams...), f.engines...) {
		for _, run := range u.Runs() {
			runs++
			events += run.Events
		}
	}
	return runs, events
}

// serveBeside sends requests of the routes from all clients at once, while disturb runs and the configuration
// is written every configInterval. It returns all requests with their answers once disturb has returned.
func (f *routedFleet) serveBeside(routes []string, disturb func()) []sentRequest {
	f.t.Helper()
	sent := make([]sentRequest, silentClients*silentRounds)
	var running sync.WaitGroup
	var numRunning atomic.Int64
	spawn := func(work func()) {
		numRunning.Add(1)
		running.Go(func() {
			defer numRunning.Add(-1)
			work()
		})
	}
	spawn(disturb)
	for c := range silentClients {
		spawn(func() {
			for n := range silentRounds {
				id, route := fmt.Sprintf("c%d-%d", c, n), routes[c%len(routes)]
				req := f.newRequest(f.instances[c%len(f.instances)], id, route, "body of "+id)
				req.Header.Set(platform.UpstreamHeaders.Deadline, fmt.Sprint(silentStreamTimeout.Milliseconds()))
				sent[c*silentRounds+n] = sentRequest{id, route, roundTrip(req)}
			}
		})
	}
	for numRunning.Load() > 0 {
		f.writeConfig()
		time.Sleep(configInterval)
	}
	running.Wait()
	return sent
}

// checkKept checks that each request got its own whole answer, or a refusal and did not run, and that none ran
// more often than it may.
func (f *routedFleet) checkKept(sent []sentRequest) {
	f.t.Helper()
	counts := map[string]int{}
	for _, r := range sent {
		runs := len(f.runsOf(r.id))
		counts[r.outcome()]++
		refused := r.answer.err == nil && isNotRun(r.answer.status)
		switch {
		case refused && runs > 0:
			f.t.Errorf("%s (%s) was answered %d, which means not run, and ran %d times", r.id, r.route, r.answer.status, runs)
		case !refused && !r.isWhole():
			f.t.Errorf("%s (%s), which ran %d times, got %s: %q", r.id, r.route, runs, r.outcome(), r.answer.body)
		}
		most := 2
		if r.route == "once" || r.route == "stream" {
			most = 1
		}
		if runs > most {
			f.t.Errorf("%s (%s) ran %d times, allowed are %d", r.id, r.route, runs, most)
		}
	}
	f.t.Logf("%d requests: %v", len(sent), counts)
}

// isNotRun reports whether a status states that a request has not run and never will.
func isNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// outcome describes the answer.
func (r sentRequest) outcome() string {
	if r.answer.err != nil {
		return fmt.Sprintf("%d, ended: %v", r.answer.status, r.answer.err)
	}
	return fmt.Sprint(r.answer.status)
}

// isWhole reports whether the answer is the request's own and whole one.
func (r sentRequest) isWhole() bool {
	a := r.answer
	if a.err != nil || a.status != http.StatusOK || a.header.Get(platform.UpstreamHeaders.RequestID) != r.id || a.header.Get(platform.UpstreamHeaders.Seal) == "" {
		return false
	}
	if r.route == "stream" || r.route == "resumable" {
		return a.body == streamBody(1, streamEvents)
	}
	return strings.HasPrefix(a.body, "answer of p") && strings.HasSuffix(strings.TrimRight(a.body, " "), " to "+r.id)
}

// awaitWork waits until half of the clients' requests run, and so many events have been sent.
func (f *routedFleet) awaitWork(events int) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if runs, sent := f.numWork(); runs >= silentClients/2 && sent >= events {
			return
		}
	}
	f.t.Error("half of the requests never ran at once")
}

// silenceMoment is when the upstreams fall silent.
type silenceMoment string

// Moments of the silence.
const (
	// beforeHead is before any request has reached an upstream.
	beforeHead silenceMoment = "before the head"
	// whileRunning is while requests run, most of which have no head.
	whileRunning silenceMoment = "while requests run"
	// withinBody is after the head and a part of the body.
	withinBody silenceMoment = "within the body"
)

const (
	// passedBytes is how much of a plain answer passes before a silence within its body: its head and a
	// part of the padding of paddingBytes.
	passedBytes, paddingBytes = 1500, 4000
	// passedEventBytes is how much of an event of a stream passes before a silence within it.
	passedEventBytes = 10
)

// silence makes the relays of a route's upstreams silent once at the given moment, and returns when the silence
// is over.
func (f *silentFleet) silence(relays []*relay.Relay, route string, moment silenceMoment) {
	f.t.Helper()
	faults := relay.Faults{Pause: true}
	switch {
	case moment == whileRunning:
		f.awaitWork(0)
	case moment == withinBody && route == "resumable":
		f.awaitWork(2 * silentClients)
		faults.PassBytes = passedEventBytes
	case moment == withinBody:
		f.awaitWork(0)
		faults.PassBytes = passedBytes
	}
	setRelays(relays, faults)
	time.Sleep(brieflySilent)
	setRelays(relays, relay.Faults{})
}

// Guards against answers in progress that are ended because their upstreams are silent for a moment, while no
// retry is granted or while many are.
func TestBrieflySilentUpstreamsEndNoRequest(t *testing.T) {
	cases := []struct {
		route       string
		moment      silenceMoment
		numSilent   int
		retryExtra  int
		timeout     time.Duration
		description string
	}{
		{"resumable", whileRunning, 3, fewRetries, silentStreamTimeout, "all"},
		{"resumable", whileRunning, 3, manyRetries, silentStreamTimeout, "all"},
		{"resumable", whileRunning, 1, fewRetries, silentStreamTimeout, "one"},
		{"resumable", whileRunning, 1, manyRetries, silentStreamTimeout, "one"},
		{"resumable", beforeHead, 3, fewRetries, silentStreamTimeout, "all"},
		{"resumable", beforeHead, 3, manyRetries, silentStreamTimeout, "all"},
		{"resumable", withinBody, 3, fewRetries, silentStreamTimeout, "all"},
		{"resumable", withinBody, 3, manyRetries, silentStreamTimeout, "all"},
		{"safe", whileRunning, 3, fewRetries, silentPlainTimeout, "all"},
		{"safe", whileRunning, 3, manyRetries, silentPlainTimeout, "all"},
		{"safe", whileRunning, 1, fewRetries, silentPlainTimeout, "one"},
		{"safe", whileRunning, 1, manyRetries, silentPlainTimeout, "one"},
		{"safe", beforeHead, 3, fewRetries, silentPlainTimeout, "all"},
		{"safe", withinBody, 3, fewRetries, silentPlainTimeout, "all"},
		{"safe", withinBody, 3, manyRetries, silentPlainTimeout, "all"},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s %s of %s, %d retries", c.route, c.moment, c.description, c.retryExtra), func(t *testing.T) {
			f := newSilentFleet(t, c.retryExtra, c.timeout, gracePeriod)
			if c.moment == withinBody {
				f.setFaults(f.plainUpstreams, standin.UpstreamFaults{Delay: plainDuration, PaddingBytes: paddingBytes})
			}
			silent := f.relaysOf(c.route)[:c.numSilent]
			if c.moment == beforeHead {
				setRelays(silent, relay.Faults{Pause: true})
			}
			f.checkKept(f.serveBeside([]string{c.route}, func() { f.silence(silent, c.route, c.moment) }))
		})
	}
}

// Guards against requests of one kind that are ended by what a silence costs those of other kinds, and against
// second runs of those that may run once.
func TestBrieflySilentUpstreamsEndNoRequestOfAnyKind(t *testing.T) {
	for _, retryExtra := range []int{fewRetries, manyRetries} {
		t.Run(fmt.Sprint(retryExtra, " retries"), func(t *testing.T) {
			f := newSilentFleet(t, retryExtra, silentPlainTimeout, gracePeriod)
			all := append(append([]*relay.Relay{}, f.plainRelays...), f.engineRelays...)
			f.checkKept(f.serveBeside(requestKinds, func() { f.silence(all, "", whileRunning) }))
		})
	}
}

// Guards against sound answers that are ended because they take longer than a part of their route's timeout.
func TestLongPlainRequestsAreAnswered(t *testing.T) {
	for _, retryExtra := range []int{fewRetries, manyRetries} {
		t.Run(fmt.Sprint(retryExtra, " retries"), func(t *testing.T) {
			f := newSilentFleet(t, retryExtra, routeTimeout, gracePeriod)
			f.slowDown(longPlainDuration)
			f.checkKept(f.serveBeside([]string{"safe"}, func() {}))
		})
	}
}

// Guards against requests that are ended because an instance stood still for a moment, at that instance and at
// the others.
func TestFrozenInstanceEndsNoRequest(t *testing.T) {
	for _, retryExtra := range []int{fewRetries, manyRetries} {
		t.Run(fmt.Sprint(retryExtra, " retries"), func(t *testing.T) {
			f := newSilentFleet(t, retryExtra, silentPlainTimeout, gracePeriod)
			f.checkKept(f.serveBeside(requestKinds, func() {
				f.awaitWork(0)
				f.instances[0].signal(syscall.SIGSTOP)
				time.Sleep(frozenDuration)
				f.instances[0].signal(syscall.SIGCONT)
			}))
		})
	}
}

// Guards against requests that end without an answer or a true refusal because connections to upstreams take a
// second to be set up.
func TestSlowConnectionsEndNoRequest(t *testing.T) {
	for _, numSlow := range []int{1, 3} {
		t.Run(fmt.Sprint(numSlow, " of 3 instances"), func(t *testing.T) {
			f := newLinkedFleet(t, 3)
			f.slowDown(plainDuration)
			setAll := func(state linkState) {
				for _, l := range f.links[:numSlow] {
					l.set(state)
				}
			}
			setAll(linksSettingUp)
			f.checkKept(f.serveBeside(requestKinds, func() {
				time.Sleep(setUpDelay)
				setAll(linksUp)
			}))
			for n, i := range f.instances {
				for _, route := range requestKinds {
					attempt := 0
					f.await("the instance to serve again", func() bool {
						attempt++
						return f.send(i, fmt.Sprintf("after-%d-%s-%d", n, route, attempt), route, "x").status == http.StatusOK
					})
				}
			}
		})
	}
}
