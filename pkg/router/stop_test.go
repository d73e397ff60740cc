package router

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/tunnel"
	"github.com/lavenderring/lavenderring/pkg/tunnel/tunnelpb"
)

// Times of the fake parts of a stopping instance.
const (
	testGracePeriod = 8 * time.Second
	// closeTime is how long a server takes to close while connections to it are idle.
	closeTime = 200 * time.Millisecond
	// maxCutOffTime is the part of the grace period for which a request may be cut off.
	maxCutOffTime = 700 * time.Millisecond
)

// fakeClients has requests in progress until a time or until its connections are closed.
type fakeClients struct {
	activeUntil         time.Time
	closed              atomic.Bool
	refusedAt, closedAt time.Time
}

func (c *fakeClients) Refuse() { c.refusedAt = time.Now() }

func (c *fakeClients) NumActive() int64 {
	if !c.closed.Load() && time.Now().Before(c.activeUntil) {
		return 1
	}
	return 0
}

func (c *fakeClients) AwaitIdle(ctx context.Context) error {
	for c.NumActive() > 0 {
		if !pause.For(ctx, time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}

func (c *fakeClients) close() {
	c.closedAt = time.Now()
	c.closed.Store(true)
	time.Sleep(closeTime)
}

// fakeTokens returns tokens to a store that does not answer, or one that answers at once.
type fakeTokens struct {
	silent bool
	// numActive is the number of requests that had not settled when the return began.
	numActive int64
	clients   *fakeClients
}

func (f *fakeTokens) Stop(ctx context.Context) {
	f.numActive = f.clients.NumActive()
	if f.silent {
		<-ctx.Done()
	}
}

// runStop runs a planned stop in virtual time and returns how long it took.
func runStop(activeFor time.Duration, silent bool) (*fakeClients, *fakeTokens, time.Duration) {
	began := time.Now()
	clients := &fakeClients{activeUntil: began.Add(activeFor)}
	tokens := &fakeTokens{silent: silent, clients: clients}
	stop := newPlannedStop(testGracePeriod, clients, tokens)
	stop.onClosing = func() {}
	stop.handOver = func(ctx context.Context) {
		if silent { // the other instances do not answer either
			<-ctx.Done()
		}
	}
	stop.closeServers = []func(){clients.close, func() { time.Sleep(closeTime) }, func() { time.Sleep(closeTime) }}
	stop.run()
	return clients, tokens, time.Since(began)
}

// Guards against a stop that outlasts its grace period and is killed: requests last to the end of it,
// and the store does not answer.
func TestStopEndsWithinItsGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clients, tokens, took := runStop(time.Hour, true)
		if took >= testGracePeriod {
			t.Errorf("the stop took %s of %s", took, testGracePeriod)
		}
		if closedAfter := took - time.Since(clients.closedAt); closedAfter < testGracePeriod-maxCutOffTime {
			t.Errorf("requests were cut off after %s of %s", closedAfter, testGracePeriod)
		}
		if tokens.numActive != 0 {
			t.Errorf("tokens were returned while %d requests had not settled", tokens.numActive)
		}
	})
}

// Guards against connections that are closed while requests are in progress, and against requests that
// are served after the last check: they are refused from then on, before the connections are closed.
func TestStopWaitsForRequestsInProgress(t *testing.T) {
	for _, activeFor := range []time.Duration{0, unreadyPeriod, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			clients, _, took := runStop(activeFor, false)
			if clients.closedAt.Before(began.Add(max(activeFor, unreadyPeriod))) || clients.refusedAt.After(clients.closedAt) {
				t.Errorf("requests for %s: refused after %s, closed after %s", activeFor,
					clients.refusedAt.Sub(began), clients.closedAt.Sub(began))
			}
			if limit := max(activeFor, unreadyPeriod) + 2*closeTime; took > limit {
				t.Errorf("requests for %s: the stop took %s, more than %s", activeFor, took, limit)
			}
		})
	}
}

// openTunnel is a tunnel that another instance ends after a time.
type openTunnel struct {
	tunnelpb.DRPCTunnels_OpenStream
	lasts time.Duration
}

func (o openTunnel) Recv() (*tunnelpb.FromOpener, error) {
	time.Sleep(o.lasts)
	return nil, io.EOF
}

// Guards against a stop that cuts the connections which an instance carries for the requests of others: it
// waits for them as for its own requests, and no longer.
func TestStopWaitsForTunnels(t *testing.T) {
	for _, lasts := range []time.Duration{unreadyPeriod + time.Second, 6 * time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			service, clients := &tunnel.Service{}, &fakeClients{}
			go func() { _ = service.Open(openTunnel{lasts: lasts}) }()
			synctest.Wait()
			stop := newPlannedStop(testGracePeriod, stoppingTraffic{stoppingClients: clients, tunnels: service}, &fakeTokens{clients: clients})
			stop.onClosing, stop.handOver = func() {}, func(context.Context) {}
			stop.closeServers = []func(){clients.close}
			stop.run()
			closedAfter := clients.closedAt.Sub(began)
			if earliest := min(lasts, testGracePeriod-maxCutOffTime); closedAfter < earliest {
				t.Errorf("a tunnel of %s: the servers were closed after %s", lasts, closedAfter)
			}
			if took := time.Since(began); took >= testGracePeriod {
				t.Errorf("a tunnel of %s: the stop took %s of %s", lasts, took, testGracePeriod)
			}
			time.Sleep(lasts) // the bubble must not end with a tunnel open
		})
	}
}
