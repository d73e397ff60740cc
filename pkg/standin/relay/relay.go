// Package relay forwards TCP connections from one address to another and can cut, freeze, hold,
// pause or delay them, to simulate network faults.
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
	// Pause delays what both sides send until Pause is unset, also on new connections.
	Pause bool `json:"pause"`
	// PassBytes is the number of bytes of what the target sends that Hold and Pause let through in each
	// buffer, so that they interrupt an answer within its body.
	PassBytes int `json:"pass_bytes"`
	// DelayMillis delays each forwarded buffer, in both directions.
	DelayMillis int64 `json:"delay_millis"`
}

// Relay is a running relay.
type Relay struct {
	target   string
	dial     func(address string) (net.Conn, error)
	listener net.Listener
	control  *httpserve.Server

	mu     sync.Mutex
	faults Faults
	links  map[*link]bool
	// refused has the clients' addresses of the last connections that the target did not accept.
	refused map[string]bool
}

// link is one forwarded connection. frozen is closed when the connection is frozen. target is nil until the
// target is connected, and cut says that the link was closed; both are guarded by Relay.mu.
type link struct {
	client, target net.Conn
	frozen         chan struct{}
	cut            bool
}

// Start listens on an address and forwards connections to the target. If control is not empty, the
// relay takes POST /faults on that address.
func Start(listen, control, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, dial: dial, listener: listener, links: map[*link]bool{}, refused: map[string]bool{}}
	if control != "" {
		if err := r.startControl(control); err != nil {
			return nil, err
		}
	}
	go r.accept()
	return r, nil
}

func dial(address string) (net.Conn, error) { return net.Dial("tcp", address) }

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
	l := r.open(client)
	if l == nil {
		_ = client.Close()
		return
	}
	target, err := r.dial(r.target)
	r.noteAccepted(client.RemoteAddr().String(), err == nil)
	if err != nil {
		r.closeLink(l)
		return
	}
	if !r.join(l, target) {
		_ = target.Close()
		return
	}
	go r.copyBytes(l, client, target)
	r.copyBytes(l, target, client)
}

// open returns an accepted connection's link, which counts as open from now on; nil if it is to be cut.
func (r *Relay) open(client net.Conn) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Cut {
		return nil
	}
	l := &link{client: client, frozen: make(chan struct{})}
	r.links[l] = true
	return l
}

// join adds the connection to the target to a link, and reports false if the link was cut meanwhile.
func (r *Relay) join(l *link, target net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.cut {
		delete(r.links, l)
		return false
	}
	l.target = target
	return true
}

// noteAccepted records whether the target accepted a client's connection.
func (r *Relay) noteAccepted(client string, accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if accepted {
		delete(r.refused, client)
		return
	}
	r.refused[client] = true
}

// Refused reports whether the target did not accept the last connection from a client's address. The client
// sees such a connection accepted and then closed, while without the relay it would be refused.
func (r *Relay) Refused(client string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused[client]
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
		passed := 0
		if src == l.target {
			passed = min(r.passBytes(), n)
			_, _ = dst.Write(buffer[:passed]) // a failure repeats at the next write
		}
		r.waitWhileHeld(src == l.target)
		if _, werr := dst.Write(buffer[passed:n]); err != nil || werr != nil {
			r.closeLink(l)
			return
		}
	}
}

// passBytes returns how many bytes of an answer's next buffer are let through before it is held; 0 if
// answers are not held.
func (r *Relay) passBytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.faults.Hold && !r.faults.Pause {
		return 0
	}
	return r.faults.PassBytes
}

// holdPollInterval is how often copyBytes checks whether the Hold and Pause faults have ended.
const holdPollInterval = 10 * time.Millisecond

// waitWhileHeld blocks while a fault holds what is sent in a direction.
func (r *Relay) waitWhileHeld(isAnswer bool) {
	for {
		r.mu.Lock()
		held := r.faults.Pause || r.faults.Hold && isAnswer
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

// close closes the link's connections. The caller holds Relay.mu.
func (l *link) close() {
	l.cut = true
	_ = l.client.Close()
	if l.target != nil {
		_ = l.target.Close()
	}
}
