package forward

import (
	"context"
	"errors"
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

// expiringValidity becomes invalid after a number of checks.
type expiringValidity struct{ checksLeft int }

var errExpired = errors.New("expired")

// Check implements Validity.
func (v *expiringValidity) Check() error {
	if v.checksLeft--; v.checksLeft < 0 {
		return errExpired
	}
	return nil
}

// Await implements Validity.
func (v *expiringValidity) Await(context.Context) error { return v.Check() }

// Guards against a request that is sent on what the instance cannot know to be true any more, when it is admitted or
// at the last moment before it is sent. It must be refused as not run, with a time to come back at.
func TestNothingIsSentOnOutdatedState(t *testing.T) {
	for checks, wantServed := range []int32{0, 0, 1} {
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
		f := New(Deps{
			Config: config, Registry: upstreams, Codec: plainCodec{}, Conns: httpconn.NewPool(time.Now),
			Log: eventlog.New("test", io.Discard), Metrics: metrics.NewRegistry(),
			Retries: retrylimit.Settings{Window: 10 * time.Second}, NumInstances: func() int { return 1 },
			Validity: &expiringValidity{checksLeft: checks}, StoreAvailable: func() bool { return true }, Now: time.Now,
		})
		f.Update()
		outcome := &outcomeRecorder{}
		f.Serve(context.Background(), &Request{ID: "1", Method: "GET", Target: "/", Host: "h", Path: "/", Arrived: time.Now()}, outcome)
		if served.Load() != wantServed {
			t.Errorf("valid for %d checks: the upstream served %d, want %d", checks, served.Load(), wantServed)
		}
		if r := outcome.refusal; wantServed == 0 && (r == nil || r.Reason != StateOutdated || r.RetryAfter <= 0) {
			t.Errorf("valid for %d checks: refusal %+v", checks, r)
		}
	}
}
