// Package relay forwards TCP connections from one address to another and can cut, freeze, hold or
// delay them, to simulate network faults.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/httpserve"
)

// bufferBytes is the largest number of bytes forwarded at once.
const bufferBytes = 16 << 10

// maxControlBytes bounds the body of a control request.
const maxControlBytes = 1 << 16

// Faults are the network faults that the relay simulates.
type Faults struct {
	// Cut closes open connections, and new ones as soon as they are accepted.
	Cut bool `json:"cut"`
	// Freeze stops forwarding on the connections that are open now, for good, without closing them.
	// New connections work.
	Freeze bool `json:"freeze"`
	// Hold delays what the target sends until Hold is unset: requests are forwarded, answers are
	// not.
	Hold bool `json:"hold"`
	// DelayMillis delays each forwarded buffer, in both directions.
	DelayMillis int64 `json:"delay_millis"`
}

// Relay is a running relay.
type Relay struct {
	target   string
	listener net.Listener
	control  *httpserve.Server

	mu     sync.Mutex
	faults Faults
	links  map[*link]bool
}

// link is one forwarded connection. frozen is closed when the connection is frozen.
type link struct {
	client, target net.Conn
	frozen         chan struct{}
}

// Start listens on an address and forwards connections to the target. If control is not empty, the
// relay takes POST /faults on that address.
func Start(listen, control, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: listener, links: map[*link]bool{}}
	if control != "" {
		if err := r.startControl(control); err != nil {
			return nil, err
		}
	}
	go r.accept()
	return r, nil
}

func (r *Relay) startControl(address string) error {
	server, err := httpserve.Listen(httpserve.Options{Address: address, MaxBodyBytes: maxControlBytes})
	if err != nil {
		return err
	}
	r.control = server
	server.POST("/faults", httpserve.HandleJSON(r.SetFaults))
	server.Serve()
	return nil
}

// SetFaults replaces the simulated faults and applies Cut and Freeze to the open connections.
func (r *Relay) SetFaults(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
	for l := range r.links {
		if faults.Cut {
			l.close()
		}
		if faults.Freeze {
			close(l.frozen)
			delete(r.links, l)
		}
	}
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

// forward connects to the target and copies in both directions, until the link is closed or frozen.
func (r *Relay) forward(client net.Conn) {
	r.mu.Lock()
	cut := r.faults.Cut
	r.mu.Unlock()
	if cut {
		_ = client.Close()
		return
	}
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, target: target, frozen: make(chan struct{})}
	r.mu.Lock()
	r.links[l] = true
	r.mu.Unlock()
	go r.copyBytes(l, client, target)
	r.copyBytes(l, target, client)
}

// copyBytes copies from src to dst with the current faults, until either fails.
func (r *Relay) copyBytes(l *link, src, dst net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buffer)
		select {
		case <-l.frozen:
			return // both connections stay open, without further traffic
		default:
		}
		r.mu.Lock()
		delay := time.Duration(r.faults.DelayMillis) * time.Millisecond
		r.mu.Unlock()
		time.Sleep(delay)
		if src == l.target {
			r.waitWhileHeld()
		}
		if _, werr := dst.Write(buffer[:n]); err != nil || werr != nil {
			r.closeLink(l)
			return
		}
	}
}

// holdPollInterval is how often copyBytes checks whether the Hold fault has ended.
const holdPollInterval = 10 * time.Millisecond

// waitWhileHeld blocks while the Hold fault is set.
func (r *Relay) waitWhileHeld() {
	for {
		r.mu.Lock()
		held := r.faults.Hold
		r.mu.Unlock()
		if !held {
			return
		}
		time.Sleep(holdPollInterval)
	}
}

// Close stops the relay and closes its connections, except for frozen ones.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.SetFaults(Faults{Cut: true})
}

// closeLink closes a link and removes it from the open links.
func (r *Relay) closeLink(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
	l.close()
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.target.Close()
}
