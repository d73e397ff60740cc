package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/coldlimit"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/placement"
	"github.com/lavenderring/lavenderring/pkg/reach"
	"github.com/lavenderring/lavenderring/pkg/routing"
)

// unreachedLinks are links to upstreams that nobody reaches until a time. Lost connections time out.
type unreachedLinks struct {
	until time.Time
	// answers holds the answers to the requests in their order; the last one is repeated.
	answers []string
	// lostAfterFirst is how long nobody reaches an upstream after the first connection.
	lostAfterFirst time.Duration
	// onFirst is called with the first request; nil for nothing.
	onFirst func()
	// forwarder is what connects over the links.
	forwarder *Forwarder

	mu     sync.Mutex
	served int
}

// dial is an httpconn.DialFunc.
func (l *unreachedLinks) dial(ctx context.Context, _ string) (net.Conn, error) {
	l.mu.Lock()
	lost := time.Now().Before(l.until)
	l.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: context.DeadlineExceeded}
	}
	near, far := net.Pipe()
	go l.serve(far)
	return near, nil
}

// serve answers the first request on a connection and closes it.
func (l *unreachedLinks) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, l.nextAnswer())
}

func (l *unreachedLinks) nextAnswer() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := l.answers[min(l.served, len(l.answers)-1)]
	if l.served++; l.served == 1 {
		l.until = time.Now().Add(l.lostAfterFirst)
		if l.onFirst != nil {
			l.onFirst()
		}
	}
	return answer
}

// Open implements reach.Tunnels: no other instance reaches an upstream.
func (l *unreachedLinks) Open(context.Context, reach.Target) (*httpconn.Conn, string, error) {
	return nil, "", errors.New("nobody reaches the upstream")
}

// serveOver sends one request to two upstreams over the links.
func serveOver(l *unreachedLinks, route routing.Route) *streamRecorder {
	f := forwarderTo(route, resumingCodec{}, "10.0.0.1:1", "10.0.0.2:1")
	direct := &reach.Direct{Dial: l.dial, Pool: f.Conns, Paths: reach.NewPaths(time.Now, nil), Now: time.Now}
	f.Links = &reach.Connector{Direct: direct, Tunnels: l}
	client := &streamRecorder{}
	f.Serve(context.Background(), &Request{ID: "1", Method: "POST", Target: "/", Host: "h", Path: "/", Arrived: time.Now()}, client)
	return client
}

// Guards against requests that are kept until nobody else can serve them: if no upstream is reached for long,
// the client is refused as not run while it has the time to go elsewhere.
func TestRequestIsNotKeptForUnreachedUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 9 * time.Second
		began := time.Now()
		l := &unreachedLinks{until: began.Add(time.Hour)}
		client := serveOver(l, routing.Route{Kind: routing.Idempotent, Timeout: timeout, MaxAttempts: 3})
		if client.refusal == nil || client.refusal.Reason != Overloaded || client.refusal.RetryAfter <= 0 || time.Since(began) > timeout/2 {
			t.Errorf("after %v: %+v", time.Since(began), client.refusal)
		}
	})
}

// Guards against streams that are cut off because no upstream accepts a connection at the moment at which
// they are to be resumed: the client has nothing better than to wait.
func TestBegunStreamOutlastsUnreachedUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		l := &unreachedLinks{lostAfterFirst: 4 * time.Second}
		l.answers = []string{head + "f\r\nid: 1\ndata: a\n\n\r\n", head + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"}
		client := serveOver(l, routing.Route{
			Kind: routing.Stream, Resumable: true, Timeout: 9 * time.Second, Objective: time.Second, MaxPause: time.Second, MaxAttempts: 2,
		})
		if client.events != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" || client.aborted {
			t.Errorf("received %q, aborted %t, refusal %v", client.events, client.aborted, client.refusal)
		}
	})
}

// waitingColdLimit allows nothing at cold upstreams until a time.
type waitingColdLimit struct{ until time.Time }

// Allows implements placement.ColdLimit.
func (l waitingColdLimit) Allows(string, coldlimit.Bound) bool { return !time.Now().Before(l.until) }

// Sent implements placement.ColdLimit.
func (waitingColdLimit) Sent(string) time.Time { return time.Now() }

// NotSent implements placement.ColdLimit.
func (waitingColdLimit) NotSent(string, time.Time) {}

// resumeLater serves a stream whose first upstream breaks off after an event, over the links, at a service that
// limits the requests to cold upstreams.
func resumeLater(l *unreachedLinks, service routing.Service, limit placement.ColdLimit) *streamRecorder {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	l.answers = []string{head + "f\r\nid: 1\ndata: a\n\n\r\n", head + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"}
	route := routing.Route{
		Kind: routing.Stream, Resumable: true, Timeout: 9 * time.Second, Objective: time.Second, MaxPause: time.Second, MaxAttempts: 2,
	}
	f := forwarderTo(route, resumingCodec{}, "10.0.0.1:1", "10.0.0.2:1")
	f.ColdLimit, f.ColdOverage = limit, 1
	config := *f.Config.Table().Config
	service.Name = "s"
	config.Version, config.Services = config.Version+1, []routing.Service{service}
	f.Config.Apply(&config, time.Now())
	f.Update()
	direct := &reach.Direct{Dial: l.dial, Pool: f.Conns, Paths: reach.NewPaths(time.Now, nil), Now: time.Now}
	f.Links = &reach.Connector{Direct: direct, Tunnels: l}
	l.forwarder = f
	client := &streamRecorder{}
	f.Serve(context.Background(), &Request{ID: "1", Method: "POST", Target: "/", Host: "h", Path: "/", Arrived: time.Now()}, client)
	return client
}

// Guards against streams that are cut off because the upstream that could go on counts as cold for a moment, after it
// accepted no connection.
func TestBegunStreamOutlastsTheLimitOfColdUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := waitingColdLimit{until: time.Now().Add(2 * time.Second)}
		l := &unreachedLinks{lostAfterFirst: time.Second}
		client := resumeLater(l, routing.Service{MaxConnections: 100, ColdPerSecond: 1, ColdDuration: 5 * time.Second}, limit)
		if client.events != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" || client.aborted {
			t.Errorf("received %q, aborted %t, refusal %v", client.events, client.aborted, client.refusal)
		}
	})
}

// Guards against streams that are cut off because this instance's connections to the upstream that could go on are
// all in use for a moment, as those to silent upstreams are.
func TestBegunStreamOutlastsTheLimitOfConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &unreachedLinks{}
		l.onFirst = func() {
			for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
				l.forwarder.Conns.CountOpened(address)
				time.AfterFunc(time.Second, func() { l.forwarder.Conns.Drop(idleConn(address)) })
			}
		}
		client := resumeLater(l, routing.Service{MaxConnections: 1}, waitingColdLimit{})
		if client.events != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" || client.aborted {
			t.Errorf("received %q, aborted %t, refusal %v", client.events, client.aborted, client.refusal)
		}
	})
}

// idleConn returns a connection to an address over which nothing is sent.
func idleConn(address string) *httpconn.Conn {
	near, _ := net.Pipe()
	return httpconn.NewConn(near, address)
}
