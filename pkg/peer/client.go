// Package peer carries the slices' messages between instances over drpc.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/lavenderring/lavenderring/pkg/bill/billpb"
	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
	"github.com/lavenderring/lavenderring/pkg/quarantine/quarantinepb"
)

// Bounds of the client.
const (
	// callTimeout bounds one call; what is asked is answered from memory or by
	// one write to the store.
	callTimeout = 2 * time.Second
	// heartbeatTimeout bounds a heartbeat and a confirmation of copies of the store.
	heartbeatTimeout = 500 * time.Millisecond
	// probeTimeout bounds a question whether a member answers another instance.
	probeTimeout = 400 * time.Millisecond
	// dialTimeout bounds a connection's set-up.
	dialTimeout = 500 * time.Millisecond
	// idleExpiry closes a pooled connection that is not used.
	idleExpiry = time.Minute
	// connectionsPerPeer bounds the pool; drpc carries one call at a time on a
	// connection.
	connectionsPerPeer = 16
)

// ErrUnknownPeer means that no address is known for an incarnation.
var ErrUnknownPeer = errors.New("peer is not known")

// CallError tells which call to which peer failed.
type CallError struct {
	// Step is the call; Peer is the incarnation or the address.
	Step, Peer string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("peer %s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	address func(incarnation string) string
	heard   func(incarnation string)
	traffic *Traffic
	tls     *tls.Config

	mu    sync.Mutex
	pools map[string]*drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client. address finds an incarnation's peer address;
// heard is told of each incarnation that answered; traffic counts the bytes;
// tlsConfig is nil for plain connections.
func NewClient(address func(string) string, heard func(string), traffic *Traffic, tlsConfig *tls.Config) *Client {
	return &Client{
		address: address,
		heard:   heard,
		traffic: traffic,
		tls:     tlsConfig,
		pools:   map[string]*drpcpool.Pool[string, drpcpool.Conn]{},
	}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pool := range c.pools {
		_ = pool.Close()
	}
	c.pools = map[string]*drpcpool.Pool[string, drpcpool.Conn]{}
}

func (c *Client) pool(address string) *drpcpool.Pool[string, drpcpool.Conn] {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := c.pools[address]
	if pool == nil {
		pool = drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiry,
			Capacity:    connectionsPerPeer,
			KeyCapacity: connectionsPerPeer,
		})
		c.pools[address] = pool
	}
	return pool
}

// dropPool closes every connection to an address. A call that got no answer in
// time may have met a connection that something between the two ends has lost
// track of; the others of its age are no better, and each would cost a timeout.
func (c *Client) dropPool(address string) {
	c.mu.Lock()
	pool := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if pool != nil {
		_ = pool.Close()
	}
}

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := c.traffic.count(raw)
	if c.tls == nil {
		return drpcconn.New(counted), nil
	}
	secured := tls.Client(counted, c.tls)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return drpcconn.New(secured), nil
}

// to makes one call to an incarnation.
func to[Reply any](
	ctx context.Context, c *Client, step, incarnation string, call func(context.Context, drpc.Conn) (Reply, error),
) (Reply, error) {
	var none Reply
	address := c.address(incarnation)
	if address == "" {
		return none, &CallError{Step: step, Peer: incarnation, Err: ErrUnknownPeer}
	}
	reply, err := at(ctx, c, step, address, callTimeout, call)
	if err == nil {
		c.heard(incarnation)
	}
	return reply, err
}

func at[Reply any](
	ctx context.Context, c *Client, step, address string, timeout time.Duration,
	call func(context.Context, drpc.Conn) (Reply, error),
) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn := c.pool(address).Get(ctx, address, c.dial)
	defer func() { _ = conn.Close() }()
	reply, err := call(ctx, conn)
	if err != nil {
		if ctx.Err() != nil {
			c.dropPool(address)
		}
		return reply, &CallError{Step: step, Peer: address, Err: err}
	}
	return reply, nil
}

// Allocate implements budget.Peers.
func (c *Client) Allocate(
	ctx context.Context, incarnation string, req *budgetpb.AllocateRequest,
) (*budgetpb.AllocateReply, error) {
	return to(ctx, c, "allocate", incarnation, func(ctx context.Context, conn drpc.Conn) (*budgetpb.AllocateReply, error) {
		return budgetpb.NewDRPCBudgetsClient(conn).Allocate(ctx, req)
	})
}

// Recall implements budget.Peers.
func (c *Client) Recall(
	ctx context.Context, incarnation string, req *budgetpb.RecallRequest,
) (*budgetpb.RecallReply, error) {
	return to(ctx, c, "recall", incarnation, func(ctx context.Context, conn drpc.Conn) (*budgetpb.RecallReply, error) {
		return budgetpb.NewDRPCBudgetsClient(conn).Recall(ctx, req)
	})
}

// Report implements budget.Peers.
func (c *Client) Report(
	ctx context.Context, incarnation string, req *budgetpb.ReportRequest,
) (*budgetpb.ReportReply, error) {
	return to(ctx, c, "report", incarnation, func(ctx context.Context, conn drpc.Conn) (*budgetpb.ReportReply, error) {
		return budgetpb.NewDRPCBudgetsClient(conn).Report(ctx, req)
	})
}

// Sign implements budget.Peers.
func (c *Client) Sign(
	ctx context.Context, incarnation string, req *budgetpb.SignRequest,
) (*budgetpb.SignReply, error) {
	return to(ctx, c, "sign", incarnation, func(ctx context.Context, conn drpc.Conn) (*budgetpb.SignReply, error) {
		return budgetpb.NewDRPCBudgetsClient(conn).Sign(ctx, req)
	})
}

