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

// The first meter starts a goroutine that never ends. It must not be started within a synctest bubble,
// which would wait for it.
var _ = metrics.NewMeter()

// startingForwarder returns the forwarder of an instance that has just started.
func startingForwarder(synced chan struct{}, config *routing.State) *Forwarder {
	return New(Deps{
		Config: config, Registry: registry.New(time.Now), Codec: plainCodec{}, Conns: httpconn.NewPool(time.Now),
		Log: eventlog.New("test", io.Discard), Metrics: metrics.NewRegistry(), Synced: synced,
		NumInstances: func() int { return 1 }, StoreAvailable: func() bool { return true }, Now: time.Now,
	})
}

// serveOne sends one request and returns why it was refused, and how long that took.
func serveOne(f *Forwarder) (Reason, time.Duration) {
	outcome := &outcomeRecorder{}
	began := time.Now()
	r := &Request{ID: "1", Method: "POST", Target: "/", Host: "h", Path: "/", Arrived: began}
	f.Serve(context.Background(), r, outcome)
	return outcome.refusal.Reason, time.Since(began)
}

// Guards against refusing the first requests after all instances have started at once: the refusals
// use up the clients' tries, though each instance has its configuration a moment later.
func TestRequestsWaitForTheConfigurationOfAStartingInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const comesAfter = 300 * time.Millisecond
		synced, config := make(chan struct{}), &routing.State{}
		f := startingForwarder(synced, config)
		time.AfterFunc(comesAfter, func() {
			config.Apply(&routing.Config{Version: 1}, time.Now())
			close(synced)
		})
		reason, took := serveOne(f)
		if reason != NoRoute || took != comesAfter { // the configuration has no routes
			t.Errorf("refused for %s after %s", reason, took)
		}
	})
}

// Guards against requests that wait at an instance which cannot serve: the store is unavailable, and
// no other instance sends the configuration. Requests may wait only until maxSyncWait after the start.
func TestInstanceThatStaysWithoutConfigurationRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startingForwarder(make(chan struct{}), &routing.State{})
		if reason, took := serveOne(f); reason != NoConfiguration || took > maxSyncWait {
			t.Errorf("the first request was refused for %s after %s", reason, took)
		}
		if reason, took := serveOne(f); reason != NoConfiguration || took != 0 {
			t.Errorf("the next request was refused for %s after %s", reason, took)
		}
	})
}
