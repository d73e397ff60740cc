package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/prepaid"
	"github.com/lavenderring/lavenderring/pkg/registry"
	"github.com/lavenderring/lavenderring/pkg/routing"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// grantingBudgets grants every reservation and counts those that are settled.
type grantingBudgets struct {
	reserved, settled atomic.Int32
	// onReserve is called during each reservation; it may be nil.
	onReserve func()
}

// Reserve implements Budgets.
func (b *grantingBudgets) Reserve(context.Context, string, int64, bool) (*prepaid.Reservation, error) {
	b.reserved.Add(1)
	if b.onReserve != nil {
		b.onReserve()
	}
	return &prepaid.Reservation{}, nil
}

// Settle implements Budgets.
func (b *grantingBudgets) Settle(*prepaid.Reservation, int64) { b.settled.Add(1) }

// changeBase returns the configuration that is in force when a request arrives.
func changeBase() *routing.Config {
	return &routing.Config{
		Version: 2, KeyRequired: true,
		Accounts: []routing.Account{{Name: "crew", Keys: []string{"key"}, Priority: -1, PrepaidTokens: 1000}},
		Services: []routing.Service{{Name: "s", MaxConnections: 100, Engine: &routing.Engine{TokensPerEvent: 1}}},
		Routes: []routing.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: routing.Stream, Resumable: true, Timeout: time.Minute,
			Objective: 10 * time.Second, MaxPause: 10 * time.Second, MaxAttempts: 2, Targets: []routing.Target{{Service: "s", Weight: 1}},
		}},
	}
}

// applyChanged puts a changed configuration into force.
func applyChanged(f *Forwarder, change func(*routing.Config)) {
	next := changeBase()
	next.Version++
	change(next)
	f.Config.Apply(next, time.Now())
	f.Update()
}

// changes are what operators and upstreams may change while a request is in progress.
var changes = []struct {
	description string
	apply       func(*Forwarder)
	// noUpstreams says that no upstream of the service is left for another attempt.
	noUpstreams bool
}{
	{"the route removed", func(f *Forwarder) { applyChanged(f, func(c *routing.Config) { c.Routes = nil }) }, false},
	{"the route led elsewhere", func(f *Forwarder) {
		applyChanged(f, func(c *routing.Config) { c.Routes[0].Targets[0].Service = "t" })
	}, false},
	{"the route no longer resumable", func(f *Forwarder) {
		applyChanged(f, func(c *routing.Config) { c.Routes[0].Resumable, c.Routes[0].Timeout = false, time.Millisecond })
	}, false},
	{"the key revoked", func(f *Forwarder) { applyChanged(f, func(c *routing.Config) { c.Accounts[0].Keys = nil }) }, false},
	{"the account removed", func(f *Forwarder) { applyChanged(f, func(c *routing.Config) { c.Accounts = nil }) }, false},
	{"the service removed", func(f *Forwarder) {
		applyChanged(f, func(c *routing.Config) { c.Services, c.Routes = nil, nil })
	}, false},
	{"limits lowered", func(f *Forwarder) {
		applyChanged(f, func(c *routing.Config) {
			c.Limits = routing.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: time.Nanosecond, IdleTimeout: time.Nanosecond}
		})
	}, false},
	{"a stop announced", func(f *Forwarder) { f.StopBy(time.Now().Add(-time.Hour)) }, false},
	{"all upstreams gone", func(f *Forwarder) {
		f.Registry.Replace(nil, store.At(9))
		f.Update()
	}, true},
	{"all domains emptied", func(f *Forwarder) {
		f.Registry.ReplaceEmptiedDomains([]string{""}, store.At(9))
		f.Update()
	}, true},
}

// Guards against requests that are ended, or reservations that are not settled, because something that was
// needed to admit them is changed or withdrawn: they go on as they were admitted, also at another upstream.
func TestRequestInProgressOutlastsChanges(t *testing.T) {
	const first, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	phases := []struct {
		description string
		// sent is what the first upstream sends before the change; breaksOff says that it breaks off after it.
		sent      string
		breaksOff bool
	}{
		{"before the first event", "", false},
		{"within the stream", first, false},
		{"before a retry", "", true},
		{"before it is resumed", first, true},
	}
	for _, change := range changes {
		for _, phase := range phases {
			t.Run(change.description+" "+phase.description, func(t *testing.T) {
				runs, changed := make(chan struct{}), make(chan struct{})
				begin := func(w http.ResponseWriter, _ *http.Request) {
					if phase.sent != "" {
						sendEvents(phase.sent, false)(w, nil)
					}
					close(runs)
					<-changed
					if phase.breaksOff {
						panic(http.ErrAbortHandler)
					}
					sendEvents((first + rest)[len(phase.sent):], false)(w, nil)
				}
				script := &scriptedAnswers{answers: []http.HandlerFunc{begin, sendEvents((first + rest)[len(phase.sent):], false)}}
				var addresses []string
				for range 2 {
					server := httptest.NewServer(script)
					t.Cleanup(server.Close)
					addresses = append(addresses, server.Listener.Addr().(*net.TCPAddr).String())
				}
				budgets := &grantingBudgets{}
				f := changingForwarder(budgets, addresses...)
				client, ended := &streamRecorder{}, make(chan struct{})
				go func() {
					defer close(ended)
					f.Serve(context.Background(), keyedRequest(), client)
				}()
				<-runs
				change.apply(f)
				close(changed)
				<-ended
				ends := phase.breaksOff && change.noUpstreams
				if !ends && (client.events != first+rest || client.aborted || client.refusal != nil) {
					t.Errorf("received %q, aborted %t, refusal %+v", client.events, client.aborted, client.refusal)
				}
				if ends && !client.aborted && client.refusal == nil {
					t.Error("the client is not told that its answer is incomplete")
				}
				if budgets.reserved.Load() != 1 || budgets.settled.Load() != 1 {
					t.Errorf("%d reservations, %d settled", budgets.reserved.Load(), budgets.settled.Load())
				}
			})
		}
	}
}

