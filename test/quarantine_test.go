package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
	"github.com/lavenderring/lavenderring/pkg/quarantine/keeper"
	"github.com/lavenderring/lavenderring/pkg/standin/relay"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// Figures of a fleet whose upstreams crash.
const (
	fatalBody = "ends what runs it"
	// downFor is how long a crashed upstream is away, backAtOnce how long one whose supervisor
	// starts it again before a refused connection shows the crash.
	downFor    = 300 * time.Millisecond
	backAtOnce = 10 * time.Millisecond
	// ownSendings is how often one caller sends it through the own door.
	ownSendings = 15
	// betweenSendings is the pause of a caller that sends the same request again and again.
	betweenSendings = 100 * time.Millisecond
	// mostCrashes is how many upstreams a request may end: three until it is known, and three
	// that are allowed later.
	mostCrashes = 6
)

// crashes counts the upstreams that each request ended, by its body.
type crashes struct {
	mu     sync.Mutex
	bodies map[string]int
}

func (c *crashes) note(body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodies[body]++
}

func (c *crashes) of(body string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bodies[body]
}

// armUpstreams has the upstreams crash on fatal bodies and start again.
func (f *routed) armUpstreams() *crashes {
	c := &crashes{bodies: map[string]int{}}
	for n, u := range f.plain {
		f.arm(u, "jobs", n, c)
	}
	for n, u := range f.engines {
		f.arm(u, "models", n, c)
	}
	return c
}

func (f *routed) arm(u *standin.Upstream, service string, domain int, c *crashes) {
	u.SetFaults(standin.UpstreamFaults{Fatal: fatalBody})
	u.OnCrash = func(run standin.Run) {
		c.note(run.Body)
		if pause.For(f.t.Context(), f.downFor) {
			f.startAgain(u, service, domain, c)
		}
	}
}

// startAgain starts an upstream's next incarnation; a test that has ended needs none.
func (f *routed) startAgain(old *standin.Upstream, service string, domain int, c *crashes) {
	next, err := standin.StartUpstream(old.ID, old.Address, old.Events)
	if err != nil {
		f.t.Errorf("upstream %s: %v", old.ID, err)
		return
	}
	f.t.Cleanup(next.Close)
	next.Born, next.Advertised = time.Now().UnixMilli(), old.Advertised
	f.arm(next, service, domain, c)
	f.enter(next, service, domain)
}

// Guards against a request that ends every upstream that runs it, and that its caller sends
// again and again at any instance, for good.
func TestRequestThatCrashesUpstreamsIsSentOnAFewTimesOnly(t *testing.T) {
	sendThroughRouter(newRouted(t, 3, 1_000_000), mostCrashes)
}

// sendThroughRouter sends a fatal request of each kind again and again.
func sendThroughRouter(f *routed, most int) {
	f.t.Helper()
	defer f.explainQuarantine()
	crashed := f.armUpstreams()
	for _, route := range []string{"safe", "once", "stream", "resumable"} {
		body := fatalBody + " on " + route
		var last sending
		for n := range 20 {
			last = f.send(f.instances[n%len(f.instances)], fmt.Sprintf("%s-%d", route, n), route, body)
			time.Sleep(betweenSendings)
		}
		if n := crashed.of(body); n == 0 || n > most {
			f.t.Errorf("%s: %d upstreams ended", route, n)
		}
		if last.status != http.StatusServiceUnavailable || last.retryAfter != "" {
			f.t.Errorf("%s: the last sending got %d, to come back after %q", route, last.status, last.retryAfter)
		}
		sound := f.send(f.instances[0], "sound-"+route, route, "sound")
		if sound.status != http.StatusOK {
			f.t.Errorf("%s: a sound request got %d", route, sound.status)
		}
	}
}

// Guards against crashes that are not counted where the upstream's address takes connections all the
// while: only its next incarnation tells of them.
func TestCrashIsKnownByTheNextIncarnation(t *testing.T) {
	t.Run("router", func(t *testing.T) {
		f := newRouted(t, 7, 1_000_000)
		f.downFor = backAtOnce
		f.putProxies()
		sendThroughRouter(f, quarantine.CondemnAtMost)
	})
	t.Run("own door", func(t *testing.T) {
		o := options{instances: 7, engines: 3, services: 3, prepaid: 1_000_000, viaProxies: true}
		sendThroughOwnDoor(t, o, backAtOnce, quarantine.CondemnAtMost)
	})
}

// explained are the events that tell how each instance came to its quarantine.
var explained = []eventlog.Number{
	eventlog.RequestBrokeOff, eventlog.RequestSuspected, eventlog.RequestCleared, eventlog.QuarantineLearned,
	eventlog.QuarantineFault, eventlog.MemberJoined, eventlog.MemberSilent, eventlog.MemberLeft,
	eventlog.MembersUnknown, eventlog.InstanceReady,
}

