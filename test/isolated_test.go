package test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/router"
	"github.com/lavenderring/lavenderring/pkg/settings"
	"github.com/lavenderring/lavenderring/platform"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// linkedFleet is a fleet whose instances run in the test's process, each with links to the upstreams that
// can be cut.
type linkedFleet struct {
	*routedFleet
	links []*upstreamLinks
	// stops stop the instances and wait for their end.
	stops []func()
}

// newLinkedFleet starts instances that serve requests without keys.
func newLinkedFleet(t *testing.T, instances int) *linkedFleet {
	t.Helper()
	f := &linkedFleet{routedFleet: newRoutedFleet(t, 0, 0)}
	f.withoutKeys = true
	f.writeConfig()
	f.startAll(instances)
	return f
}

// startAll starts instances and waits until they know each other.
func (f *linkedFleet) startAll(instances int) {
	f.t.Helper()
	for n := range instances {
		f.startLinked(n)
	}
	for _, i := range f.instances {
		f.await("the instance to be ready", func() bool { return i.isReady() })
	}
	f.await("the instances to know each other", func() bool {
		for _, i := range f.instances {
			if f.metric(i, "members_live") != fmt.Sprint(instances) {
				return false
			}
		}
		return true
	})
}

// startLinked runs an instance that reaches the upstreams over its own links.
func (f *linkedFleet) startLinked(n int) {
	links := newUpstreamLinks()
	i := &routedInstance{clientAddress: freeAddress(), readyAddress: freeAddress(), peerAddress: freeAddress(), adminAddress: freeAddress()}
	text := f.settingsText(n, i)
	if n > 0 {
		text += fmt.Sprintf("seeds = [%q]\n", f.instances[0].peerAddress)
	}
	s, err := settings.ParseRouter("test", []byte(text))
	f.must(err)
	p := platform.Adapter()
	p.DialUpstream = links.dial
	r, err := router.New(s, p, f.logFile(n))
	f.must(err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Run(ctx)
	}()
	stopAndWait := func() {
		stop()
		<-ended
	}
	f.t.Cleanup(func() {
		stopAndWait()
		links.close()
	})
	f.instances, f.links, f.stops = append(f.instances, i), append(f.links, links), append(f.stops, stopAndWait)
}

func (f *linkedFleet) logFile(n int) io.Writer {
	if path := os.Getenv("LAVENDERRING_TEST_LOGS"); path != "" {
		out, err := os.Create(fmt.Sprintf("%s/edge-%d.log", path, n))
		f.must(err)
		f.t.Cleanup(func() { _ = out.Close() })
		return out
	}
	return io.Discard
}

// metric returns the value of one of an instance's metrics; empty if it has none.
func (f *linkedFleet) metric(i *routedInstance, name string) string {
	for line := range strings.Lines(readMetrics(f.t, i)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// requestKinds are the routes of the fleet's configuration.
var requestKinds = []string{"once", "safe", "stream", "resumable"}

// load sends count requests of all kinds to an instance from parallel clients and returns how many were
// served.
func (f *linkedFleet) load(i *routedInstance, prefix string, count int) (served int64) {
	const clients = 8
	var next, ok atomic.Int64
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for n := next.Add(1); n <= int64(count); n = next.Add(1) {
				a := f.send(i, fmt.Sprintf("%s-%d", prefix, n), requestKinds[n%int64(len(requestKinds))], "x")
				if a.err == nil && a.status == http.StatusOK {
					ok.Add(1)
				}
			}
		})
	}
	running.Wait()
	return ok.Load()
}

// Guards against refused callers of an instance that has lost its links to all upstreams while other
// instances, which it reaches, have theirs.
func TestInstanceWithoutUpstreamsServes(t *testing.T) {
	for _, state := range []linkState{linksSilent, linksReset, linksRefusing} {
		t.Run(string(state), func(t *testing.T) {
			f := newLinkedFleet(t, 3)
			cut := f.instances[0]
			if served := f.load(cut, "before", 40); served != 40 {
				t.Fatalf("%d of 40 requests served before the cut", served)
			}
			f.links[0].set(state)
			attempt := 0
			f.await("a request to be served after the cut", func() bool {
				attempt++
				return f.send(cut, fmt.Sprintf("first-%d", attempt), "safe", "x").status == http.StatusOK
			})
			const count = 200
			if served := f.load(cut, "during", count); served < count*95/100 {
				t.Errorf("%d of %d requests served at the instance without upstreams", served, count)
			}
			if !cut.isReady() {
				t.Error("the instance is not ready")
			}
			f.links[0].set(linksUp)
			if served := f.load(cut, "after", 40); served != 40 {
				t.Errorf("%d of 40 requests served after the cut", served)
			}
		})
	}
}

