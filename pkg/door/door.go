// Package door is the server for clients: it reads requests from connections,
// checks their framing, passes them to the pipeline and writes the answers.
package door

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/buffermem"
	"github.com/lavenderring/lavenderring/pkg/forward"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
)

// maxBodyBytes bounds a body while there is no configuration with a limit of its own.
const maxBodyBytes = 16 << 20

// memoryRetryAfter is the Retry-After of a request that found no memory: another instance may have some.
const memoryRetryAfter = 150 * time.Millisecond

// stoppingRetryAfter is the Retry-After of a request that reaches an instance just before the instance
// closes its connections. It is short, since the load balancer sends the retry to another instance.
const stoppingRetryAfter = 50 * time.Millisecond

// Format decodes requests and encodes refusals in the platform's format.
type Format interface {
	DecodeRequest(h *protocol.RequestHeader, body []byte, now time.Time) *forward.Request
	EncodeRefusal(refusal *forward.Refusal) (status int, header []forward.Header)
}

// Pipeline serves decoded requests.
type Pipeline interface {
	Serve(ctx context.Context, r *forward.Request, client forward.Client)
}

// Refuser is a Pipeline that records the requests that the server refuses.
type Refuser interface {
	// Refuse refuses a request whose body was not read.
	Refuse(r *forward.Request, client forward.Client, refusal *forward.Refusal)
}

// Options configures a Server.
type Options struct {
	// Address is the IP address and port to listen on.
	Address string
	// ReadTimeout bounds the time to read one request.
	ReadTimeout time.Duration
	// Limits returns the limits in force; nil for defaults.
	Limits func() httpserve.Limits
	// MaxConns bounds the clients' connections, and Memory the memory for their requests; both have defaults.
	MaxConns int
	Memory   *buffermem.Pool
	Format   Format
	Pipeline Pipeline
	// Overloaded reports whether other instances can serve clients better: each answer is then the
	// last on its connection. It may be nil.
	Overloaded func() bool
}

// Server serves clients.
type Server struct {
	opts       Options
	httpServer *httpserve.Server
}

// Listen returns a server that is bound to its address and does not serve yet.
func Listen(opts Options) (*Server, error) {
	s := &Server{opts: opts}
	server, err := httpserve.Listen(httpserve.Options{
		Address:            opts.Address,
		MaxBodyBytes:       maxBodyBytes,
		ReadTimeout:        opts.ReadTimeout,
		CancelOnDisconnect: true,
		Refuse:             s.refuse,
		Limits:             opts.Limits,
		MaxConns:           opts.MaxConns,
		Memory:             opts.Memory,
		RejectBody:         s.rejectBody,
	})
	if err != nil {
		return nil, err
	}
	s.httpServer = server
	server.NoRoute(s.handle)
	return s, nil
}

// Serve answers clients until Close.
func (s *Server) Serve() { s.httpServer.Serve() }

// Drain makes every answer from now on the last on its connection.
func (s *Server) Drain() { s.httpServer.Drain() }

// Refuse makes the server refuse all requests that are read from now on as not run. When
// NumActive then returns 0, no more requests are passed to the pipeline. Without Refuse, a
// request that is read between the last call of NumActive and Close would be passed on
// and then its connection closed.
func (s *Server) Refuse() { s.httpServer.Refuse() }

// NumActive returns the number of requests in progress, without those that are refused because of Refuse; a
// request is in progress until its answer has been written to its end.
func (s *Server) NumActive() int64 { return s.httpServer.NumActive() }

// AwaitIdle waits until no request is in progress; it returns ctx's error if ctx is done first.
func (s *Server) AwaitIdle(ctx context.Context) error { return s.httpServer.AwaitIdle(ctx) }

// Close closes the server as CloseBy does.
func (s *Server) Close() { s.CloseBy(time.Now().Add(httpserve.CloseTimeout)) }

// CloseBy closes the server, at the latest at the deadline. Requests in progress are cut off; those that
// still arrive are refused before their connections are closed.
func (s *Server) CloseBy(deadline time.Time) { s.httpServer.CloseBy(deadline) }

