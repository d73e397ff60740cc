package httpserve

import (
	"context"
	"syscall"
	"time"
)

// departureInterval is how often it is checked whether the clients of requests in progress have left.
const departureInterval = 100 * time.Millisecond

// ClientGone reports whether the client of a request has closed its connection, by the context of the request's
// handler. A client that has closed its sending side only counts as gone: the two cannot be told apart before
// something is sent. The answer is that of the kernel, so it does not depend on what has been read: when an
// instance is late, a request and the end of its connection wait side by side.
func ClientGone(ctx context.Context) bool {
	conn := connOf(ctx)
	return conn != nil && conn.isGone()
}

// isGone reports whether the client has closed the connection.
func (c *conn) isGone() bool {
	c.mu.Lock()
	ended := c.broken || c.closed
	c.mu.Unlock()
	if ended {
		return true
	}
	socket, ok := c.Conn.(syscall.Conn)
	return ok && peerClosed(socket)
}

// watchDepartures cancels the requests in progress whose clients have left, until the server is done. The
// library notices that only while nothing has arrived behind a request: after bytes of a next one it does not
// read on, and does not see the end behind them.
func (s *Server) watchDepartures() {
	ticker := time.NewTicker(departureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
		for _, c := range s.conns.all() {
			c.cancelIfGone()
		}
	}
}

// cancelIfGone cancels the request in progress, if there is one and its client has left.
func (c *conn) cancelIfGone() {
	c.mu.Lock()
	cancel, serving := c.cancel, c.serving
	c.mu.Unlock()
	if serving && cancel != nil && c.isGone() {
		cancel()
	}
}
