package tunnel

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/reach"
	"github.com/lavenderring/lavenderring/pkg/tunnel/tunnelpb"
)

// Bounds of the tunnels that an instance carries for others.
const (
	// maxTunnels bounds the open tunnels. Each takes two goroutines and their buffers, below 64 kB.
	maxTunnels = 256
	// maxLifetime bounds a tunnel, whatever its opener asks for.
	maxLifetime = 10 * time.Minute
	// connectTimeout bounds a connection for another instance. It is shorter than the time for which
	// the other one waits.
	connectTimeout = 150 * time.Millisecond
)

// Upstreams finds upstreams by the instance's own copy of the registry.
type Upstreams interface {
	// InService reports whether an upstream is in service at an address, and how many connections to it
	// this instance may open; 0 for no limit.
	InService(service, id, address string) (maxConnections int, listed bool)
	// Known reports whether an upstream is listed at an address, in service or not.
	Known(service, id, address string) bool
}

// Service serves the tunnels that other instances open. It implements tunnelpb.DRPCTunnelsServer.
type Service struct {
	Direct    *reach.Direct
	Verifier  *reach.Verifier
	Upstreams Upstreams
	// IsMember reports whether an incarnation is a live instance of the fleet.
	IsMember func(incarnation string) bool
	// Saturated reports whether the instance's own link is full; nil if it never is.
	Saturated func() bool

	active   atomic.Int64
	refusing atomic.Bool
}

// Refuse declines all tunnels from now on.
func (s *Service) Refuse() { s.refusing.Store(true) }

// NumActive returns the number of open tunnels.
func (s *Service) NumActive() int64 { return s.active.Load() }

// Check implements tunnelpb.DRPCTunnelsServer.
func (s *Service) Check(_ context.Context, request *tunnelpb.CheckRequest) (*tunnelpb.CheckReply, error) {
	t := request.GetTarget()
	if !s.IsMember(t.GetOpener()) || !s.Upstreams.Known(t.GetService(), t.GetUpstream(), t.GetAddress()) {
		return &tunnelpb.CheckReply{Result: tunnelpb.Result_UNLISTED}, nil
	}
	found := s.Verifier.Observe(targetOf(t))
	reply := &tunnelpb.CheckReply{Result: tunnelpb.Result_SILENT, ReachesOthers: found.ReachesOthers}
	switch {
	case found.Accepts:
		reply.Result = tunnelpb.Result_CONNECTED
	case found.Refuses:
		reply.Result = tunnelpb.Result_REFUSED
	}
	return reply, nil
}

func targetOf(t *tunnelpb.Target) reach.Target {
	return reach.Target{Service: t.GetService(), ID: t.GetUpstream(), Address: t.GetAddress()}
}

// Open implements tunnelpb.DRPCTunnelsServer.
func (s *Service) Open(stream tunnelpb.DRPCTunnels_OpenStream) error {
	defer s.active.Add(-1)
	count := s.active.Add(1)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	target := first.GetTarget()
	conn, result := s.connect(target, count)
	if err := stream.Send(&tunnelpb.FromUpstream{Result: result}); err != nil || conn == nil {
		if conn != nil {
			s.Direct.Keep(conn)
		}
		return err
	}
	lifetime := min(time.Duration(target.GetLifetimeMs())*time.Millisecond, maxLifetime)
	conn.SetDeadline(s.Direct.Now().Add(lifetime))
	t := &carried{stream: stream, conn: conn}
	t.run()
	s.release(t)
	if t.broken && s.Direct.Paths.StartCheck(target.GetService(), target.GetAddress()) {
		// The paths record the result.
		go func() { _ = s.Direct.Check(target.GetService(), target.GetAddress(), reach.DialTimeout) }()
	}
	if t.silent {
		return errSilent
	}
	return nil
}

// errSilent means that nothing was heard of the upstream for so long that its connection was given up. The
// opener must not take that for an end of the connection by the upstream.
var errSilent = errors.New("the connection to the upstream has gone silent")

// connect returns a connection to the target, or why there is none. It never uses a tunnel itself, so
// tunnels form no chains.
func (s *Service) connect(t *tunnelpb.Target, active int64) (*httpconn.Conn, tunnelpb.Result) {
	if s.refusing.Load() || !s.IsMember(t.GetOpener()) {
		return nil, tunnelpb.Result_DECLINED
	}
	maxConnections, listed := s.Upstreams.InService(t.GetService(), t.GetUpstream(), t.GetAddress())
	if !listed {
		return nil, tunnelpb.Result_UNLISTED
	}
	if active > maxTunnels || (s.Saturated != nil && s.Saturated()) {
		return nil, tunnelpb.Result_BUSY
	}
	d := s.Direct
	if !d.Paths.Reaches(t.GetService(), t.GetAddress()) {
		if !d.Paths.StartCheck(t.GetService(), t.GetAddress()) {
			return nil, s.lastResult(t)
		}
	} else if conn := d.Pool.Get(t.GetAddress()); conn != nil {
		return conn, tunnelpb.Result_CONNECTED
	}
	if maxConnections > 0 && d.Pool.NumOpen(t.GetAddress()) >= maxConnections {
		return nil, tunnelpb.Result_BUSY
	}
	conn, err := d.Connect(t.GetService(), t.GetAddress(), connectTimeout)
	switch {
	case err == nil:
		return conn, tunnelpb.Result_CONNECTED
	case reach.IsRefused(err):
		return nil, tunnelpb.Result_REFUSED
	default:
		return nil, tunnelpb.Result_SILENT
	}
}

