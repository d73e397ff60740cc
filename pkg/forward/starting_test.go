package forward

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/registry"
	"github.com/lavenderring/lavenderring/pkg/routing"
)

// The first meter starts a goroutine that never ends, which must not belong to a test in virtual time.
var _ = metrics.NewMeter()

// startingForwarder is that of an instance that has just started.
func startingForwarder(synced chan struct{}, config *routing.State) *Forwarder {
	return New(Deps{
		Config: config, Registry: registry.New(time.Now), Codec: plainCodec{}, Conns: httpconn.NewPool(time.Now),
		Log: eventlog.New("test", io.Discard), Metrics: metrics.NewRegistry(), Synced: synced,
		Instances: func() int { return 1 }, StoreUp: func() bool { return true }, Now: time.Now,
	})
}

// serveAt sends one request and returns why it was refused, and how long that took.
func serveAt(f *Forwarder) (Reason, time.Duration) {
	outcome := &recorder{}
	began := time.Now()
	r := &Request{ID: "1", Method: "POST", Target: "/", Host: "h", Path: "/", Arrived: began}
	f.Serve(context.Background(), r, outcome)
	return outcome.refusal.Reason, time.Since(began)
}

// Guards against a start of all whose first requests are refused, and have used up their callers'
// tries, though each instance has its configuration a moment later.
func TestRequestsWaitForTheConfigurationOfAStartingInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const comesAfter = 300 * time.Millisecond
		synced, config := make(chan struct{}), &routing.State{}
		f := startingForwarder(synced, config)
		time.AfterFunc(comesAfter, func() {
			config.Apply(&routing.Config{Version: 1}, time.Now())
			close(synced)
		})
		reason, took := serveAt(f)
		if reason != NoRoute || took != comesAfter { // a configuration without routes
			t.Errorf("refused for %s after %s", reason, took)
		}
	})
}

// Guards against requests that wait at an instance which cannot serve: the store is away, and nobody
// hands the configuration over.
func TestInstanceThatStaysWithoutConfigurationRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startingForwarder(make(chan struct{}), &routing.State{})
		if reason, took := serveAt(f); reason != NoConfiguration || took > startPatience {
			t.Errorf("the first is refused for %s after %s", reason, took)
		}
		if reason, took := serveAt(f); reason != NoConfiguration || took != 0 {
			t.Errorf("the next one is refused for %s after %s", reason, took)
		}
	})
}
