package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
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

// fakeOrigins knows what began one stream, and counts the records.
type fakeOrigins struct {
	began    origin.Origin
	err      error
	recorded []origin.Origin
	lifetime time.Duration
}

func (o *fakeOrigins) Record(_, _ string, began origin.Origin, lifetime time.Duration) {
	o.recorded, o.lifetime = append(o.recorded, began), lifetime
}

func (o *fakeOrigins) Find(context.Context, string, string) (origin.Origin, error) {
	return o.began, o.err
}

// streamUpstream starts an upstream that counts its streams of one event, and returns its address.
func streamUpstream(t *testing.T, served *atomic.Int32) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		_, _ = fmt.Fprint(w, "id: 4\ndata: x\n\n")
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().(*net.TCPAddr).String()
}

// originForwarder returns a forwarder with an upstream of service "a" at version "v1" and one of service
// "b" at "v2". Its route is divided between the services by the weights.
func originForwarder(t *testing.T, origins Origins, servedA, servedB *atomic.Int32, weightA, weightB int) *Forwarder {
	upstreams := registry.New(time.Now)
	upstreams.Replace([]registry.Upstream{
		{ID: "a", Service: "a", Version: "v1", Address: streamUpstream(t, servedA)},
		{ID: "b", Service: "b", Version: "v2", Address: streamUpstream(t, servedB)},
	}, store.At(1))
	config := &routing.State{}
	config.Apply(&routing.Config{
		Version:  1,
		Services: []routing.Service{{Name: "a", MaxConnections: 8}, {Name: "b", MaxConnections: 8}},
		Routes: []routing.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: routing.Stream, Timeout: time.Minute, MaxAttempts: 2, Resumable: true, Objective: time.Second, MaxPause: time.Second,
			Targets: []routing.Target{{Service: "a", Weight: weightA}, {Service: "b", Weight: weightB}},
		}},
	}, time.Now())
	f := New(Deps{
		Config: config, Registry: upstreams, Codec: plainCodec{}, Conns: httpconn.NewPool(time.Now), Origins: origins,
		Log: eventlog.New("test", io.Discard), Metrics: metrics.NewRegistry(), Retries: retrylimit.Settings{Window: 10 * time.Second},
		NumInstances: func() int { return 1 }, StoreAvailable: func() bool { return true }, Now: time.Now,
	})
	f.Update()
	return f
}

// resumeOnce resumes a stream and returns why it was refused; empty if it was not.
func resumeOnce(f *Forwarder, id string) Reason {
	outcome := &outcomeRecorder{}
	f.Serve(context.Background(), &Request{
		ID: id, Method: "POST", Target: "/", Host: "h", Path: "/", Arrived: time.Now(), LastEventID: "3", Resumes: "first",
	}, outcome)
	if outcome.refusal == nil {
		return ""
	}
	return outcome.refusal.Reason
}

// Guards against a stream that goes on at another service than the one that began it: the route is divided
// between services by the request's ID, which is another one when the client resumes.
func TestResumedStreamStaysAtItsServiceOnADividedRoute(t *testing.T) {
	var servedA, servedB atomic.Int32
	f := originForwarder(t, &fakeOrigins{began: origin.Origin{Service: "a", Version: "v1"}}, &servedA, &servedB, 1, 9)
	const requests = 20
	for n := range requests {
		if reason := resumeOnce(f, fmt.Sprint(n)); reason != "" {
			t.Errorf("request %d: refused for %s", n, reason)
		}
	}
	if servedA.Load() != requests || servedB.Load() != 0 {
		t.Errorf("the service that began the streams served %d, the other %d", servedA.Load(), servedB.Load())
	}
}

// Guards against streams that go on although what began them is unknown, is ambiguous, is a service to which
// the route no longer leads, or has a version that no upstream in service has: they must be refused, and
// must not run.
func TestStreamThatCannotGoOnIsRefusedAndNotRun(t *testing.T) {
	cases := []struct {
		description      string
		origins          *fakeOrigins
		weightA, weightB int
		reason           Reason
	}{
		{"unknown", &fakeOrigins{err: &origin.UnknownError{}}, 1, 1, OriginUnknown},
		{"ambiguous", &fakeOrigins{err: origin.ErrConflict}, 1, 1, OriginUnknown},
		{"moved", &fakeOrigins{began: origin.Origin{Service: "a", Version: "v1"}}, 0, 1, OriginUnknown},
		{"gone", &fakeOrigins{began: origin.Origin{Service: "a", Version: "v2"}}, 1, 1, VersionGone},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			var servedA, servedB atomic.Int32
			f := originForwarder(t, c.origins, &servedA, &servedB, c.weightA, c.weightB)
			if reason := resumeOnce(f, "1"); reason != c.reason {
				t.Errorf("refused for %q, want %s", reason, c.reason)
			}
			if ran := servedA.Load() + servedB.Load(); ran != 0 {
				t.Errorf("ran %d times", ran)
			}
		})
	}
}

// Guards against a record that names another upstream than the one that sent the first event, and one
// that is dropped while the client may still resume the stream.
func TestFirstEventDecidesWhatBeganAStream(t *testing.T) {
	var servedA, servedB atomic.Int32
	origins := &fakeOrigins{}
	f := originForwarder(t, origins, &servedA, &servedB, 1, 0)
	for _, clientTimeout := range []time.Duration{time.Second, time.Hour} {
		origins.recorded = nil
		f.Serve(context.Background(), &Request{
			ID: "1", Method: "POST", Target: "/", Host: "h", Path: "/", Arrived: time.Now(), ClientTimeout: clientTimeout,
		}, &outcomeRecorder{})
		want := origin.Origin{Service: "a", Version: "v1"}
		if len(origins.recorded) != 1 || origins.recorded[0] != want || origins.lifetime != max(clientTimeout, time.Minute) {
			t.Errorf("recorded %v for %s", origins.recorded, origins.lifetime)
		}
	}
}
