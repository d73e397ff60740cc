package forward

import (
	"sync/atomic"
	"testing"

	"github.com/lavenderring/lavenderring/pkg/routing"
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
	client := &departingClient{}
	deps := singleRouteDeps(countingUpstream(t, &served), routing.Idempotent)
	// Called between choosing the upstream and connecting to it.
	deps.NumInstances = func() int {
		client.gone.Store(true)
		return 1
	}
	serveByDeps(deps, client)
	if served.Load() != 0 || !client.aborted || client.refusal != nil {
		t.Errorf("the upstream served %d, connection ended: %t, refusal %+v", served.Load(), client.aborted, client.refusal)
	}
}
