package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/origin"
	"github.com/lavenderring/lavenderring/pkg/registry"
	"github.com/lavenderring/lavenderring/pkg/retrylimit"
	"github.com/lavenderring/lavenderring/pkg/routing"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// lastEventIDHeader carries the id after which a stream is resumed in the tests' requests.
const lastEventIDHeader = "Last-Event-Id"

// resumingCodec is a plainCodec that says after which event a stream is resumed.
type resumingCodec struct{ plainCodec }

// EncodeRequest implements Codec.
func (resumingCodec) EncodeRequest(to []byte, r *Request, d *Dispatch) []byte {
	to = fmt.Appendf(to, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if d.LastEventID != "" {
		to = fmt.Appendf(to, "%s: %s\r\n", lastEventIDHeader, d.LastEventID)
	}
	return append(to, "\r\n"...)
}

// streamRecorder records what the client of a stream received.
type streamRecorder struct {
	outcomeRecorder
	events  string
	aborted bool
}

func (r *streamRecorder) Event(events []byte) error {
	r.events += string(events)
	return nil
}
func (r *streamRecorder) Abort() { r.aborted = true }

// scriptedAnswers answers the attempts of one request one after the other, at whichever upstream they
// arrive, and records after which event each is to continue.
type scriptedAnswers struct {
	answers []http.HandlerFunc

	mu    sync.Mutex
	after []string
}

func (s *scriptedAnswers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	n := len(s.after)
	s.after = append(s.after, r.Header.Get(lastEventIDHeader))
	s.mu.Unlock()
	s.answers[min(n, len(s.answers)-1)](w, r)
}

// sendEvents returns an answer that sends events and ends, or breaks off after them.
func sendEvents(events string, breaksOff bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, events)
		_ = http.NewResponseController(w).Flush()
		if breaksOff {
			panic(http.ErrAbortHandler)
		}
	}
}

// forwarderTo returns a forwarder with one route to the upstreams of one service at the addresses.
func forwarderTo(route routing.Route, codec Codec, addresses ...string) *Forwarder {
	upstreams := registry.New(time.Now)
	var list []registry.Upstream
	for n, address := range addresses {
		list = append(list, registry.Upstream{ID: fmt.Sprintf("u%d", n), Service: "s", Address: address, Version: "v1"})
	}
	upstreams.Replace(list, store.At(1))
	route.Name, route.Host, route.Prefix, route.Targets = "r", "h", "/", []routing.Target{{Service: "s", Weight: 1}}
	config := &routing.State{}
	config.Apply(&routing.Config{
		Version: 1, Services: []routing.Service{{Name: "s", MaxConnections: 100}}, Routes: []routing.Route{route},
	}, time.Now())
	f := New(Deps{
		Config: config, Registry: upstreams, Codec: codec, Conns: httpconn.NewPool(time.Now),
		Log: eventlog.New("test", io.Discard), Metrics: metrics.NewRegistry(),
		Retries:      retrylimit.Settings{Ratio: 1, Extra: 1000, Window: 10 * time.Second},
		NumInstances: func() int { return 1 }, StoreAvailable: func() bool { return true }, Now: time.Now,
	})
	f.Update()
	return f
}

// serveResumable sends one request for a resumable stream to two upstreams with scripted answers.
func serveResumable(t *testing.T, answers ...http.HandlerFunc) (client *streamRecorder, after []string) {
	t.Helper()
	script := &scriptedAnswers{answers: answers}
	var addresses []string
	for range 2 {
		server := httptest.NewServer(script)
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().(*net.TCPAddr).String())
	}
	route := routing.Route{
		Kind: routing.Stream, Resumable: true, Timeout: time.Minute, Objective: 10 * time.Second, MaxPause: 10 * time.Second, MaxAttempts: 2,
	}
	f := forwarderTo(route, resumingCodec{}, addresses...)
	client = &streamRecorder{}
	f.Serve(context.Background(), &Request{ID: "1", Method: "POST", Target: "/", Host: "h", Path: "/", Arrived: time.Now()}, client)
	return client, script.after
}

// Guards against events that a client receives twice: the last event before its stream broke off carried
// no id, and the stream was resumed before that event. A stream is resumed only after an event that names
// its place; a comment is no event.
func TestStreamIsResumedOnlyAfterAnEventWithAnID(t *testing.T) {
	cases := []struct {
		description, first string
		resumed            bool
	}{
		{"an event with an id", "id: 1\ndata: a\n\n", true},
		{"a comment after it", "id: 1\ndata: a\n\n: waiting\n\n", true},
		{"only an event without an id", "data: a\n\n", false},
		{"an event without an id at the end", "id: 1\ndata: a\n\ndata: b\n\n", false},
		{"an event with an id after one without", "data: a\n\nid: 2\ndata: b\n\n", true},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			const rest = "id: 3\ndata: c\n\n"
			client, after := serveResumable(t, sendEvents(c.first, true), sendEvents(rest, false))
			want, wantAttempts := c.first, 1
			if c.resumed {
				want, wantAttempts = c.first+rest, 2
			}
			if client.events != want || client.aborted == c.resumed || len(after) != wantAttempts {
				t.Errorf("the client received %q, aborted %t, after attempts that continue after %q; want %q",
					client.events, client.aborted, after, want)
			}
		})
	}
}

// Guards against a stream that has begun and goes on as if it were complete: the upstream at which it was
// to be resumed refused it with a client error, and that answer ended the client's stream in order.
func TestStreamThatCannotBeResumedIsCutOff(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }
	client, after := serveResumable(t, sendEvents("id: 1\ndata: a\n\n", true), refuse)
	if !client.aborted || client.status != 0 || len(after) != 2 {
		t.Errorf("aborted %t, status %d after the stream began, %d attempts; want a stream that is cut off",
			client.aborted, client.status, len(after))
	}
}

// Guards against an event that a client receives twice: it resumed the stream after that event, and the upstream
// repeats it.
func TestResumedClientGetsNoEventTwice(t *testing.T) {
	address := serveHandler(t, sendEvents("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", false))
	route := routing.Route{Kind: routing.Stream, Resumable: true, Timeout: time.Minute, MaxAttempts: 2}
	f := forwarderTo(route, resumingCodec{}, address)
	f.Origins = &fakeOrigins{began: origin.Origin{Service: "s", Version: "v1"}}
	client := &streamRecorder{}
	f.Serve(context.Background(), &Request{
		ID: "1", Method: "POST", Target: "/", Host: "h", Path: "/", Arrived: time.Now(), LastEventID: "2", Resumes: "first",
	}, client)
	if client.events != "id: 3\ndata: c\n\n" {
		t.Errorf("after event 2 received %q, refusal %v", client.events, client.refusal)
	}
}