// overloaded reports whether other instances can serve clients better. The connection is then closed after
// the answer: a client that kept it would send each request to this instance.
func (s *Server) overloaded() bool { return s.opts.Overloaded != nil && s.opts.Overloaded() }

// refuse answers a request that is read after Refuse.
func (s *Server) refuse(ctx context.Context, c *app.RequestContext) {
	w := &responseWriter{ctx: ctx, c: c, server: s}
	w.Refuse(&forward.Refusal{Reason: forward.Stopping, RetryAfter: stoppingRetryAfter})
}

// rejectBody answers a request whose body was not read whole.
func (s *Server) rejectBody(ctx context.Context, c *app.RequestContext, err error) {
	refusal := &forward.Refusal{Reason: forward.Malformed, Step: "read", Err: err}
	switch {
	case errors.Is(err, httpserve.ErrBodyTooLarge):
		refusal.Reason = forward.BodyTooLarge
	case errors.Is(err, httpserve.ErrMemoryFull):
		refusal.Reason, refusal.RetryAfter = forward.Overloaded, memoryRetryAfter
	case errors.Is(err, httpserve.ErrReadTimeout):
		refusal.Reason = forward.NotReadInTime
	}
	w := &responseWriter{ctx: ctx, c: c, server: s}
	if refuser, ok := s.opts.Pipeline.(Refuser); ok {
		refuser.Refuse(s.opts.Format.DecodeRequest(&c.Request.Header, nil, time.Now()), w, refusal)
		return
	}
	w.Refuse(refusal)
}

// Excess returns what the server did not take on because of its bounds.
func (s *Server) Excess() httpserve.Excess { return s.httpServer.Excess() }

func (s *Server) handle(ctx context.Context, c *app.RequestContext) {
	w := &responseWriter{ctx: ctx, c: c, server: s}
	if err := checkFraming(c.Request.Header.RawHeaders()); err != nil {
		c.SetConnectionClose()
		w.Refuse(&forward.Refusal{Reason: forward.Malformed, Step: "framing", Err: err})
		return
	}
	r := s.opts.Format.DecodeRequest(&c.Request.Header, c.Request.Body(), time.Now())
	s.opts.Pipeline.Serve(ctx, r, w)
}

// errAborted makes the library close a connection whose answer is incomplete.
var errAborted = errors.New("answer was aborted before its end")

// responseWriter writes one answer. It implements forward.Client; streams are written through
// a streamWriter.
type responseWriter struct {
	// ctx is the handler's; it ends when the client is gone.
	ctx     context.Context
	c       *app.RequestContext
	server  *Server
	aborted bool
}

func (w *responseWriter) setHead(status int, header []forward.Header) {
	w.c.SetStatusCode(status)
	for _, h := range header {
		w.c.Response.Header.Add(h.Name, h.Value)
	}
	if w.server.httpServer.IsDraining() || w.server.overloaded() {
		w.c.SetConnectionClose()
	}
}

// Answer implements forward.Client.
func (w *responseWriter) Answer(status int, header []forward.Header, body []byte) error {
	w.setHead(status, header)
	w.c.Response.SetBodyRaw(body)
	return nil
}

// IsGone implements forward.DepartureChecker.
func (w *responseWriter) IsGone() bool { return httpserve.ClientGone(w.ctx) }

// OnWritten implements forward.WrittenNotifier: the library writes an answer after the handler has returned.
func (w *responseWriter) OnWritten(done func()) { httpserve.OnWritten(w.c, done) }

// Refuse implements forward.Client.
func (w *responseWriter) Refuse(refusal *forward.Refusal) {
	status, header := w.server.opts.Format.EncodeRefusal(refusal)
	w.setHead(status, header)
	w.c.Response.Header.SetContentType("application/problem+json")
	w.c.Response.SetBodyString(`{"title":"` + string(refusal.Reason) + `"}`)
	if status == consts.StatusBadRequest {
		w.c.SetConnectionClose()
	}
}
