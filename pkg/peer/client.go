// Package peer carries the messages of the other packages between instances over drpc.
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
	"github.com/lavenderring/lavenderring/pkg/origin/originpb"
	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
	"github.com/lavenderring/lavenderring/pkg/quarantine/quarantinepb"
	"github.com/lavenderring/lavenderring/pkg/tunnel/tunnelpb"
)

// Bounds of the client.
const (
	// callTimeout bounds one call; the peer answers from memory or after one write to the store.
	callTimeout = 2 * time.Second
	// heartbeatTimeout bounds a heartbeat, a confirmation of copies of the store, an exchange of
	// quarantine records and a call about what began a stream.
	heartbeatTimeout = 500 * time.Millisecond
	// probeTimeout bounds an indirect probe, in which the peer probes a member.
	probeTimeout = 400 * time.Millisecond
	// dialTimeout bounds the time to establish a TCP connection.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is the time after which an unused pooled connection is closed.
	idleTimeout = time.Minute
	// maxConnectionsPerPeer bounds the pool of an address; drpc carries one call at a time on a
	// connection.
	maxConnectionsPerPeer = 16
)

// ErrUnknownPeer means that the address of an incarnation is unknown.
var ErrUnknownPeer = errors.New("peer is not known")

// CallError reports which call to which peer failed.
type CallError struct {
	// Step is the name of the call; Peer is the incarnation or the address.
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
	address  func(incarnation string) string
	onAnswer func(incarnation string)
	traffic  *Traffic
	tls      *tls.Config

	mu    sync.Mutex
	pools map[string]*drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client. address returns an incarnation's peer address, or an empty string;
// onAnswer is called with each incarnation that answered; traffic counts the bytes; tlsConfig is nil
// for plain connections.
func NewClient(address func(string) string, onAnswer func(string), traffic *Traffic, tlsConfig *tls.Config) *Client {
	return &Client{
		address:  address,
		onAnswer: onAnswer,
		traffic:  traffic,
		tls:      tlsConfig,
		pools:    map[string]*drpcpool.Pool[string, drpcpool.Conn]{},
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
			Expiration:  idleTimeout,
			Capacity:    maxConnectionsPerPeer,
			KeyCapacity: maxConnectionsPerPeer,
		})
		c.pools[address] = pool
	}
	return pool
}

// closePool closes every connection to an address. A call that timed out may have used a connection
// whose state was lost by a device between the two ends; other connections of the same age are
// probably in the same state, and each would cost a timeout.
func (c *Client) closePool(address string) {
	c.mu.Lock()
	pool := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if pool != nil {
		_ = pool.Close()
	}
}

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, address string) (drpcpool.Conn, error)

// dial opens a connection within dialTimeout.
func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	return c.dialWithin(ctx, dialTimeout, address)
}

// dialPatiently opens a connection within the time of the call that it is for: over a saturated link it takes longer
// than dialTimeout.
func (c *Client) dialPatiently(ctx context.Context, address string) (drpcpool.Conn, error) {
	return c.dialWithin(ctx, callTimeout, address)
}

func (c *Client) dialWithin(ctx context.Context, timeout time.Duration, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := c.traffic.countConn(raw)
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

// callIncarnation makes one call to an incarnation at its known address.
func callIncarnation[Reply any](
	ctx context.Context, c *Client, step, incarnation string, call func(context.Context, drpc.Conn) (Reply, error),
) (Reply, error) {
	var zero Reply
	address := c.address(incarnation)
	if address == "" {
		return zero, &CallError{Step: step, Peer: incarnation, Err: ErrUnknownPeer}
	}
	reply, err := callAddress(ctx, c, step, address, callTimeout, call)
	if err == nil {
		c.onAnswer(incarnation)
	}
	return reply, err
}

func callAddress[Reply any](
	ctx context.Context, c *Client, step, address string, timeout time.Duration,
	call func(context.Context, drpc.Conn) (Reply, error),
) (Reply, error) {
	return callOver(ctx, c, step, address, timeout, c.dial, call)
}

// callOver makes a call over a kept connection or one that dial opens.
func callOver[Reply any](
	ctx context.Context, c *Client, step, address string, timeout time.Duration, dial dialFunc,
	call func(context.Context, drpc.Conn) (Reply, error),
) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn := c.pool(address).Get(ctx, address, dial)
	defer func() { _ = conn.Close() }()
	reply, err := call(ctx, conn)
	if err != nil {
		if ctx.Err() != nil {
			c.closePool(address)
		}
		return reply, &CallError{Step: step, Peer: address, Err: err}
	}
	return reply, nil
}

