package httpconn

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"
)

// How a peer is looked at whose connection ended.
const (
	// lookTimeout bounds the look; the address of a process that has ended refuses within a
	// round trip.
	lookTimeout = 150 * time.Millisecond
	// lookHolds is how long one look stands for all connections that ended together. The
	// peer's next process may listen at the same address after that.
	lookHolds = 250 * time.Millisecond
)

// PeerState is what a look at a peer showed.
type PeerState string

// States of a peer.
const (
	// Crashed peers refuse connections: nothing listens at the address any more.
	Crashed PeerState = "crashed"
	// Answering peers take connections: only the one that ended did.
	Answering PeerState = "answers"
	// SilentPeer is one of which nothing could be told in time.
	SilentPeer PeerState = "silent"
)

// PeerProber tells crashed peers from connections that end, looking once for all that end together.
// It is safe for concurrent use.
type PeerProber struct {
	pool *Pool
	now  func() time.Time

	mu    sync.Mutex
	looks map[string]*look // by address
}

type look struct {
	began time.Time
	done  chan struct{}
	state PeerState
}

// NewLookout returns a lookout that keeps the connections it opens in a pool; nil for none.
func NewLookout(pool *Pool, now func() time.Time) *PeerProber {
	return &PeerProber{pool: pool, now: now, looks: map[string]*look{}}
}

// Look tells what became of the peer at an address, within lookTimeout.
func (l *PeerProber) Look(address string) PeerState {
	l.mu.Lock()
	l.forget()
	present := l.looks[address]
	if present != nil {
		l.mu.Unlock()
		<-present.done
		return present.state
	}
	present = &look{began: l.now(), done: make(chan struct{})}
	l.looks[address] = present
	l.mu.Unlock()
	present.state = l.dial(address)
	close(present.done)
	return present.state
}

func (l *PeerProber) dial(address string) PeerState {
	conn, err := Dial(context.Background(), address, lookTimeout)
	switch {
	case err == nil:
		l.keep(conn)
		return Answering
	case errors.Is(err, syscall.ECONNREFUSED):
		return Crashed
	default:
		return SilentPeer
	}
}

// keep has the connection serve a request, so that the look costs nothing.
func (l *PeerProber) keep(conn *Conn) {
	if l.pool == nil {
		conn.Close()
		return
	}
	l.pool.Opened(conn.Peer)
	l.pool.Keep(conn, 0)
}

// forget drops the looks that stand for nothing any more; l.mu is held. Few peers crash at a time.
func (l *PeerProber) forget() {
	for address, look := range l.looks {
		if l.now().Sub(look.began) >= lookHolds {
			delete(l.looks, address)
		}
	}
}
