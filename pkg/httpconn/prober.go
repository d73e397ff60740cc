package httpconn

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"
)

// Times of a probe of a peer whose connection ended.
const (
	// probeTimeout bounds a probe; the address of a process that has ended refuses connections
	// within a round trip.
	probeTimeout = 150 * time.Millisecond
	// probeResultLifetime is how long the result of one probe is used for all connections that
	// ended together. After that, the peer's next process may listen at the same address.
	probeResultLifetime = 250 * time.Millisecond
)

// PeerState is the result of a probe.
type PeerState string

// States of a peer.
const (
	// Crashed is the state of a peer at whose address nothing listens any more.
	Crashed PeerState = "crashed"
	// Answering is the state of a peer that accepts connections: only the one connection ended.
	Answering PeerState = "answers"
	// SilentPeer is the state of a peer of which nothing is known: it neither accepted nor refused a
	// connection in time, or the connection may have been refused because of this process's own link.
	SilentPeer PeerState = "silent"
)

// PeerProber distinguishes crashed peers from connections that ended. It probes a peer once for all
// connections that end together. It is safe for concurrent use.
type PeerProber struct {
	dial   DialFunc
	pool   *Pool
	verify func(address string) PeerState
	now    func() time.Time

	mu     sync.Mutex
	probes map[string]*probe // by address
}

type probe struct {
	startedAt time.Time
	done      chan struct{}
	state     PeerState
}

// NewPeerProber returns a prober that opens connections by the function dial and puts them into a pool;
// nil to close them. verify returns the state of a peer that refuses connections: it may have crashed, or
// only this process does not reach it.
func NewPeerProber(
	dial DialFunc, pool *Pool, verify func(address string) PeerState, now func() time.Time,
) *PeerProber {
	return &PeerProber{dial: dial, pool: pool, verify: verify, now: now, probes: map[string]*probe{}}
}

// Probe returns the state of the peer at an address, within probeTimeout and the time of a verification.
func (p *PeerProber) Probe(address string) PeerState {
	p.mu.Lock()
	p.dropExpired()
	current := p.probes[address]
	if current != nil {
		p.mu.Unlock()
		<-current.done
		return current.state
	}
	current = &probe{startedAt: p.now(), done: make(chan struct{})}
	p.probes[address] = current
	p.mu.Unlock()
	current.state = p.probe(address)
	close(current.done)
	return current.state
}

func (p *PeerProber) probe(address string) PeerState {
	conn, err := DialWith(context.Background(), p.dial, address, probeTimeout)
	switch {
	case err == nil:
		p.keepConn(conn)
		return Answering
	case errors.Is(err, syscall.ECONNREFUSED):
		return p.verify(address)
	default:
		return SilentPeer
	}
}

// keepConn puts the probe's connection into the pool, so that it can serve a request.
func (p *PeerProber) keepConn(conn *Conn) {
	if p.pool == nil {
		conn.Close()
		return
	}
	p.pool.CountOpened(conn.Peer)
	p.pool.Put(conn, 0)
}

// dropExpired drops the results that are too old to be used; the caller holds p.mu. It goes through all
// results, which are few because few peers crash at a time.
func (p *PeerProber) dropExpired() {
	for address, result := range p.probes {
		if p.now().Sub(result.startedAt) >= probeResultLifetime {
			delete(p.probes, address)
		}
	}
}