// changingForwarder returns a forwarder with the configuration of changeBase.
func changingForwarder(budgets Budgets, addresses ...string) *Forwarder {
	f := forwarderTo(routing.Route{}, resumingCodec{}, addresses...)
	f.Budgets = budgets
	f.Config.Apply(changeBase(), time.Now())
	f.Update()
	return f
}

// keyedRequest returns a request that the configuration of changeBase admits.
func keyedRequest() *Request {
	return &Request{
		ID: "1", Method: "POST", Target: "/", Host: "h", Path: "/", Key: "key", HasTokenBounds: true,
		PromptTokens: 1, MaxOutputTokens: 9, Arrived: time.Now(),
	}
}

// Guards against requests that are refused or not settled because something is changed or withdrawn while
// their tokens are being reserved.
func TestRequestThatReservesOutlastsChanges(t *testing.T) {
	const events = "id: 1\ndata: a\n\n"
	for _, change := range changes {
		t.Run(change.description, func(t *testing.T) {
			server := httptest.NewServer(sendEvents(events, false))
			t.Cleanup(server.Close)
			budgets := &grantingBudgets{}
			f := changingForwarder(budgets, server.Listener.Addr().(*net.TCPAddr).String())
			budgets.onReserve = func() { change.apply(f) }
			client := &streamRecorder{}
			f.Serve(context.Background(), keyedRequest(), client)
			switch {
			case change.noUpstreams && (client.refusal == nil || client.refusal.Reason != NoUpstream):
				t.Errorf("refusal %+v, want %s", client.refusal, NoUpstream)
			case !change.noUpstreams && client.events != events:
				t.Errorf("received %q, refusal %+v", client.events, client.refusal)
			}
			if budgets.settled.Load() != 1 {
				t.Errorf("%d reservations settled", budgets.settled.Load())
			}
		})
	}
}

// closingUpstream answers the first request on each connection and closes it when the second
// arrives, as an upstream does that closes an idle connection just then. It counts the requests.
func closingUpstream(t *testing.T, arrived *atomic.Int32) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for answered := false; ; answered = true {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					arrived.Add(1)
					if answered {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a request that is sent twice because the idle connection it was sent on was being closed:
// one that must run once is not sent again, and its client is told that its outcome is unknown; one that may
// run twice is served by another upstream.
func TestConnectionClosedUnderARequestIsNoReasonToSendItAgain(t *testing.T) {
	for _, kind := range []routing.Kind{routing.Once, routing.Idempotent} {
		t.Run(string(kind), func(t *testing.T) {
			var arrived atomic.Int32
			address := closingUpstream(t, &arrived)
			f := forwarderTo(routing.Route{Kind: kind, Timeout: time.Minute, MaxAttempts: 3}, plainCodec{}, address)
			serve := func() *outcomeRecorder {
				outcome := &outcomeRecorder{}
				f.Serve(context.Background(), &Request{ID: "1", Method: "POST", Target: "/", Host: "h", Path: "/", Arrived: time.Now()}, outcome)
				return outcome
			}
			if first := serve(); first.status != http.StatusOK {
				t.Fatalf("first request: %+v", first)
			}
			var elsewhere atomic.Int32
			f.Registry.Put(registry.Upstream{ID: "other", Service: "s", Address: countingUpstream(t, &elsewhere), Domain: "far"})
			f.Update()
			second := serve()
			unknown := second.refusal != nil && second.refusal.Reason == OutcomeUnknown
			if kind == routing.Once && (!unknown || arrived.Load() != 2 || elsewhere.Load() != 0) {
				t.Errorf("got %+v after %d requests, %d of them elsewhere", second, arrived.Load(), elsewhere.Load())
			}
			if kind == routing.Idempotent && (second.status != http.StatusOK || elsewhere.Load() != 1) {
				t.Errorf("got %+v", second)
			}
		})
	}
}