// Allocate implements budget.Peers.
func (c *Client) Allocate(
	ctx context.Context, incarnation string, req *budgetpb.AllocateRequest,
) (*budgetpb.AllocateReply, error) {
	return callIncarnation(ctx, c, "allocate", incarnation, func(ctx context.Context, conn drpc.Conn) (*budgetpb.AllocateReply, error) {
		return budgetpb.NewDRPCBudgetsClient(conn).Allocate(ctx, req)
	})
}

// Recall implements budget.Peers.
func (c *Client) Recall(
	ctx context.Context, incarnation string, req *budgetpb.RecallRequest,
) (*budgetpb.RecallReply, error) {
	return callIncarnation(ctx, c, "recall", incarnation, func(ctx context.Context, conn drpc.Conn) (*budgetpb.RecallReply, error) {
		return budgetpb.NewDRPCBudgetsClient(conn).Recall(ctx, req)
	})
}

// Report implements budget.Peers.
func (c *Client) Report(
	ctx context.Context, incarnation string, req *budgetpb.ReportRequest,
) (*budgetpb.ReportReply, error) {
	return callIncarnation(ctx, c, "report", incarnation, func(ctx context.Context, conn drpc.Conn) (*budgetpb.ReportReply, error) {
		return budgetpb.NewDRPCBudgetsClient(conn).Report(ctx, req)
	})
}

// Sign implements budget.Peers.
func (c *Client) Sign(
	ctx context.Context, incarnation string, req *budgetpb.SignRequest,
) (*budgetpb.SignReply, error) {
	return callIncarnation(ctx, c, "sign", incarnation, func(ctx context.Context, conn drpc.Conn) (*budgetpb.SignReply, error) {
		return budgetpb.NewDRPCBudgetsClient(conn).Sign(ctx, req)
	})
}

// Keep implements bill.Peers.
func (c *Client) Keep(ctx context.Context, incarnation string, req *billpb.KeepRequest) (*billpb.KeepReply, error) {
	return callIncarnation(ctx, c, "keep", incarnation, func(ctx context.Context, conn drpc.Conn) (*billpb.KeepReply, error) {
		return billpb.NewDRPCBillsClient(conn).Keep(ctx, req)
	})
}

// Lend implements prepaid.Peers.
func (c *Client) Lend(ctx context.Context, incarnation, budget string, need, ahead int64) (int64, error) {
	req := &prepaidpb.LendRequest{Budget: budget, Need: need, Ahead: ahead}
	reply, err := callIncarnation(ctx, c, "lend", incarnation, func(ctx context.Context, conn drpc.Conn) (*prepaidpb.LendReply, error) {
		return prepaidpb.NewDRPCLoansClient(conn).Lend(ctx, req)
	})
	if err != nil {
		return 0, err
	}
	return reply.Tokens, nil
}

// Refill reports to an instance that draws tokens for the failure domain and returns its reply.
func (c *Client) Refill(
	ctx context.Context, incarnation string, req *prepaidpb.RefillRequest,
) (*prepaidpb.RefillReply, error) {
	return callIncarnation(ctx, c, "refill", incarnation, func(ctx context.Context, conn drpc.Conn) (*prepaidpb.RefillReply, error) {
		return prepaidpb.NewDRPCLoansClient(conn).Refill(ctx, req)
	})
}

// Witness requests that an instance record what this one has drawn.
func (c *Client) Witness(
	ctx context.Context, incarnation string, req *prepaidpb.WitnessRequest,
) (*prepaidpb.WitnessReply, error) {
	return callIncarnation(ctx, c, "witness", incarnation, func(ctx context.Context, conn drpc.Conn) (*prepaidpb.WitnessReply, error) {
		return prepaidpb.NewDRPCLoansClient(conn).Witness(ctx, req)
	})
}

// RecallTokens notifies an instance that a budget is short of tokens.
func (c *Client) RecallTokens(ctx context.Context, incarnation, budget string) error {
	_, err := callIncarnation(ctx, c, "recall-tokens", incarnation, func(ctx context.Context, conn drpc.Conn) (*prepaidpb.RecallReply, error) {
		return prepaidpb.NewDRPCLoansClient(conn).Recall(ctx, &prepaidpb.RecallRequest{Budget: budget})
	})
	return err
}

// Heartbeat exchanges digests with the instance at an address.
func (c *Client) Heartbeat(ctx context.Context, address string, digest *memberpb.Digest) (*memberpb.Digest, error) {
	return callAddress(ctx, c, "heartbeat", address, heartbeatTimeout,
		func(ctx context.Context, conn drpc.Conn) (*memberpb.Digest, error) {
			return memberpb.NewDRPCMembersClient(conn).Heartbeat(ctx, digest)
		})
}

