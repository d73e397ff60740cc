package reach

import (
	"context"
	"errors"
	"time"

	"github.com/lavenderring/lavenderring/pkg/httpconn"
)

// hedgeDelay is how long a direct connection may take before another instance is asked as well: several
// round trips to the farthest upstream.
const hedgeDelay = 60 * time.Millisecond

// ErrUnreached means that the upstream is reached neither from this instance nor from any other that could
// be asked.
var ErrUnreached = errors.New("upstream is reached neither directly nor through another instance")

// ErrPathLost means that a connection through another instance ended on the way: that instance, or its link,
// is lost or silent. It says nothing about the upstream.
var ErrPathLost = errors.New("the way to the upstream through another instance was lost")

// Tunnels opens connections to upstreams through other instances.
type Tunnels interface {
	// Open returns a connection through another instance, and that instance's name. It fails when ctx
	// ends or nobody who was asked reaches the upstream.
	Open(ctx context.Context, target Target) (conn *httpconn.Conn, via string, err error)
}

// Connector opens connections to upstreams, directly or through another instance, whichever succeeds
// first.
type Connector struct {
	Direct *Direct
	// Tunnels may be nil if there are no other instances.
	Tunnels Tunnels
	// Saturated reports whether the instance's own link is full, so that connections are slow although
	// they lead somewhere; nil if it never is.
	Saturated func() bool
}

// Connection is the result of Connect.
type Connection struct {
	*httpconn.Conn
	// Via is the name of the instance through which the connection leads; empty for a direct one.
	Via string
	// DirectFailed says that the upstream counted as reached and that a direct connection was not
	// established, so that the upstream may just have restarted.
	DirectFailed bool
}

// NoteHeard records that an upstream of a service was heard of over a direct connection.
func (c *Connector) NoteHeard(service string) { c.Direct.Paths.NoteHeard(service) }

// CheckSilence is called when a request that was sent over a direct connection has not been answered for a
// time. If nothing else was heard of the service meanwhile, the connection may have gone silent, and a new
// one shows whether it has.
func (c *Connector) CheckSilence(service, address string, silence time.Duration) {
	if c.Direct.Paths.StartSilenceCheck(service, silence) {
		_ = c.Direct.Check(service, address, DialTimeout) // the paths record the result
	}
}

type attemptResult struct {
	connection Connection
	err        error
}

// Connect opens a connection to an upstream within DialTimeout, which is extended while the instance itself is
// late, and the target's deadline. Errors: *httpconn.Error with step "dial".
func (c *Connector) Connect(ctx context.Context, target Target) (Connection, error) {
	if !target.Deadline.IsZero() {
		untilDeadline, cancel := context.WithTimeout(ctx, target.Deadline.Sub(c.Direct.Now()))
		defer cancel()
		ctx = untilDeadline
	}
	ctx, cancel := c.Direct.Delay.WithTimeout(ctx, DialTimeout)
	defer cancel()
	a := &connecting{Connector: c, ctx: ctx, target: target}
	defer a.abandon()
	conn, err := a.run()
	if err != nil {
		return Connection{}, &httpconn.Error{Step: "dial", Peer: target.Address, Err: err}
	}
	conn.DirectFailed = conn.Via != "" && a.reached
	return conn, nil
}

// connecting is one call of Connect. A channel is nil while its way is not being tried.
type connecting struct {
	*Connector
	ctx            context.Context
	target         Target
	direct, tunnel chan attemptResult
	// reached says that the upstream counted as reached over the own links.
	reached              bool
	directTried          bool
	tunnelTried          bool
	directErr, tunnelErr error
}

// run tries the preferred way first.
func (a *connecting) run() (Connection, error) {
	paths := a.Direct.Paths
	a.reached = paths.Reaches(a.target.Service, a.target.Address)
	if a.reached {
		a.startDirect()
	} else {
		a.startTunnel()
		if paths.StartCheck(a.target.Service, a.target.Address) {
			a.startDirect()
		}
	}
	return a.await()
}

// await waits for the ways that are being tried, and tries the other one when the first fails or is slow.
func (a *connecting) await() (Connection, error) {
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for a.continues() {
		select {
		case r := <-a.direct:
			a.direct = nil
			if r.err == nil {
				return r.connection, nil
			}
			a.directErr = r.err
			a.startTunnel()
		case r := <-a.tunnel:
			a.tunnel = nil
			if r.err == nil {
				return r.connection, nil
			}
			a.tunnelErr = r.err
		case <-hedge.C:
			a.startTunnel()
		case <-a.ctx.Done():
			return a.takeEstablished()
		}
	}
	return Connection{}, a.failure()
}

// takeEstablished returns a connection that was established before the time was over: a busy process may see both
// at once. It returns none if the request needs none any more.
func (a *connecting) takeEstablished() (Connection, error) {
	err := a.ctx.Err()
	if !errors.Is(err, context.DeadlineExceeded) || a.isLate() {
		return Connection{}, err
	}
	for _, results := range []*chan attemptResult{&a.direct, &a.tunnel} {
		select {
		case r := <-*results: // never for a way that is not being tried
			*results = nil
			if r.err == nil {
				return r.connection, nil
			}
		default:
		}
	}
	return Connection{}, err
}

// isLate reports whether the target's deadline has passed.
func (a *connecting) isLate() bool {
	deadline := a.target.Deadline
	return !deadline.IsZero() && !a.Direct.Now().Before(deadline)
}

// continues reports whether one of the ways is still being tried. If no other instance helps, a direct
// connection is tried although the upstream does not count as reached, unless it would time out.
func (a *connecting) continues() bool {
	if a.direct == nil && a.tunnel == nil && !a.Direct.Paths.FailedSilently(a.target.Service, a.target.Address) {
		a.startDirect()
	}
	return a.direct != nil || a.tunnel != nil
}

// failure returns why both ways failed.
func (a *connecting) failure() error {
	if a.directErr == nil {
		return errors.Join(ErrUnreached, a.tunnelErr)
	}
	return a.directErr
}

func (a *connecting) startDirect() {
	if a.directTried {
		return
	}
	a.directTried = true
	results := make(chan attemptResult, 1)
	a.direct = results
	go func() {
		conn, err := a.Direct.Connect(a.target.Service, a.target.Address, DialTimeout)
		results <- attemptResult{Connection{Conn: conn}, err}
	}()
}

func (a *connecting) startTunnel() {
	if a.tunnelTried || a.Tunnels == nil || (a.Saturated != nil && a.Saturated()) {
		return
	}
	a.tunnelTried = true
	results := make(chan attemptResult, 1)
	a.tunnel = results
	go func() {
		conn, via, err := a.Tunnels.Open(a.ctx, a.target)
		results <- attemptResult{Connection{Conn: conn, Via: via}, err}
	}()
}

// abandon keeps a direct connection that is established after all, and gives up one through another
// instance.
func (a *connecting) abandon() {
	if a.direct != nil {
		go func(results chan attemptResult) {
			if r := <-results; r.err == nil {
				a.Direct.Keep(r.connection.Conn)
			}
		}(a.direct)
	}
	if a.tunnel != nil {
		go func(results chan attemptResult) {
			if r := <-results; r.err == nil {
				r.connection.Finish(0)
			}
		}(a.tunnel)
	}
}
