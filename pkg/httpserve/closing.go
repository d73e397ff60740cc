package httpserve

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

// Times of CloseBy.
const (
	// CloseTimeout bounds how long CloseBy needs for clients that read their answers.
	CloseTimeout = 500 * time.Millisecond
	// arrivalTime is how long idle connections are kept after the listener has been closed, for requests
	// that are on their way.
	arrivalTime = 40 * time.Millisecond
	// closeCheckInterval is how often CloseBy looks at the open connections.
	closeCheckInterval = 10 * time.Millisecond
)

// Drain makes every answer from now on the last on its connection. A handler that writes its response itself
// must announce that, see IsDraining.
func (s *Server) Drain() { s.draining.Store(true) }

// IsDraining reports whether Drain has been called.
func (s *Server) IsDraining() bool { return s.draining.Load() }

// Refuse makes the server refuse all requests that are read from now on with Options.Refuse. When NumActive
// then returns 0, no request is served any more.
func (s *Server) Refuse() { s.refusing.Store(true) }

// CloseBy closes the server, at the latest at the deadline. Requests that are being served are cut off at
// once. Each other request is refused if it is received whole by the deadline: also those of connections
// that wait to be accepted. A connection is closed after its answer, and an idle one when nothing has
// arrived on it.
func (s *Server) CloseBy(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	s.Drain()
	s.Refuse()
	for _, c := range s.conns.all() {
		c.cutIfServing()
	}
	s.stopAccepting(ctx)
	s.endConns(ctx)
	for _, c := range s.conns.all() {
		c.cut()
	}
	_ = s.Shutdown(ctx) // fails if no more connections are accepted, and then there is nothing left to do
	_ = s.listener.Close()
}

// stopAccepting accepts the connections that wait and closes the listener.
func (s *Server) stopAccepting(ctx context.Context) {
	s.listener.stop()
	if !s.started.Load() {
		return
	}
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}

// endConns waits until the last request of each connection has been answered.
func (s *Server) endConns(ctx context.Context) {
	idleEnd := time.Now().Add(arrivalTime)
	for len(s.conns.all()) > 0 {
		if !pause.For(ctx, closeCheckInterval) {
			return
		}
		if time.Now().Before(idleEnd) {
			continue
		}
		for _, c := range s.conns.all() {
			c.endIfIdle()
		}
	}
}