// explainQuarantine prints, if the test has failed, what each instance knows and how it came to it.
func (f *routed) explainQuarantine() {
	if !f.t.Failed() {
		return
	}
	for _, i := range f.instances {
		f.t.Logf("%s knows %+v", i.settings, f.watched(i))
		log, err := os.ReadFile(i.settings + ".log")
		f.must(err)
		for line := range strings.Lines(string(log)) {
			if slices.ContainsFunc(explained, func(c eventlog.Number) bool { return strings.Contains(line, fmt.Sprintf(`"event":%d,`, c)) }) {
				f.t.Log(strings.TrimSpace(line))
			}
		}
	}
}

// putProxies puts a relay before each upstream, which takes connections also while the process behind
// it is away.
func (f *routed) putProxies() {
	f.t.Helper()
	for n, u := range f.plain {
		f.putProxy(u, "jobs", n)
	}
	for n, u := range f.engines {
		f.putProxy(u, "models", n)
	}
}

func (f *routed) putProxy(u *standin.Upstream, service string, domain int) {
	f.t.Helper()
	u.Advertised = freeAddress()
	proxy, err := relay.Start(u.Advertised, "", u.Address)
	f.must(err)
	f.t.Cleanup(proxy.Close)
	f.enter(u, service, domain)
}

// enter writes an upstream's entry over the one that stands.
func (f *routed) enter(u *standin.Upstream, service string, domain int) {
	f.t.Helper()
	present, err := f.client.Get(f.t.Context(), "servers/"+u.ID)
	if err == nil {
		_, err = f.client.Put(f.t.Context(), "servers/"+u.ID, u.Entry(service, domainOf(domain), false), present.Position)
	}
	if err != nil && f.t.Context().Err() == nil {
		f.t.Errorf("entry of %s: %v", u.ID, err)
	}
}

// condemn sends a body to one instance after the other until it is refused for good.
func (f *routed) condemn(route, body string) {
	f.t.Helper()
	f.awaitRouted("refused for good", func() bool {
		for n, i := range f.instances {
			a := f.send(i, fmt.Sprintf("c-%d-%d", n, time.Now().UnixNano()), route, body)
			if a.status != http.StatusServiceUnavailable || a.retryAfter != "" {
				return false
			}
		}
		return true
	})
}

// quarantineCommand runs the operators' command at an instance and returns what it prints.
func quarantineCommand(i *routedInstance, args ...string) (string, error) {
	all := append([]string{"quarantine", "--admin", i.admin}, args...)
	out, err := exec.Command(filepath.Join(binaries, "lavenderring"), all...).CombinedOutput()
	return string(out), err
}

// watched returns the requests that an instance suspects or does not run.
func (f *routed) watched(i *routedInstance) []keeper.View {
	f.t.Helper()
	out, err := quarantineCommand(i, "--json", "list")
	if err != nil {
		f.t.Fatalf("%v: %s", err, out)
	}
	var views []keeper.View
	f.must(json.Unmarshal([]byte(out), &views))
	return views
}

func (f *routed) awaitVerdict() {
	f.t.Helper()
	f.awaitRouted("stored verdict", func() bool {
		_, err := f.client.Get(f.t.Context(), "quarantine/verdicts")
		return err == nil
	})
}

// Guards against a request that ends upstreams again once all instances were lost, with what they
// knew, or after the store has gone back to before the verdict as well.
func TestCondemnedRequestStaysSoAfterALossOfAll(t *testing.T) {
	f := newRouted(t, 3, 1_000_000)
	crashed := f.armUpstreams()
	f.condemn("safe", fatalBody)
	f.awaitVerdict()
	f.store.RollBack(standin.Rollback{OutageMillis: 100, CopyAgeMillis: time.Since(time.Unix(0, 0)).Milliseconds()})
	f.writeAgain()
	f.awaitVerdict()
	before := crashed.of(fatalBody)
	for _, i := range f.instances {
		i.kill()
	}
	for _, i := range f.instances {
		i.process = f.run(i)
	}
	for _, i := range f.instances {
		f.awaitRouted("ready", func() bool { return i.isReady() })
	}
	// An instance is bound once it has been in touch for some seconds.
	f.awaitRouted("known again", func() bool {
		for _, i := range f.instances {
			if views := f.watched(i); len(views) != 1 || views[0].State != quarantine.Condemned {
				return false
			}
		}
		return true
	})
	for n := range 9 {
		f.send(f.instances[n%3], fmt.Sprintf("again-%d", n), "safe", fatalBody)
	}
	if after := crashed.of(fatalBody); after != before {
		t.Errorf("%d upstreams ended before, %d after", before, after)
	}
}

// Guards against an instance that starts alone among others, knows nothing and sends a condemned
// request on.
func TestStartingInstanceKnowsWhatIsCondemned(t *testing.T) {
	f := newRouted(t, 2, 1_000_000)
	crashed := f.armUpstreams()
	f.condemn("once", fatalBody)
	before := crashed.of(fatalBody)
	i := f.instances[0]
	i.kill()
	i.process = f.run(i)
	f.awaitRouted("ready", func() bool { return i.isReady() })
	for n := range 5 {
		f.send(i, fmt.Sprintf("again-%d", n), "once", fatalBody)
	}
	if after := crashed.of(fatalBody); after != before {
		t.Errorf("%d upstreams ended before, %d after", before, after)
	}
}