// Probe requests that the instance at an address probe a member, and reports whether it answered.
func (c *Client) Probe(ctx context.Context, address string, suspect *memberpb.Member) (bool, error) {
	req := &memberpb.ProbeRequest{Incarnation: suspect.Incarnation, Address: suspect.PeerAddress}
	reply, err := callAddress(ctx, c, "probe", address, probeTimeout,
		func(ctx context.Context, conn drpc.Conn) (*memberpb.ProbeReply, error) {
			return memberpb.NewDRPCMembersClient(conn).Probe(ctx, req)
		})
	return reply.GetAnswered(), err
}

// Confirm sends the instance at an address a confirmation of what was read from the store.
func (c *Client) Confirm(ctx context.Context, address string, confirmation *followpb.Confirmation) error {
	_, err := callAddress(ctx, c, "confirm", address, heartbeatTimeout,
		func(ctx context.Context, conn drpc.Conn) (*followpb.ConfirmReply, error) {
			return followpb.NewDRPCCopiesClient(conn).Confirm(ctx, confirmation)
		})
	return err
}

// ExchangeQuarantine exchanges records of requests that crashed upstreams with the instance at an
// address.
func (c *Client) ExchangeQuarantine(
	ctx context.Context, address string, records *quarantinepb.Records,
) (*quarantinepb.Records, error) {
	return callAddress(ctx, c, "exchange-quarantine", address, heartbeatTimeout,
		func(ctx context.Context, conn drpc.Conn) (*quarantinepb.Records, error) {
			return quarantinepb.NewDRPCQuarantineClient(conn).Exchange(ctx, records)
		})
}

// KeepOrigins sends records of what began streams to the instance at an address.
func (c *Client) KeepOrigins(ctx context.Context, address string, records *originpb.Records) error {
	_, err := callAddress(ctx, c, "keep-origins", address, heartbeatTimeout,
		func(ctx context.Context, conn drpc.Conn) (*originpb.KeepReply, error) {
			return originpb.NewDRPCOriginsClient(conn).Keep(ctx, records)
		})
	return err
}

// FindOrigin asks the instance at an address what began a stream.
func (c *Client) FindOrigin(
	ctx context.Context, address string, request *originpb.FindRequest,
) (*originpb.FindReply, error) {
	return callAddress(ctx, c, "find-origin", address, heartbeatTimeout,
		func(ctx context.Context, conn drpc.Conn) (*originpb.FindReply, error) {
			return originpb.NewDRPCOriginsClient(conn).Find(ctx, request)
		})
}

// FetchChanges requests the changes of a copy of the store from the instance at an address.
func (c *Client) FetchChanges(
	ctx context.Context, address string, request *followpb.FetchRequest,
) (*followpb.FetchReply, error) {
	return callOver(ctx, c, "fetch-changes", address, callTimeout, c.dialPatiently,
		func(ctx context.Context, conn drpc.Conn) (*followpb.FetchReply, error) {
			return followpb.NewDRPCCopiesClient(conn).FetchChanges(ctx, request)
		})
}

// FetchConfig requests a service's accepted document from the instance at an address.
func (c *Client) FetchConfig(ctx context.Context, address, service string) (*memberpb.Config, error) {
	return callAddress(ctx, c, "fetch-config", address, callTimeout,
		func(ctx context.Context, conn drpc.Conn) (*memberpb.Config, error) {
			return memberpb.NewDRPCMembersClient(conn).FetchConfig(ctx, &memberpb.FetchConfigRequest{Service: service})
		})
}

// OpenTunnel starts the stream of a tunnel through the instance at an address; it ends when ctx ends.
func (c *Client) OpenTunnel(ctx context.Context, address string) (tunnelpb.DRPCTunnels_OpenClient, error) {
	conn := c.pool(address).Get(ctx, address, c.dial)
	stream, err := tunnelpb.NewDRPCTunnelsClient(conn).Open(ctx)
	if err != nil {
		return nil, &CallError{Step: "open-tunnel", Peer: address, Err: err}
	}
	return stream, nil
}

// CheckUpstream asks the instance at an address whether it reaches an upstream.
func (c *Client) CheckUpstream(
	ctx context.Context, address string, request *tunnelpb.CheckRequest,
) (*tunnelpb.CheckReply, error) {
	return callAddress(ctx, c, "check-upstream", address, heartbeatTimeout,
		func(ctx context.Context, conn drpc.Conn) (*tunnelpb.CheckReply, error) {
			return tunnelpb.NewDRPCTunnelsClient(conn).Check(ctx, request)
		})
}
