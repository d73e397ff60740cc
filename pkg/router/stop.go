package router

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/tunnel"
)

// Times of a planned stop.
const (
	// unreadyPeriod is how long a stopping instance still accepts connections: the load
	// balancer checks readiness each second and stops sending here after two failed checks.
	unreadyPeriod = 3500 * time.Millisecond
	// closeReserve is the part of the grace period in which no request is in progress any more:
	// connections are closed and tokens are returned.
	closeReserve = 600 * time.Millisecond
	// exitReserve is the part of the grace period that is left when the process ends by itself.
	exitReserve = 100 * time.Millisecond
	// tokenReturnTimeout bounds the return of tokens.
	tokenReturnTimeout = 600 * time.Millisecond
	// handOverTimeout bounds the hand-over of records to other instances.
	handOverTimeout = 500 * time.Millisecond
	// settleTimeout bounds the wait for requests that were cut off to settle their reservations.
	settleTimeout = 100 * time.Millisecond
	// drainCheckInterval is how often the requests in progress are counted.
	drainCheckInterval = 20 * time.Millisecond
)

// stoppingClients is the server of a stopping instance's clients.
type stoppingClients interface {
	Refuse()
	NumActive() int64
	AwaitIdle(ctx context.Context) error
}

// tokenReturner returns an instance's tokens to the ledger; it gives up when ctx is done.
type tokenReturner interface{ Stop(ctx context.Context) }

// plannedStop is a planned stop from the time when the instance reports that it is not ready.
type plannedStop struct {
	beganAt time.Time
	// closeAt is the latest time at which connections are closed, exitAt that at which the process ends.
	closeAt, exitAt time.Time
	clients         stoppingClients
	tokens          tokenReturner
	// onClosing is called when drain has ended.
	onClosing func()
	// handOver passes on what only this instance may know; it gives up when ctx is done.
	handOver func(ctx context.Context)
	// closeServers closes the instance's servers, and with them the connections.
	closeServers []func()
}

// newPlannedStop returns a stop that begins now.
func newPlannedStop(gracePeriod time.Duration, clients stoppingClients, tokens tokenReturner) *plannedStop {
	now := time.Now()
	return &plannedStop{
		beganAt: now, closeAt: now.Add(gracePeriod - closeReserve), exitAt: now.Add(gracePeriod - exitReserve),
		clients: clients, tokens: tokens,
	}
}

// run carries out the stop and returns when the process may end. Connections are closed before tokens
// are returned: a store that does not answer delays the return, and what a request that was cut off has
// not used is returned, too.
func (s *plannedStop) run() {
	s.drain()
	s.onClosing()
	var closing sync.WaitGroup
	for _, closeServer := range s.closeServers {
		closing.Go(closeServer)
	}
	closing.Go(s.handOverRecords)
	s.returnTokens()
	closing.Wait()
}

// closeDeadline returns the time by which servers that begin to close now have closed.
func (s *plannedStop) closeDeadline() time.Time {
	deadline := time.Now().Add(httpserve.CloseTimeout)
	if s.exitAt.Before(deadline) {
		return s.exitAt
	}
	return deadline
}

// handOverRecords passes on what only this instance may know, also of requests that were cut off.
func (s *plannedStop) handOverRecords() {
	ctx, cancel := context.WithDeadline(context.Background(), s.exitAt)
	defer cancel()
	ctx, cancelHandOver := context.WithTimeout(ctx, handOverTimeout)
	defer cancelHandOver()
	s.handOver(ctx)
}

// drain waits until no request is in progress and the load balancer sends no more, but not beyond closeAt.
// Then no more requests are served.
func (s *plannedStop) drain() {
	for time.Now().Before(s.closeAt) {
		if s.clients.NumActive() == 0 && time.Since(s.beganAt) >= unreadyPeriod {
			break
		}
		pause.For(context.Background(), drainCheckInterval)
	}
	s.clients.Refuse()
	ctx, cancel := context.WithDeadline(context.Background(), s.closeAt)
	defer cancel()
	_ = s.clients.AwaitIdle(ctx) // onClosing reports the requests that are left
}

// returnTokens returns the instance's tokens to the ledger.
func (s *plannedStop) returnTokens() {
	exit, cancel := context.WithDeadline(context.Background(), s.exitAt)
	defer cancel()
	settled, cancelSettled := context.WithTimeout(exit, settleTimeout)
	defer cancelSettled()
	_ = s.clients.AwaitIdle(settled) // what is not settled by then is lost to the budget
	returned, cancelReturned := context.WithTimeout(exit, tokenReturnTimeout)
	defer cancelReturned()
	s.tokens.Stop(returned)
}

// stoppingTraffic is the clients' requests and the requests of other instances that lead through this
// one.
type stoppingTraffic struct {
	stoppingClients
	tunnels *tunnel.Service
}

// NumActive returns the number of requests in progress.
func (s stoppingTraffic) NumActive() int64 {
	return s.stoppingClients.NumActive() + s.tunnels.NumActive()
}

// AwaitIdle waits until no request is in progress; it returns ctx's error if ctx is done first.
func (s stoppingTraffic) AwaitIdle(ctx context.Context) error {
	if err := s.stoppingClients.AwaitIdle(ctx); err != nil {
		return err
	}
	for s.tunnels.NumActive() > 0 {
		if !pause.For(ctx, drainCheckInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// stop shuts the instance down within the grace period.
func (r *Router) stop() {
	traffic := stoppingTraffic{stoppingClients: r.clientServer, tunnels: r.tunnels}
	stop := newPlannedStop(r.settings.GracePeriod(), traffic, r.tokens)
	closeClients := func() { r.clientServer.CloseBy(stop.closeDeadline()) }
	stop.closeServers = []func(){closeClients, r.readyServer.Close, r.adminServer.Close}
	stop.onClosing = func() {
		r.log.Event(eventlog.InstanceClosing, "", eventlog.Fields{
			"after_ms": time.Since(stop.beganAt).Milliseconds(), "active": traffic.NumActive(),
		})
	}
	stop.handOver = r.origins.HandOver
	r.lifecycle.Stop()
	r.tunnels.Refuse()
	r.forward.StopBy(stop.closeAt)
	r.clientServer.Drain()
	r.table.MarkLeaving()
	go stop.handOverRecords() // the others no longer ask this instance
	stop.run()
	r.cancelBackground()
	r.lifecycle.Done()
	r.peers.Close()
}
