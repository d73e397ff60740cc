// Package httpserve starts HTTP servers with the timeouts and limits that all
// servers of the project share.
package httpserve

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	hertzconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/common/tracer/stats"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/buffermem"
)

// Timeouts and limits of every server.
const (
	// defaultReadTimeout limits the time to read one request, so that a client that
	// sends slowly or never finishes cannot hold a connection forever.
	defaultReadTimeout = 30 * time.Second
	// idleTimeout limits the time between two requests on a connection.
	idleTimeout = 60 * time.Second
	// exitTimeout limits the wait for open connections at shutdown. The library
	// cuts off streams after it, so the owner of a server must wait for its
	// requests before it closes the server.
	exitTimeout = 200 * time.Millisecond
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 64 << 10
	// defaultMaxConns is the default of Options.MaxConns.
	defaultMaxConns = 10_000
	// defaultBodies is how many of the largest bodies the default of Options.Memory holds.
	defaultBodies = 8
)

// Options configures a server.
type Options struct {
	// Address is the IP address and port to listen on.
	Address string
	// MaxBodyBytes limits the size of a request's body; a larger one is answered
	// with 413.
	MaxBodyBytes int
	// Limits returns the limits in force, which may change; nil for the defaults.
	Limits func() Limits
	// MaxConns limits the number of open connections. Beyond it, the one that waits longest is closed, never one
	// whose request is being served. Default 10,000.
	MaxConns int
	// Memory is the memory in which requests are buffered until they are answered. Default: of its own, for
	// defaultBodies of the largest bodies.
	Memory *buffermem.Pool
	// RejectBody answers a request whose body is not read whole; it is not passed on. The error is ErrBodyTooLarge,
	// ErrMemoryFull, ErrReadTimeout or ErrBodyBroken. The connection ends after the answer. Default: a status
	// without a body.
	RejectBody func(ctx context.Context, c *app.RequestContext, err error)
	// TLS configures TLS; nil means plain connections.
	TLS *tls.Config
	// ReadTimeout limits the time to read one request. Default 30 s.
	ReadTimeout time.Duration
	// CancelOnDisconnect cancels a request's context when its client closes the
	// connection, or the sending side of it.
	CancelOnDisconnect bool
	// WrapConn, if not nil, wraps each accepted connection.
	WrapConn func(net.Conn) net.Conn
	// Refuse answers the requests that are read after Server.Refuse. A server that has it ends each
	// connection in an orderly way. Nil for a server whose requests nobody has to miss.
	Refuse app.HandlerFunc
}

// Server is a running HTTP server.
type Server struct {
	// Hertz is the library's server, on which routes are registered.
	*server.Hertz
	opts     Options
	listener *listener
	active   *activeCounter
	conns    *connSet
	memory   *buffermem.Pool
	// lingers says that connections are read on after their last answer.
	lingers            bool
	draining, refusing atomic.Bool
	started            atomic.Bool
	// numExcess and numFull count what Excess returns.
	numExcess, numFull atomic.Int64
	done               chan struct{} // closed when no more connections are accepted
}

// withDefaults returns options whose defaults are filled in.
func (o Options) withDefaults() Options {
	o.ReadTimeout = positiveOr(o.ReadTimeout, defaultReadTimeout)
	o.MaxConns = positiveOr(o.MaxConns, defaultMaxConns)
	if o.Memory == nil {
		o.Memory = buffermem.NewRequestPool(defaultBodies*max(o.MaxBodyBytes, maxHeaderBytes), time.Now)
	}
	if o.RejectBody == nil {
		o.RejectBody = rejectBody
	}
	return o
}

