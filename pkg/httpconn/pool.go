package httpconn

import (
	"sync"
	"time"
)

// Bounds of the pool.
const (
	// defaultIdle is how long a connection is kept to a peer that names no
	// timeout of its own.
	defaultIdle = 4 * time.Second
	// idleMargin is the part of a peer's named timeout after which a kept
	// connection is not used any more: a request that crosses the peer's close
	// may or may not have run.
	idleMargin = 0.6
)

// Pool keeps idle connections by peer. It is safe for concurrent use.
type Pool struct {
	now func() time.Time

	mu   sync.Mutex
	idle map[string][]*Conn
	open map[string]int
}

// NewPool returns an empty pool.
func NewPool(now func() time.Time) *Pool {
	return &Pool{now: now, idle: map[string][]*Conn{}, open: map[string]int{}}
}

// Take returns the newest kept connection to a peer that is still good, or nil.
func (p *Pool) Take(peer string) *Conn {
	for {
		conn := p.pop(peer)
		if conn == nil {
			return nil
		}
		if p.now().Sub(conn.idleSince) < conn.idleFor && conn.alive() {
			return conn
		}
		p.Drop(conn)
	}
}

func (p *Pool) pop(peer string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[peer]
	if len(kept) == 0 {
		return nil
	}
	conn := kept[len(kept)-1]
	p.idle[peer] = kept[:len(kept)-1]
	return conn
}

// Opened counts a new connection in.
func (p *Pool) Opened(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[peer]++
}

// Open returns how many connections to a peer exist.
func (p *Pool) Open(peer string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[peer]
}

// Keep takes a connection back for reuse; idle is what the peer said it keeps an
// idle connection for, 0 if it said nothing.
func (p *Pool) Keep(conn *Conn, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdle
	}
	conn.SetDeadline(time.Time{})
	conn.idleSince = p.now()
	conn.idleFor = time.Duration(float64(idle) * idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[conn.Peer] = append(p.idle[conn.Peer], conn)
}

// Drop closes a connection and counts it out.
func (p *Pool) Drop(conn *Conn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[conn.Peer]--; p.open[conn.Peer] <= 0 {
		delete(p.open, conn.Peer)
	}
}

// Sweep closes the connections that have been idle for too long.
func (p *Pool) Sweep() {
	for _, conn := range p.expired() {
		p.Drop(conn)
	}
}

func (p *Pool) expired() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Conn
	for peer, kept := range p.idle {
		good := kept[:0]
		for _, conn := range kept {
			if p.now().Sub(conn.idleSince) >= conn.idleFor {
				out = append(out, conn)
				continue
			}
			good = append(good, conn)
		}
		p.idle[peer] = good
		if len(good) == 0 {
			delete(p.idle, peer)
		}
	}
	return out
}

// Forget closes every idle connection to a peer, which has left or whose open
// connections have gone silent.
func (p *Pool) Forget(peer string) {
	p.mu.Lock()
	kept := p.idle[peer]
	delete(p.idle, peer)
	p.mu.Unlock()
	for _, conn := range kept {
		p.Drop(conn)
	}
}
