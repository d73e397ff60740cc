package forward

import (
	"context"
	"io"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/registry"
	"github.com/lavenderring/lavenderring/pkg/retrylimit"
	"github.com/lavenderring/lavenderring/pkg/routing"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// singleRouteDeps returns the dependencies of a forwarder with one route of a kind to one upstream.
func singleRouteDeps(address string, kind routing.Kind) Deps {
	upstreams := registry.New(time.Now)
	upstreams.Replace([]registry.Upstream{{ID: "u", Service: "s", Address: address}}, store.At(1))
	config := &routing.State{}
	config.Apply(&routing.Config{
		Version:  1,
		Services: []routing.Service{{Name: "s", MaxConnections: 8}},
		Routes: []routing.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: kind, Timeout: 5 * time.Second, MaxAttempts: 1,
			Targets: []routing.Target{{Service: "s", Weight: 1}},
		}},
	}, time.Now())
	return Deps{
		Config: config, Registry: upstreams, Codec: plainCodec{}, Conns: httpconn.NewPool(time.Now),
		Log: eventlog.New("test", io.Discard), Metrics: metrics.NewRegistry(),
		Retries: retrylimit.Settings{Window: 10 * time.Second}, NumInstances: func() int { return 1 },
		StoreAvailable: func() bool { return true }, Now: time.Now,
	}
}

// serveByDeps serves one request of a client by a new forwarder.
func serveByDeps(deps Deps, client Client) {
	f := New(deps)
	f.Update()
	f.Serve(context.Background(), &Request{ID: "1", Method: "POST", Target: "/", Host: "h", Path: "/", Arrived: time.Now()}, client)
}