// Listen creates a server and binds its address, so that an address in use is
// reported immediately. Serve starts answering requests.
func Listen(opts Options) (*Server, error) {
	hlog.SetOutput(io.Discard) // the library's own log lines are not events of the event log
	opts = opts.withDefaults()
	s := &Server{
		opts: opts, active: &activeCounter{}, conns: newConnSet(opts.MaxConns), memory: opts.Memory,
		lingers: opts.Refuse != nil, done: make(chan struct{}),
	}
	bound, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return nil, err
	}
	s.listener = &listener{TCPListener: bound.(*net.TCPListener), accepted: s.trackConn}
	options := []hertzconfig.Option{
		{F: func(o *hertzconfig.Options) { o.NoDefaultServerHeader = true }},
		server.WithListener(s.listener),
		server.WithTransport(newTransport),
		server.WithStreamBody(true),
		server.WithMaxRequestBodySize(prefetchBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithReadTimeout(opts.ReadTimeout),
		server.WithOnAccept(withConn),
		server.WithIdleTimeout(idleTimeout),
		server.WithKeepAliveTimeout(idleTimeout),
		server.WithExitWaitTime(exitTimeout),
		server.WithDisablePrintRoute(true),
		server.WithUseRawPath(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
		server.WithTracer(s.active),
		server.WithTraceLevel(stats.LevelDisabled),
	}
	s.Hertz = server.New(options...)
	s.Use(s.admit)
	return s, nil
}

// trackConn returns an accepted connection as one of the server's; nil if it has been closed, because there are too many.
func (s *Server) trackConn(accepted net.Conn) net.Conn {
	if s.opts.WrapConn != nil {
		accepted = s.opts.WrapConn(accepted)
	}
	c := &conn{Conn: accepted, server: s, fresh: true}
	c.stream = c
	s.conns.add(c)
	if s.closeExcess(c) {
		return nil
	}
	if s.opts.TLS == nil {
		return c
	}
	c.stream = tls.Server(c, s.opts.TLS)
	return tlsConn{Conn: c.stream, accepted: c}
}

// closeExcess closes connections until there are not too many, and reports whether an accepted one is among them.
func (s *Server) closeExcess(accepted *conn) bool {
	for excess := s.conns.excess(); excess != nil; excess = s.conns.excess() {
		if !excess.cutIfWaiting() {
			continue // its request is being served since
		}
		s.numExcess.Add(1)
		if excess == accepted {
			return true
		}
	}
	return false
}

// tlsConn is TLS on an accepted connection.
type tlsConn struct {
	net.Conn
	accepted *conn
}

// admit reads a request's body, counts the request as active and has it served or, after Refuse, refused. The order
// matters: a request that is served has been counted before Refuse.
func (s *Server) admit(ctx context.Context, c *app.RequestContext) {
	conn := connOf(ctx)
	if !s.receiveBody(ctx, c, conn.reader) {
		return
	}
	s.active.begin(c)
	if s.opts.Refuse != nil && s.refusing.Load() {
		s.active.end(c)
		s.opts.Refuse(ctx, c)
		c.SetConnectionClose()
		c.Abort()
		return
	}
	ctx, done := conn.beginServing(ctx)
	defer done()
	c.Next(ctx)
	if s.draining.Load() && c.Response.GetHijackWriter() == nil { // otherwise the head has been sent
		c.SetConnectionClose()
	}
}

// withConn returns the context of a connection's requests, which holds the connection.
func withConn(accepted net.Conn) context.Context {
	if encrypted, ok := accepted.(tlsConn); ok {
		accepted = encrypted.accepted
	}
	return context.WithValue(context.Background(), connKey{}, accepted)
}

// Abort closes a request's connection. ctx is the context of the request's handler.
func Abort(ctx context.Context, c *app.RequestContext) {
	if conn := connOf(ctx); conn != nil {
		conn.cut()
	}
	_ = c.GetConn().Close()
}

// HandleJSON returns a handler that decodes a JSON body and passes it to a function.
// A body that cannot be decoded is answered with 400.
func HandleJSON[T any](handle func(T)) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		var body T
		if json.Unmarshal(c.Request.Body(), &body) != nil {
			c.SetStatusCode(consts.StatusBadRequest)
			return
		}
		handle(body)
	}
}

// Serve answers requests in the background until Close.
func (s *Server) Serve() {
	s.started.Store(true)
	if s.opts.CancelOnDisconnect {
		go s.watchDepartures()
	}
	go func() {
		defer close(s.done)
		_ = s.Run() // returns when the listener closes
	}()
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// StopListening refuses new connections; open ones stay open.
func (s *Server) StopListening() { _ = s.listener.Close() }

// Close stops listening and shuts down the server.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*exitTimeout)
	defer cancel()
	_ = s.Shutdown(ctx)
	_ = s.listener.Close()
}
