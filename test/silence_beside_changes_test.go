package test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/standin/relay"
	"github.com/lavenderring/lavenderring/platform"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// Times of requests that are in progress while everything else changes.
const (
	// longTimeout is the route's timeout and the clients' deadline when the requests begin, longGrace the time
	// for a planned stop that lets all of them end.
	longTimeout, longGrace = 20 * time.Second, 20 * time.Second
	// shortenedTimeout and shortenedIdle are in force from the middle of the requests on. They are shorter than
	// any of the answers takes.
	shortenedTimeout, shortenedIdle = 500 * time.Millisecond, 100 * time.Millisecond
	// longPlainAnswer is how long a plain request runs, longEventInterval the time between two events of a stream.
	longPlainAnswer, longEventInterval = 2 * time.Second, 350 * time.Millisecond
)

// startRequests sends one request of each client, of the kinds in turn. The returned function waits for the answers.
func (f *routedFleet) startRequests() (wait func() []sentRequest) {
	f.t.Helper()
	sent := make([]sentRequest, silentClients)
	var running sync.WaitGroup
	for c := range silentClients {
		running.Go(func() {
			id, route := fmt.Sprintf("c%d", c), requestKinds[c%len(requestKinds)]
			req := f.newRequest(f.instances[c%len(f.instances)], id, route, "body of "+id)
			req.Header.Set(platform.UpstreamHeaders.Deadline, fmt.Sprint(longTimeout.Milliseconds()))
			sent[c] = sentRequest{id, route, roundTrip(req)}
		})
	}
	return func() []sentRequest {
		running.Wait()
		return sent
	}
}

// Guards against requests in progress that are ended by shorter times of their routes and of idle connections,
// by a reload of the settings, a planned stop or a leaving upstream while all upstreams are silent for a moment.
func TestChangesBesideASilenceEndNoRequest(t *testing.T) {
	f := newSilentFleet(t, fewRetries, longTimeout, longGrace)
	f.setFaults(f.plainUpstreams, standin.UpstreamFaults{Delay: longPlainAnswer})
	f.setFaults(f.engines, standin.UpstreamFaults{Delay: longEventInterval})
	wait := f.startRequests()
	f.await("all requests to run", func() bool {
		runs, _ := f.numWork()
		return runs == silentClients
	})
	f.timeout, f.idleTimeout = shortenedTimeout, shortenedIdle
	f.writeConfig()
	f.markLeaving(f.plainUpstreams[0])
	all := append(append([]*relay.Relay{}, f.plainRelays...), f.engineRelays...)
	setRelays(all, relay.Faults{Pause: true})
	for _, i := range f.instances {
		i.signal(syscall.SIGHUP)
	}
	f.instances[0].signal(syscall.SIGTERM)
	time.Sleep(brieflySilent)
	setRelays(all, relay.Faults{})
	f.checkKept(wait())
}