// Guards against innocent requests that are refused because they ran beside a fatal one, or
// because the same upstreams were restarted under them.
func TestRequestsBesideAFatalOneAreServedAgain(t *testing.T) {
	f := newRouted(t, 2, 1_000_000)
	f.armUpstreams()
	for n := range 12 {
		var beside sync.WaitGroup
		beside.Go(func() { f.send(f.instances[n%2], fmt.Sprintf("fatal-%d", n), "safe", fatalBody) })
		beside.Go(func() { f.send(f.instances[1-n%2], fmt.Sprintf("beside-%d", n), "safe", "beside") })
		beside.Wait()
	}
	for n, i := range f.instances {
		f.awaitRouted("served", func() bool {
			return f.send(i, fmt.Sprintf("after-%d-%d", n, time.Now().UnixNano()), "safe", "beside").status == http.StatusOK
		})
	}
}

// Guards against a released request that an instance or the store keeps refusing.
func TestReleasedRequestRunsAtAllInstances(t *testing.T) {
	f := newRouted(t, 2, 1_000_000)
	f.armUpstreams()
	f.condemn("safe", fatalBody)
	id := f.watched(f.instances[0])[0].ID
	if out, err := quarantineCommand(f.instances[0], "show", id); err != nil || !strings.Contains(out, "condemned") {
		t.Errorf("show: %v: %s", err, out)
	}
	if out, err := quarantineCommand(f.instances[0], "release", id); err != nil {
		t.Errorf("release: %v: %s", err, out)
	}
	for _, i := range f.instances {
		f.awaitRouted("nothing watched", func() bool { return len(f.watched(i)) == 0 })
	}
	if out, err := quarantineCommand(f.instances[0], "release", id); err == nil {
		t.Errorf("a second release is done: %s", out)
	}
}

// Guards against a request that ends every upstream that runs it through the own door: plain
// services, requests that may not be repeated, and streams of engines.
func TestOwnDoorSendsAFatalRequestAFewTimesOnly(t *testing.T) {
	sendThroughOwnDoor(t, options{instances: 3, engines: 2, services: 2, prepaid: 1_000_000}, downFor, mostCrashes)
}

// sendThroughOwnDoor sends a fatal request of each kind again and again through the own doors of a
// fleet whose upstreams are away for a time after each crash.
func sendThroughOwnDoor(t *testing.T, o options, downFor time.Duration, most int64) {
	t.Helper()
	f := newFleet(t, o)
	s := &supervisor{downFor: downFor}
	supervise(f, s, f.services, "plain")
	supervise(f, s, f.engines, "engine")
	t.Cleanup(s.running.Wait)
	sendings := map[string]func(n int) answer{
		"idempotent": func(n int) answer {
			return call(f.instances[n%o.instances].address, crewKey, http.MethodPost, "/services/jobs/x", "", []byte(fatalBody))
		},
		"once, with a key each": func(n int) answer {
			return assign(f.instances[n%o.instances].address, fmt.Sprint("key-", n), fatalBody)
		},
		"stream": func(n int) answer { return ask(f.instances[n%o.instances].address, crewKey, true, 20, fatalBody) },
	}
	for name, send := range sendings {
		var last answer
		before := s.crashes.Load()
		for n := range ownSendings {
			last = send(n)
			time.Sleep(betweenSendings)
		}
		if ended := s.crashes.Load() - before; ended == 0 || ended > most {
			t.Errorf("%s: %d upstreams ended", name, ended)
		}
		if last.status != http.StatusUnprocessableEntity || !last.refusedUnrun() || last.problem.Title != "request-quarantined" {
			t.Errorf("%s: the last sending got %d %s", name, last.status, last.body)
		}
	}
}

// supervisor starts upstreams again that ended, and counts that.
type supervisor struct {
	downFor time.Duration
	crashes atomic.Int64
	running sync.WaitGroup
}

// supervise takes the place of upstreams that the fleet has started, until the test ends.
func supervise(f *fleet, s *supervisor, upstreams []*process, kind string) {
	for _, u := range upstreams {
		u.kill()
		s.running.Go(func() { s.keep(f.t, kind, u.behind) })
		f.awaitListening(u.behind)
	}
}

func (s *supervisor) keep(t testing.TB, kind, address string) {
	for t.Context().Err() == nil {
		cmd := exec.CommandContext(t.Context(), filepath.Join(binaries, "standin"), kind, "--listen", address, "--fatal", fatalBody)
		if cmd.Run() != nil && t.Context().Err() == nil {
			s.crashes.Add(1)
		}
		if !pause.For(t.Context(), s.downFor) {
			return
		}
	}
}
