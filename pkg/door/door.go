// Package door is where clients come in: it takes requests from connections,
// checks their framing, hands them to the pipeline and writes the answers.
package door

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/forward"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
)

// maxBodyBytes bounds a body before the configuration's own limit is looked at.
const maxBodyBytes = 16 << 20

// closedRetry is when a client may come back that reached an instance in its last
// moment: at once, since the balancer sends it elsewhere.
const closedRetry = 50 * time.Millisecond

// Format is the platform's way to write requests and refusals.
type Format interface {
	DecodeRequest(h *protocol.RequestHeader, body []byte, now time.Time) *forward.Request
	EncodeRefusal(refusal *forward.Refusal) (status int, header []forward.Header)
}

// Pipeline serves decoded requests.
type Pipeline interface {
	Serve(ctx context.Context, r *forward.Request, client forward.Client)
}

// Options sizes a door.
type Options struct {
	// Address is the IP address and port to listen on.
	Address string
	// ReadTimeout bounds the reading of one request.
	ReadTimeout time.Duration
	Format      Format
	Pipeline    Pipeline
	// Overloaded reports whether callers are better served elsewhere: answers are then the last
	// of their connections. It may be nil.
	Overloaded func() bool
}

// Door serves clients.
type Door struct {
	opts     Options
	server   *httpserve.Server
	draining atomic.Bool
	closing  atomic.Bool
	active   atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Listen binds the address.
func Listen(opts Options) (*Door, error) {
	d := &Door{opts: opts, conns: map[net.Conn]bool{}}
	server, err := httpserve.Listen(httpserve.Options{
		Address:      opts.Address,
		MaxBodyBytes: maxBodyBytes,
		ReadTimeout:  opts.ReadTimeout,
		SenseLeaving: true,
		WrapConn:     d.track,
	})
	if err != nil {
		return nil, err
	}
	d.server = server
	server.NoRoute(d.handle)
	return d, nil
}

// Serve answers clients until Close.
func (d *Door) Serve() { d.server.Serve() }

// Drain makes every answer from now on the last of its connection.
func (d *Door) Drain() { d.draining.Store(true) }

// Refuse ends the taking of requests: those that are read from now on are refused as
// not run. When Active then returns 0, nothing is passed on any more. Without it a
// request that is read between the last look at Active and Close would be passed on
// and its connection closed.
func (d *Door) Refuse() { d.closing.Store(true) }

// Active returns how many requests are in progress.
func (d *Door) Active() int64 { return d.active.Load() }

// Close ends every connection and the server.
func (d *Door) Close() {
	d.server.StopListening()
	d.mu.Lock()
	for conn := range d.conns {
		_ = conn.Close()
	}
	d.mu.Unlock()
	d.server.Close()
}

// trackedConn is taken off the list when it is closed.
type trackedConn struct {
	net.Conn
	door *Door
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.door.mu.Lock()
	delete(c.door.conns, c.Conn)
	c.door.mu.Unlock()
	return c.Conn.Close()
}

// overloaded reports whether callers are better served elsewhere: one that keeps its connection comes
// back to this instance with each request.
func (d *Door) overloaded() bool { return d.opts.Overloaded != nil && d.opts.Overloaded() }

func (d *Door) track(conn net.Conn) net.Conn {
	d.mu.Lock()
	d.conns[conn] = true
	d.mu.Unlock()
	return &trackedConn{Conn: conn, door: d}
}

func (d *Door) handle(ctx context.Context, c *app.RequestContext) {
	d.active.Add(1)
	defer d.active.Add(-1)
	w := &writer{ctx: ctx, c: c, door: d}
	if d.closing.Load() { // looked at after the request was counted in
		w.Refuse(&forward.Refusal{Reason: forward.Stopping, RetryAfter: closedRetry})
		return
	}
	if err := checkFraming(c.Request.Header.RawHeaders()); err != nil {
		c.SetConnectionClose()
		w.Refuse(&forward.Refusal{Reason: forward.Malformed, Step: "framing", Err: err})
		return
	}
	r := d.opts.Format.DecodeRequest(&c.Request.Header, c.Request.Body(), time.Now())
	d.opts.Pipeline.Serve(ctx, r, w)
}

// errAborted ends a connection whose answer is not whole.
var errAborted = errors.New("answer was aborted")

// writer writes one answer. It implements forward.Client and, for streams, the
// library's response writer.
type writer struct {
	// ctx is the handler's; it ends when the client has left.
	ctx     context.Context
	c       *app.RequestContext
	door    *Door
	aborted bool
}

func (w *writer) head(status int, header []forward.Header) {
	w.c.SetStatusCode(status)
	for _, h := range header {
		w.c.Response.Header.Add(h.Name, h.Value)
	}
	if w.door.draining.Load() || w.door.overloaded() {
		w.c.SetConnectionClose()
	}
}

// Answer implements forward.Client.
func (w *writer) Answer(status int, header []forward.Header, body []byte) error {
	w.head(status, header)
	w.c.Response.SetBodyRaw(body)
	return nil
}

// Refuse implements forward.Client.
func (w *writer) Refuse(refusal *forward.Refusal) {
	status, header := w.door.opts.Format.EncodeRefusal(refusal)
	w.head(status, header)
	w.c.Response.Header.SetContentType("application/problem+json")
	w.c.Response.SetBodyString(`{"title":"` + string(refusal.Reason) + `"}`)
	if status == consts.StatusBadRequest {
		w.c.SetConnectionClose()
	}
}
