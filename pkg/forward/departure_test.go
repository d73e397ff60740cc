package forward

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/registry"
	"github.com/lavenderring/lavenderring/pkg/retrylimit"
	"github.com/lavenderring/lavenderring/pkg/routing"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// departingClient is a client that may leave without its request's context having ended yet.
type departingClient struct {
	outcomeRecorder
	gone    atomic.Bool
	aborted bool
}

// IsGone implements DepartureChecker.
func (c *departingClient) IsGone() bool { return c.gone.Load() }

// Abort implements Client.
func (c *departingClient) Abort() { c.aborted = true }

// Guards against work for a client that left while the connection to the upstream was being set up, before its
// departure has ended the request's context.
func TestClientThatLeavesBeforeTheSendingGetsNoWork(t *testing.T) {
	var served atomic.Int32
	upstreams := registry.New(time.Now)
	upstreams.Replace([]registry.Upstream{{ID: "u", Service: "jobs", Address: countingUpstream(t, &served)}}, store.At(1))
	config := &routing.State{}
	config.Apply(&routing.Config{
		Version:  1,
		Services: []routing.Service{{Name: "jobs", MaxConnections: 8}},
		Routes: []routing.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: routing.Idempotent, Timeout: time.Minute, MaxAttempts: 3,
			Targets: []routing.Target{{Service: "jobs", Weight: 1}},
		}},
	}, time.Now())
	client := &departingClient{}
	f := New(Deps{
		Config: config, Registry: upstreams, Codec: plainCodec{}, Conns: httpconn.NewPool(time.Now),
		Log: eventlog.New("test", io.Discard), Metrics: metrics.NewRegistry(),
		Retries: retrylimit.Settings{Window: 10 * time.Second},
		// Called between choosing the upstream and connecting to it.
		NumInstances: func() int {
			client.gone.Store(true)
			return 1
		},
		StoreAvailable: func() bool { return true }, Now: time.Now,
	})
	f.Update()
	f.Serve(context.Background(), &Request{ID: "1", Method: "GET", Target: "/", Host: "h", Path: "/", Arrived: time.Now()}, client)
	if served.Load() != 0 || !client.aborted || client.refusal != nil {
		t.Errorf("the upstream served %d, connection ended: %t, refusal %+v", served.Load(), client.aborted, client.refusal)
	}
}