// lastResult returns why an upstream that does not count as reached is not tried now.
func (s *Service) lastResult(t *tunnelpb.Target) tunnelpb.Result {
	paths := s.Direct.Paths
	switch {
	case !paths.ReachesService(t.GetService()):
		return tunnelpb.Result_UNREACHED
	case paths.FailedSilently(t.GetService(), t.GetAddress()):
		return tunnelpb.Result_SILENT
	default:
		return tunnelpb.Result_REFUSED
	}
}

// release keeps the connection of a finished tunnel for later use and closes any other.
func (s *Service) release(t *carried) {
	if idleTimeout, reusable := t.reusable(); reusable {
		s.Direct.Pool.Put(t.conn, idleTimeout)
		return
	}
	s.Direct.Pool.Drop(t.conn)
}

// carried is an open tunnel at the instance that is connected to the upstream.
type carried struct {
	stream tunnelpb.DRPCTunnels_OpenStream
	conn   *httpconn.Conn

	mu     sync.Mutex
	finish *tunnelpb.Finish
	// aborted says that the opener has broken the tunnel off or is gone.
	aborted bool
	// received is the number of bytes received from the upstream.
	received int64
	ended    bool // the upstream's end of the connection has ended
	// broken says that the connection to the upstream ended in a failure, silent that it was given up
	// because nothing was heard. They are set before run returns.
	broken, silent bool
}

// run copies in both directions until the tunnel has ended.
func (t *carried) run() {
	go t.copyToUpstream()
	t.copyToOpener()
}

// copyToUpstream sends the opener's data to the upstream. When the opener breaks the tunnel off, or is
// gone, the connection is closed at once, so that the upstream stops its work.
func (t *carried) copyToUpstream() {
	for {
		message, err := t.stream.Recv()
		if err != nil {
			t.abort()
			return
		}
		if message.Finish != nil {
			t.mu.Lock()
			t.finish = message.Finish
			t.mu.Unlock()
			t.conn.SetReadDeadline(pastTime) // ends copyToOpener
			return
		}
		if _, err := t.conn.Write(message.Data); err != nil {
			// The upstream may have answered before it has read everything, so its answer is still
			// delivered; then copyToOpener ends.
			t.discard()
			return
		}
	}
}

// discard reads the opener's messages without use until it ends the tunnel.
func (t *carried) discard() {
	for {
		if _, err := t.stream.Recv(); err != nil {
			t.abort()
			return
		}
	}
}

// abort closes the connection after the opener has broken the tunnel off.
func (t *carried) abort() {
	t.mu.Lock()
	t.aborted = true
	t.mu.Unlock()
	t.conn.Close()
}

// pastTime is a deadline that has passed.
var pastTime = time.Unix(1, 0)

// copyToOpener sends what the upstream sends to the opener.
func (t *carried) copyToOpener() {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := t.conn.Read(buffer)
		if n > 0 {
			t.noteReceived(n)
			if t.stream.Send(&tunnelpb.FromUpstream{Data: buffer[:n]}) != nil {
				t.noteEnded()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			t.noteEnded()
			_ = t.stream.Send(&tunnelpb.FromUpstream{Closed: true}) // if it fails, the opener sees that the tunnel broke off
			return
		}
		if err != nil {
			t.noteFailed(err)
			return
		}
	}
}

func (t *carried) noteReceived(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received += int64(n)
}

func (t *carried) noteEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}

// noteFailed records a failed read; after Finish, the read deadline is what ends copyToOpener.
func (t *carried) noteFailed(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = t.finish == nil || !httpconn.IsTimeout(err)
	t.broken = t.ended && !t.aborted
	t.silent = t.broken && httpconn.IsTimeout(err)
}

// reusable returns how long the upstream keeps the idle connection, and whether it may be used again.
func (t *carried) reusable() (idleTimeout time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.finish == nil || t.ended || t.finish.ReceivedBytes != t.received || !t.conn.FullyRead() {
		return 0, false
	}
	return time.Duration(t.finish.IdleTimeoutMs) * time.Millisecond, true
}
