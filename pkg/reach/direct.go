package reach

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/owndelay"
)

// Target is an upstream to connect to.
type Target struct {
	// Service and ID name the upstream, Address is its IP address and port, Domain its failure domain.
	Service, ID, Address, Domain string
	// Deadline is when the connection is no longer needed; zero for no deadline.
	Deadline time.Time
}

// DialTimeout bounds the setup of a connection, directly or not. Within a region it takes a few
// milliseconds, and an upstream that is gone does not answer at all.
const DialTimeout = 300 * time.Millisecond

// LinkObserver receives how long it took until a direct connection was established or failed.
type LinkObserver interface {
	ObserveConnect(address string, duration time.Duration)
}

// Direct opens connections over the instance's own links and records their results.
type Direct struct {
	Dial httpconn.DialFunc
	// Pool may be nil if connections are not kept.
	Pool  *httpconn.Pool
	Paths *Paths
	// Link may be nil.
	Link LinkObserver
	Now  func() time.Time
	// Delay extends the time for a connection while the instance itself is late; it may be nil.
	Delay *owndelay.Meter
	// OnOpened is called for each connection that was established; it may be nil.
	OnOpened func()
}

// Connect opens a new connection. It goes on after the caller of the request has left, until the timeout:
// its result tells about the link. Errors: *httpconn.Error with step "dial".
func (d *Direct) Connect(service, address string, timeout time.Duration) (*httpconn.Conn, error) {
	began := d.Now()
	ctx, cancel := d.Delay.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := httpconn.DialUntil(ctx, d.Dial, address)
	if d.Link != nil {
		d.Link.ObserveConnect(address, d.Now().Sub(began))
	}
	if err != nil {
		silent := !IsRefused(err)
		if silent && d.Pool != nil {
			// Open connections over a path that is silent are silent, too.
			d.Pool.CloseIdle(address)
		}
		d.Paths.NoteFailed(service, address, silent)
		return nil, err
	}
	d.Paths.NoteConnected(service, address)
	if d.Pool != nil {
		d.Pool.CountOpened(address)
	}
	if d.OnOpened != nil {
		d.OnOpened()
	}
	return conn, nil
}

// Keep puts an unused connection into the pool, where it serves the next request; without a pool it is
// closed.
func (d *Direct) Keep(conn *httpconn.Conn) {
	if d.Pool == nil {
		conn.Close()
		return
	}
	d.Pool.Put(conn, 0)
}

// Check opens a connection to find out whether the address is reached, and keeps it. Errors: those of
// Connect.
func (d *Direct) Check(service, address string, timeout time.Duration) error {
	conn, err := d.Connect(service, address, timeout)
	if err == nil {
		d.Keep(conn)
	}
	return err
}

// IsRefused reports whether the other end, or a device on the way, rejected a connection.
func IsRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
