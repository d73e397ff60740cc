// Package httpserve starts HTTP servers with the bounds that every server of the
// project shares.
package httpserve

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	hertzconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// Bounds of every server.
const (
	// defaultReadTimeout bounds the reading of one request, so that a caller who
	// sends slowly or never ends holds one connection for a bounded time only.
	defaultReadTimeout = 30 * time.Second
	// idleTimeout bounds the silence between two requests of a connection.
	idleTimeout = 60 * time.Second
	// exitWait bounds the wait for idle connections at a stop. Owners count
	// their own requests and wait for them before they shut a server down:
	// the library cuts streams off when this has passed.
	exitWait = 200 * time.Millisecond
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
)

// Options names a server.
type Options struct {
	// Address is the IP address and port to listen on.
	Address string
	// MaxBodyBytes bounds a request's body; above it the answer is 413.
	MaxBodyBytes int
	// TLS secures the connections; nil for plain ones.
	TLS *tls.Config
	// ReadTimeout bounds the reading of one request. Default 30 s.
	ReadTimeout time.Duration
	// SenseLeaving ends a request's context when its client closes the
	// connection.
	SenseLeaving bool
	// WrapConn, if not nil, stands before each accepted connection.
	WrapConn func(net.Conn) net.Conn
}

// Server is a running HTTP server.
type Server struct {
	// Hertz takes the routes.
	*server.Hertz
	listener net.Listener
	done     chan struct{}
}

// Listen binds the address, so that a taken one is known at once.
func Listen(opts Options) (*Server, error) {
	hlog.SetOutput(io.Discard) // the library's own lines are not numbered events
	listener, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return nil, err
	}
	if opts.WrapConn != nil {
		listener = wrappedListener{Listener: listener, wrap: opts.WrapConn}
	}
	readTimeout := opts.ReadTimeout
	if readTimeout <= 0 {
		readTimeout = defaultReadTimeout
	}
	options := []hertzconfig.Option{
		{F: func(o *hertzconfig.Options) { o.NoDefaultServerHeader = true }},
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(opts.MaxBodyBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithReadTimeout(readTimeout),
		server.WithOnAccept(boundFirstRead(readTimeout)),
		server.WithIdleTimeout(idleTimeout),
		server.WithKeepAliveTimeout(idleTimeout),
		server.WithExitWaitTime(exitWait),
		server.WithDisablePrintRoute(true),
		server.WithUseRawPath(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
		server.WithSenseClientDisconnection(opts.SenseLeaving),
	}
	if opts.TLS != nil {
		options = append(options, server.WithTLS(opts.TLS))
	}
	hertz := server.New(options...)
	return &Server{Hertz: hertz, listener: listener, done: make(chan struct{})}, nil
}

// boundFirstRead bounds the reading of a connection's first request. The library
// sets its read bound before later requests only: a caller who connects and sends
// half a body would hold the connection for ever.
func boundFirstRead(bound time.Duration) func(net.Conn) context.Context {
	return func(conn net.Conn) context.Context {
		_ = conn.SetReadDeadline(time.Now().Add(bound))
		return context.Background()
	}
}

// wrappedListener puts something before each connection.
type wrappedListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l wrappedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// abortWait bounds the wait for the library's reader. It ends at once when the
// connection closes; it has ended before if the client sent more bytes.
const abortWait = 100 * time.Millisecond

// Abort closes a request's connection and waits until the library has stopped
// reading from it; ctx is the handler's, of a server that senses clients' leaving.
// When an answer cannot be ended the library gives the connection's buffers away
// while its reader may still fill them: bytes of one client would land in another's
// request. The reader ends ctx as its last act.
func Abort(ctx context.Context, c *app.RequestContext) {
	_ = c.GetConn().Close()
	select {
	case <-ctx.Done():
	case <-time.After(abortWait):
	}
}

// Take makes a handler that decodes a JSON body and hands it on; a body that is
// none is answered with 400.
func Take[T any](take func(T)) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		var body T
		if json.Unmarshal(c.Request.Body(), &body) != nil {
			c.SetStatusCode(consts.StatusBadRequest)
			return
		}
		take(body)
	}
}

// Serve answers requests in the background until Close.
func (s *Server) Serve() {
	go func() {
		defer close(s.done)
		_ = s.Run() // returns when the listener closes
	}()
}

// StopListening refuses new connections; open ones go on.
func (s *Server) StopListening() { _ = s.listener.Close() }

// Close stops listening and ends the server.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*exitWait)
	defer cancel()
	_ = s.Shutdown(ctx)
	_ = s.listener.Close()
}
