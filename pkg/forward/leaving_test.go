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
	"github.com/lavenderring/lavenderring/pkg/registry"
	"github.com/lavenderring/lavenderring/pkg/retrylimit"
	"github.com/lavenderring/lavenderring/pkg/routing"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// plainCodec writes requests as they are and believes every answer.
type plainCodec struct{}

// EncodeRequest implements Codec.
func (plainCodec) EncodeRequest(to []byte, r *Request, _ *Dispatch) []byte {
	return fmt.Appendf(to, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", r.Method, r.Target, r.Host, len(r.Body))
}

// DecodeAnswer implements Codec.
func (plainCodec) DecodeAnswer(response *http.Response) AnswerHead {
	return AnswerHead{Status: response.StatusCode, Sealed: true}
}

// recorder keeps how a request ended.
type recorder struct {
	status  int
	refusal *Refusal
}

func (r *recorder) Answer(status int, _ []Header, _ []byte) error { r.status = status; return nil }
func (r *recorder) Refuse(refusal *Refusal)                       { r.refusal = refusal }
func (r *recorder) Begin(int, []Header) error                     { return nil }
func (r *recorder) Event([]byte) error                            { return nil }
func (r *recorder) Abort()                                        {}

// countingUpstream serves, and counts what it has served.
func countingUpstream(t *testing.T, served *atomic.Int32) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	t.Cleanup(server.Close)
	return server.Listener.Addr().(*net.TCPAddr).String()
}

// A request reaches an upstream after this instance had read that it leaves: the upstream was
// chosen, it left while the connection to it was being set up, and nothing looked at it again
// before the request went out. Proof: a request whose upstream leaves between the two is served
// by another one, once, and the first gets nothing.
func TestUpstreamThatLeavesBeforeTheSendingGetsNothing(t *testing.T) {
	var leavingServed, stayingServed atomic.Int32
	leaving := registry.Upstream{ID: "leaving", Service: "jobs", Address: countingUpstream(t, &leavingServed)}
	staying := registry.Upstream{ID: "staying", Service: "jobs", Address: countingUpstream(t, &stayingServed)}
	upstreams := registry.New(time.Now)
	upstreams.Replace([]registry.Upstream{leaving}, store.At(1))
	config := &routing.State{}
	config.Apply(&routing.Config{
		Version:  1,
		Services: []routing.Service{{Name: "jobs", MaxConnections: 8}},
		Routes: []routing.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: routing.Once, Timeout: time.Minute, MaxAttempts: 1,
			Targets: []routing.Target{{Service: "jobs", Weight: 1}},
		}},
	}, time.Now())
	var f *Forwarder
	f = New(Deps{
		Config: config, Registry: upstreams, Codec: plainCodec{}, Conns: httpconn.NewPool(time.Now),
		Log: eventlog.New("test", io.Discard), Metrics: metrics.NewRegistry(),
		Retries: retrylimit.Settings{Window: 10 * time.Second},
		// Asked for between the choice and the connection.
		Instances: func() int {
			leaving.Leaving = true
			upstreams.Put(leaving)
			upstreams.Put(staying)
			f.Update()
			return 1
		},
		StoreUp: func() bool { return true }, Now: time.Now,
	})
	f.Update()
	outcome := &recorder{}
	f.Serve(context.Background(), &Request{ID: "1", Method: "POST", Target: "/", Host: "h", Path: "/", Arrived: time.Now()}, outcome)
	if leavingServed.Load() != 0 || stayingServed.Load() != 1 || outcome.status != http.StatusOK {
		t.Errorf("leaving served %d, the other %d, status %d, refusal %+v",
			leavingServed.Load(), stayingServed.Load(), outcome.status, outcome.refusal)
	}
}
