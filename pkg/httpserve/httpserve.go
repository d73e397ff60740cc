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
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
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
)

// Options configures a server.
type Options struct {
	// Address is the IP address and port to listen on.
	Address string
	// MaxBodyBytes limits the size of a request's body; a larger one is answered
	// with 413.
	MaxBodyBytes int
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
	listener *listener
	active   *activeCounter
	conns    connSet
	wrapConn func(net.Conn) net.Conn
	refuse   app.HandlerFunc
	// lingers says that connections are read on after their last answer.
	lingers bool
	// cancelsOnDisconnect says that a request ends when its client is gone.
	cancelsOnDisconnect bool
	draining, refusing  atomic.Bool
	started             atomic.Bool
	done                chan struct{} // closed when no more connections are accepted
}

// Listen creates a server and binds its address, so that an address in use is
// reported immediately. Serve starts answering requests.
func Listen(opts Options) (*Server, error) {
	hlog.SetOutput(io.Discard) // the library's own log lines are not events of the event log
	s := &Server{
		active: &activeCounter{}, conns: connSet{open: map[*conn]bool{}}, wrapConn: opts.WrapConn,
		refuse: opts.Refuse, lingers: opts.Refuse != nil, cancelsOnDisconnect: opts.CancelOnDisconnect, done: make(chan struct{}),
	}
	bound, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return nil, err
	}
	s.listener = &listener{TCPListener: bound.(*net.TCPListener), accepted: s.trackConn}
	readTimeout := opts.ReadTimeout
	if readTimeout <= 0 {
		readTimeout = defaultReadTimeout
	}
	options := []hertzconfig.Option{
		{F: func(o *hertzconfig.Options) { o.NoDefaultServerHeader = true }},
		server.WithListener(s.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(opts.MaxBodyBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithReadTimeout(readTimeout),
		server.WithOnAccept(prepareConn(readTimeout)),
		server.WithIdleTimeout(idleTimeout),
		server.WithKeepAliveTimeout(idleTimeout),
		server.WithExitWaitTime(exitTimeout),
		server.WithDisablePrintRoute(true),
		server.WithUseRawPath(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
		server.WithSenseClientDisconnection(opts.CancelOnDisconnect),
		server.WithTracer(s.active),
		server.WithTraceLevel(stats.LevelDisabled),
	}
	if opts.TLS != nil {
		options = append(options, server.WithTLS(opts.TLS))
	}
	s.Hertz = server.New(options...)
	s.Use(s.admit)
	return s, nil
}

// trackConn returns an accepted connection as one of the server's.
func (s *Server) trackConn(accepted net.Conn) net.Conn {
	if s.wrapConn != nil {
		accepted = s.wrapConn(accepted)
	}
	c := &conn{Conn: accepted, server: s, fresh: true}
	s.conns.add(c)
	return c
}

// admit counts a request as active and has it served or, after Refuse, refused. The order matters: a request
// that is served has been counted before Refuse.
func (s *Server) admit(ctx context.Context, c *app.RequestContext) {
	s.active.begin(c)
	if s.refuse != nil && s.refusing.Load() {
		s.active.end(c)
		s.refuse(ctx, c)
		c.SetConnectionClose()
		c.Abort()
		return
	}
	if conn := connOf(ctx); conn != nil {
		var cancel context.CancelFunc
		ctx, cancel = conn.beginServing(ctx)
		defer cancel()
	}
	c.Next(ctx)
	if s.draining.Load() && c.Response.GetHijackWriter() == nil { // otherwise the head has been sent
		c.SetConnectionClose()
	}
}

// prepareConn returns a function that sets the read deadline for a connection's
// first request, and passes the connection on in the context of its requests. The
// library applies its read timeout only from the second request on, so a client that
// connects and sends half a body would hold the connection forever.
func prepareConn(bound time.Duration) func(net.Conn) context.Context {
	return func(accepted net.Conn) context.Context {
		_ = accepted.SetReadDeadline(time.Now().Add(bound))
		return context.WithValue(context.Background(), connKey{}, accepted)
	}
}

// abortTimeout limits the wait for the library's reader. The reader stops as soon as
// the connection closes, or has stopped earlier if the client sent more bytes.
const abortTimeout = 100 * time.Millisecond

// Abort closes a request's connection and waits until the library has stopped
// reading from it. Without the wait, the library releases the connection's buffers
// for reuse while its reader may still fill them, if a response cannot be
// completed; bytes of one client could then end up in the request of another. ctx
// is the context of the request's handler. The server must have been started with
// CancelOnDisconnect: its reader cancels ctx as its last action.
func Abort(ctx context.Context, c *app.RequestContext) {
	conn := connOf(ctx)
	if conn != nil {
		conn.cut()
	}
	_ = c.GetConn().Close()
	if conn != nil {
		conn.awaitReader(abortTimeout)
	}
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
	if s.cancelsOnDisconnect {
		go s.watchDepartures()
	}
	go func() {
		defer close(s.done)
		_ = s.Run() // returns when the listener closes
	}()
}

// StopListening refuses new connections; open ones stay open.
func (s *Server) StopListening() { _ = s.listener.Close() }

// Close stops listening and shuts down the server.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*exitTimeout)
	defer cancel()
	_ = s.Shutdown(ctx)
	_ = s.listener.Close()
}
