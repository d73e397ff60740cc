package httpconn

import (
	"sync"
	"time"
)

// Bounds of the pool.
const (
	// defaultIdleTimeout is the idle timeout assumed for a peer that does not state
	// its own.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the fraction of a peer's idle timeout after which an idle
	// connection is no longer used: a request that crosses the peer's close on the
	// network may or may not have run.
	idleTimeoutFraction = 0.6
)

// Pool keeps idle connections by peer. It is safe for concurrent use.
type Pool struct {
	now func() time.Time

	mu      sync.Mutex
	idle    map[string][]*Conn
	numOpen map[string]int
}

// NewPool returns an empty pool.
func NewPool(now func() time.Time) *Pool {
	return &Pool{now: now, idle: map[string][]*Conn{}, numOpen: map[string]int{}}
}

// Get removes and returns the most recently added idle connection to a peer that is still
// usable, or nil. It closes the unusable ones that it meets.
func (p *Pool) Get(peer string) *Conn {
	for {
		conn := p.pop(peer)
		if conn == nil {
			return nil
		}
		if p.now().Sub(conn.idleSince) < conn.maxIdle && conn.isReusable() {
			return conn
		}
		p.Drop(conn)
	}
}

func (p *Pool) pop(peer string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[peer]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	p.idle[peer] = conns[:len(conns)-1]
	return conn
}

// CountOpened counts a connection that the caller has opened.
func (p *Pool) CountOpened(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.numOpen[peer]++
}

// NumOpen returns how many connections to a peer are open, idle or in use.
func (p *Pool) NumOpen(peer string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.numOpen[peer]
}

// Put returns a connection for reuse; idleTimeout is how long the peer said that it keeps
// an idle connection, 0 if it said nothing.
func (p *Pool) Put(conn *Conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	conn.WatchSilence(nil)
	conn.SetDeadline(time.Time{})
	conn.idleSince = p.now()
	conn.maxIdle = time.Duration(float64(idleTimeout) * idleTimeoutFraction)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[conn.Peer] = append(p.idle[conn.Peer], conn)
}

// Drop closes a connection and no longer counts it as open.
func (p *Pool) Drop(conn *Conn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.numOpen[conn.Peer]--; p.numOpen[conn.Peer] <= 0 {
		delete(p.numOpen, conn.Peer)
	}
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	for _, conn := range p.takeExpired() {
		p.Drop(conn)
	}
}

func (p *Pool) takeExpired() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Conn
	for peer, conns := range p.idle {
		remaining := conns[:0]
		for _, conn := range conns {
			if p.now().Sub(conn.idleSince) >= conn.maxIdle {
				out = append(out, conn)
				continue
			}
			remaining = append(remaining, conn)
		}
		p.idle[peer] = remaining
		if len(remaining) == 0 {
			delete(p.idle, peer)
		}
	}
	return out
}

// CloseIdle closes all idle connections to a peer. It is used when the peer has left or its
// open connections have gone silent.
func (p *Pool) CloseIdle(peer string) {
	p.mu.Lock()
	conns := p.idle[peer]
	delete(p.idle, peer)
	p.mu.Unlock()
	for _, conn := range conns {
		p.Drop(conn)
	}
}
