// Package relay passes TCP connections on between two addresses and can cut,
// freeze or delay them, to bring about what networks do.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/httpserve"
)

// chunkBytes is how much is passed on at once.
const chunkBytes = 16 << 10

// maxControlBytes bounds a control request.
const maxControlBytes = 1 << 16

// Faults switches what goes wrong.
type Faults struct {
	// Cut refuses new connections and closes the open ones.
	Cut bool `json:"cut"`
	// Freeze leaves the connections that are open now open and passes nothing
	// on in them, for good; new ones work.
	Freeze bool `json:"freeze"`
	// Hold keeps back what comes from the far end: requests pass and answers do not,
	// until it is lifted.
	Hold bool `json:"hold"`
	// DelayMillis delays each chunk.
	DelayMillis int64 `json:"delay_millis"`
}

// Relay is a running relay.
type Relay struct {
	to       string
	listener net.Listener
	control  *httpserve.Server

	mu     sync.Mutex
	faults Faults
	links  map[*link]bool
}

// link is one connection passed on.
type link struct {
	in, out net.Conn
	frozen  chan struct{}
}

// Start listens and passes connections on to an address. control may be empty.
func Start(listen, control, to string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{to: to, listener: listener, links: map[*link]bool{}}
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

// SetFaults switches faults.
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
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(in)
	}
}

func (r *Relay) pass(in net.Conn) {
	r.mu.Lock()
	cut := r.faults.Cut
	r.mu.Unlock()
	if cut {
		_ = in.Close()
		return
	}
	out, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = in.Close()
		return
	}
	l := &link{in: in, out: out, frozen: make(chan struct{})}
	r.mu.Lock()
	r.links[l] = true
	r.mu.Unlock()
	go r.copy(l, in, out)
	r.copy(l, out, in)
}

func (r *Relay) copy(l *link, from, to net.Conn) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		select {
		case <-l.frozen:
			return // both ends stay open, and nothing passes any more
		default:
		}
		r.mu.Lock()
		delay := time.Duration(r.faults.DelayMillis) * time.Millisecond
		r.mu.Unlock()
		time.Sleep(delay)
		if from == l.out {
			r.awaitLifted()
		}
		if _, werr := to.Write(buffer[:n]); err != nil || werr != nil {
			r.drop(l)
			return
		}
	}
}

// holdCheck is how often a held answer looks whether it may pass.
const holdCheck = 10 * time.Millisecond

func (r *Relay) awaitLifted() {
	for {
		r.mu.Lock()
		held := r.faults.Hold
		r.mu.Unlock()
		if !held {
			return
		}
		time.Sleep(holdCheck)
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.SetFaults(Faults{Cut: true})
}

func (r *Relay) drop(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
	l.close()
}

func (l *link) close() {
	_ = l.in.Close()
	_ = l.out.Close()
}