// Keep implements bill.Peers.
func (c *Client) Keep(ctx context.Context, incarnation string, req *billpb.KeepRequest) (*billpb.KeepReply, error) {
	return to(ctx, c, "keep", incarnation, func(ctx context.Context, conn drpc.Conn) (*billpb.KeepReply, error) {
		return billpb.NewDRPCBillsClient(conn).Keep(ctx, req)
	})
}

// Lend implements prepaid.Peers.
func (c *Client) Lend(ctx context.Context, incarnation, budget string, need, ahead int64) (int64, error) {
	req := &prepaidpb.LendRequest{Budget: budget, Need: need, Ahead: ahead}
	reply, err := to(ctx, c, "lend", incarnation, func(ctx context.Context, conn drpc.Conn) (*prepaidpb.LendReply, error) {
		return prepaidpb.NewDRPCLoansClient(conn).Lend(ctx, req)
	})
	if err != nil {
		return 0, err
	}
	return reply.Tokens, nil
}

// Refill reports to an instance that draws tokens for the failure domain.
func (c *Client) Refill(
	ctx context.Context, incarnation string, req *prepaidpb.RefillRequest,
) (*prepaidpb.RefillReply, error) {
	return to(ctx, c, "refill", incarnation, func(ctx context.Context, conn drpc.Conn) (*prepaidpb.RefillReply, error) {
		return prepaidpb.NewDRPCLoansClient(conn).Refill(ctx, req)
	})
}

// Witness has an instance remember what this one has drawn.
func (c *Client) Witness(
	ctx context.Context, incarnation string, req *prepaidpb.WitnessRequest,
) (*prepaidpb.WitnessReply, error) {
	return to(ctx, c, "witness", incarnation, func(ctx context.Context, conn drpc.Conn) (*prepaidpb.WitnessReply, error) {
		return prepaidpb.NewDRPCLoansClient(conn).Witness(ctx, req)
	})
}

// RecallTokens tells an instance that a budget is short.
func (c *Client) RecallTokens(ctx context.Context, incarnation, budget string) error {
	_, err := to(ctx, c, "recall-tokens", incarnation, func(ctx context.Context, conn drpc.Conn) (*prepaidpb.RecallReply, error) {
		return prepaidpb.NewDRPCLoansClient(conn).Recall(ctx, &prepaidpb.RecallRequest{Budget: budget})
	})
	return err
}

// Heartbeat exchanges digests with the instance at an address.
func (c *Client) Heartbeat(ctx context.Context, address string, digest *memberpb.Digest) (*memberpb.Digest, error) {
	return at(ctx, c, "heartbeat", address, heartbeatTimeout,
		func(ctx context.Context, conn drpc.Conn) (*memberpb.Digest, error) {
			return memberpb.NewDRPCMembersClient(conn).Heartbeat(ctx, digest)
		})
}

// Probe has the instance at an address probe a member.
func (c *Client) Probe(ctx context.Context, address string, suspect *memberpb.Member) (bool, error) {
	req := &memberpb.ProbeRequest{Incarnation: suspect.Incarnation, Address: suspect.PeerAddress}
	reply, err := at(ctx, c, "probe", address, probeTimeout,
		func(ctx context.Context, conn drpc.Conn) (*memberpb.ProbeReply, error) {
			return memberpb.NewDRPCMembersClient(conn).Probe(ctx, req)
		})
	return reply.GetAnswered(), err
}

// Confirm tells the instance at an address what was read from the store.
func (c *Client) Confirm(ctx context.Context, address string, confirmation *followpb.Confirmation) error {
	_, err := at(ctx, c, "confirm", address, heartbeatTimeout,
		func(ctx context.Context, conn drpc.Conn) (*followpb.ConfirmReply, error) {
			return followpb.NewDRPCCopiesClient(conn).Confirm(ctx, confirmation)
		})
	return err
}

// ExchangeQuarantine tells the instance at an address of requests that crashed upstreams.
func (c *Client) ExchangeQuarantine(
	ctx context.Context, address string, records *quarantinepb.Records,
) (*quarantinepb.Records, error) {
	return at(ctx, c, "exchange-quarantine", address, heartbeatTimeout,
		func(ctx context.Context, conn drpc.Conn) (*quarantinepb.Records, error) {
			return quarantinepb.NewDRPCQuarantineClient(conn).Exchange(ctx, records)
		})
}

// FetchChanges asks the instance at an address for what changed of a copy of the store.
func (c *Client) FetchChanges(
	ctx context.Context, address string, request *followpb.FetchRequest,
) (*followpb.FetchReply, error) {
	return at(ctx, c, "fetch-changes", address, callTimeout,
		func(ctx context.Context, conn drpc.Conn) (*followpb.FetchReply, error) {
			return followpb.NewDRPCCopiesClient(conn).FetchChanges(ctx, request)
		})
}

// FetchConfig reads a service's accepted document from the instance at an address.
func (c *Client) FetchConfig(ctx context.Context, address, service string) (*memberpb.Config, error) {
	return at(ctx, c, "fetch-config", address, callTimeout,
		func(ctx context.Context, conn drpc.Conn) (*memberpb.Config, error) {
			return memberpb.NewDRPCMembersClient(conn).FetchConfig(ctx, &memberpb.FetchConfigRequest{Service: service})
		})
}
