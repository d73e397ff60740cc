package forward

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/placement"
	"github.com/lavenderring/lavenderring/pkg/reach"
	"github.com/lavenderring/lavenderring/pkg/routing"
)

// countingProber counts the probes of upstreams whose connections ended.
type countingProber struct{ probes atomic.Int32 }

// Probe implements PeerProber.
func (p *countingProber) Probe(string) httpconn.PeerState {
	p.probes.Add(1)
	return httpconn.Crashed
}

// Guards against requests that are suspected of crashing upstreams because these were silent: silence is no
// end of a connection, also where the kernel or a deadline ends the wait. Nor is the loss of an instance that
// carried the connection.
func TestSilentUpstreamIsNoCrash(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0") // accepts connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	f := forwarderTo(routing.Route{Kind: routing.Idempotent, Timeout: 300 * time.Millisecond, MaxAttempts: 2}, plainCodec{}, listener.Addr().String())
	prober := &countingProber{}
	f.PeerProber = prober
	outcome := &outcomeRecorder{}
	f.Serve(context.Background(), &Request{ID: "1", Method: http.MethodPost, Target: "/", Host: "h", Path: "/", Arrived: time.Now()}, outcome)
	if outcome.refusal == nil || prober.probes.Load() != 0 || f.Quarantine.Watching() {
		t.Errorf("%+v, %d probes, quarantine watching %t", outcome, prober.probes.Load(), f.Quarantine.Watching())
	}
	a := &attempt{c: &call{f: f, deadline: time.Now().Add(time.Minute)}}
	a.lease = f.serviceState("s").pool.Choose(&placement.Request{})
	givenUp := &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	reset := &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	for err, ended := range map[error]bool{givenUp: false, reach.ErrPathLost: false, reset: true} {
		if failed := a.connFailed("head", &httpconn.Error{Step: "head", Err: err}); failed.connEnded != ended {
			t.Errorf("%v: counts as ended by the upstream: %t", err, failed.connEnded)
		}
	}
}
