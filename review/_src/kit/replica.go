package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/platform"
)

// Names of the headers.
var Names = platform.UpstreamHeaders

// Exchange is one request at a replica, with the connection that it came over.
type Exchange struct {
	Replica *Replica
	Request *http.Request
	Body    []byte
	// ID is the client attempt's id.
	ID string
	// Conn is the connection, Number the request's number on it from 1, State what the handler keeps for it.
	Conn   net.Conn
	Number int
	State  map[string]string
}

// Handler answers a request. It returns false to close the connection.
type Handler func(e *Exchange) (keep bool)

// Replica is an HTTP server of its own. The requests of a connection are served in turn.
type Replica struct {
	ID, Service, Zone, Address string
	// Version is the version of the replica's software.
	Version  string
	Slots    int
	born     int64
	handle   Handler
	listener net.Listener
	d        *Deployment

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// StartReplica starts a replica and writes its entry into the store.
func (d *Deployment) StartReplica(id, service, zone string, slots int, handle Handler) (*Replica, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	r := &Replica{
		ID: id, Service: service, Zone: zone, Version: "v1", Slots: slots, Address: listener.Addr().String(), born: time.Now().UnixMilli(),
		handle: handle, listener: listener, d: d, conns: map[net.Conn]bool{},
	}
	d.replicas = append(d.replicas, r)
	go r.accept(listener)
	return r, d.Announce(r, "ready")
}

func (r *Replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.closed {
			r.mu.Unlock()
			_ = conn.Close()
			continue
		}
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serve(conn)
	}
}

func (r *Replica) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	state := map[string]string{}
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		e := &Exchange{
			Replica: r, Request: request, Body: body, ID: request.Header.Get(Names.RequestID), Conn: conn, Number: number, State: state,
		}
		if expected := request.Header.Get(Names.Expected); expected != "" && expected != r.ID {
			if e.Answer(http.StatusMisdirectedRequest, "Content-Length: 0") != nil {
				return
			}
			continue
		}
		if !r.handle(e) {
			return
		}
	}
}

// Answer writes an answer with header lines and no body.
func (e *Exchange) Answer(status int, lines ...string) error {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), Names.RequestID, e.ID)
	for _, line := range lines {
		text += line + "\r\n"
	}
	_, err := io.WriteString(e.Conn, text+"\r\n")
	return err
}

// Whole writes a signed answer with a body.
func (e *Exchange) Whole(status int, body string, lines ...string) error {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: seal-%s-%s\r\nContent-Length: %d\r\n", status, http.StatusText(status),
		Names.RequestID, e.ID, Names.Seal, e.Replica.ID, e.ID, len(body))
	for _, line := range lines {
		text += line + "\r\n"
	}
	_, err := io.WriteString(e.Conn, text+"\r\n"+body)
	return err
}

// NotExecuted writes the answer of a replica that did not run the request.
func (e *Exchange) NotExecuted(status int, lines ...string) error {
	return e.Answer(status, append(lines, Names.NotRun+": 1", "Content-Length: 0")...)
}

// Deadline returns how long the sender waits.
func (e *Exchange) Deadline() time.Duration {
	ms, _ := strconv.ParseInt(e.Request.Header.Get(Names.Deadline), 10, 64)
	return time.Duration(ms) * time.Millisecond
}

// Close ends the replica and its connections.
func (r *Replica) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// Fall ends the replica as a crash does: connections are reset, and its address refuses connections.
func (r *Replica) Fall() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	r.conns = map[net.Conn]bool{}
}

// Rise starts a fallen replica again at its address, as a new process under the same id, and writes its entry.
func (r *Replica) Rise() error {
	if err := r.Listen(); err != nil {
		return err
	}
	return r.d.Announce(r, "ready")
}

// Listen starts a fallen replica again without writing its entry.
func (r *Replica) Listen() error {
	listener, err := net.Listen("tcp", r.Address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener, r.closed = listener, false
	r.born = time.Now().UnixMilli()
	r.mu.Unlock()
	go r.accept(listener)
	return nil
}