// Guards against requests that are suspected of crashing upstreams, at all instances, because one
// instance's connections to the upstreams ended.
func TestLostLinksSuspectNoRequest(t *testing.T) {
	f := newLinkedFleet(t, 3)
	f.setFaults(f.engines, standin.UpstreamFaults{Delay: 200 * time.Millisecond})
	const streams = 12
	var running sync.WaitGroup
	for n := range streams {
		running.Go(func() { f.send(f.instances[0], fmt.Sprintf("id-%d", n), "stream", fmt.Sprintf("body %d", n)) })
	}
	f.await("the streams to run", func() bool {
		runs := 0
		for _, engine := range f.engines {
			runs += len(engine.Runs())
		}
		return runs == streams
	})
	f.links[0].set(linksReset)
	running.Wait()
	for n, i := range f.instances {
		for _, name := range []string{"quarantine_crashes", "quarantine_suspected"} {
			if value := f.metric(i, name); value != "0" {
				t.Errorf("instance %d: %s is %s", n, name, value)
			}
		}
	}
}

// Guards against refusals for want of tokens at an instance that has not served an account before, while the
// ledger has plenty: many of its first requests arrive at the same time.
func TestFirstRequestsOfAnAccountGetTokens(t *testing.T) {
	f := &linkedFleet{routedFleet: newRoutedFleet(t, 0, 10_000_000)}
	f.startAll(3)
	if served := f.load(f.instances[0], "first", 40); served != 40 {
		t.Errorf("%d of 40 requests served", served)
	}
}

// Guards against work that goes on, and requests that still arrive, over connections that another instance carries:
// a client that leaves stops its stream, and a leaving upstream gets nothing.
func TestTunnelledRequestsEndWithTheirReasons(t *testing.T) {
	f := newLinkedFleet(t, 3)
	cut := f.instances[0]
	f.links[0].set(linksRefusing)
	attempt := 0
	f.await("a request to be served after the cut", func() bool {
		attempt++
		return f.send(cut, fmt.Sprintf("first-%d", attempt), "safe", "x").status == http.StatusOK
	})
	f.setFaults(f.engines, standin.UpstreamFaults{Delay: 150 * time.Millisecond})
	sendRaw(t, cut.clientAddress, fmt.Sprintf("POST /stream/x HTTP/1.1\r\nHost: %s\r\n%s: gone\r\nContent-Length: 0\r\n\r\n",
		routedHost, platform.UpstreamHeaders.RequestID)) // closes its connection after 0.7 s
	f.await("the cancelled run", func() bool {
		runs := f.runsOf("gone")
		return len(runs) == 1 && runs[0].Cancelled
	})
	leaving := f.plainUpstreams[0]
	f.markLeaving(leaving)
	round := 0
	f.await("the leaving upstream to get nothing", func() bool {
		round++
		before := len(leaving.Runs())
		served := f.load(cut, fmt.Sprintf("round-%d", round), 24)
		return served == 24 && len(leaving.Runs()) == before
	})
	before := len(leaving.Runs())
	f.load(cut, "after", 24)
	if after := len(leaving.Runs()); after != before {
		t.Errorf("the leaving upstream got %d requests", after-before)
	}
}

// Guards against requests that are cut off because the instance that carries their connections stops: their
// clients cannot know whether they ran.
func TestStoppingCarrierCutsNoRequest(t *testing.T) {
	f := newLinkedFleet(t, 3)
	cut := f.instances[0]
	f.links[0].set(linksRefusing)
	attempt := 0
	f.await("a request to be served after the cut", func() bool {
		attempt++
		return f.send(cut, fmt.Sprintf("first-%d", attempt), "safe", "x").status == http.StatusOK
	})
	f.setFaults(f.plainUpstreams, standin.UpstreamFaults{Delay: 300 * time.Millisecond})
	f.setFaults(f.engines, standin.UpstreamFaults{Delay: 100 * time.Millisecond})
	var stopped atomic.Bool
	var clients sync.WaitGroup
	var served atomic.Int64
	for n := range 16 {
		clients.Go(func() {
			for count := 0; !stopped.Load(); count++ {
				kind := requestKinds[n%len(requestKinds)]
				a := f.send(cut, fmt.Sprintf("carried-%d-%d", n, count), kind, "x")
				switch {
				case a.err == nil && a.status == http.StatusOK:
					served.Add(1)
				case a.err != nil || a.status != http.StatusServiceUnavailable:
					t.Errorf("a %s request ended with status %d, %v", kind, a.status, a.err)
				}
			}
		})
	}
	f.await("the instance to carry connections", func() bool {
		numTunnels := f.metric(f.instances[1], "tunnels_active")
		return numTunnels != "" && numTunnels != "0"
	})
	f.stops[1]()
	stopped.Store(true)
	clients.Wait()
	if served.Load() == 0 {
		t.Error("no request was served")
	}
}
