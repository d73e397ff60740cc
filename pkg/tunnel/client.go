package tunnel

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/reach"
	"github.com/lavenderring/lavenderring/pkg/tunnel/tunnelpb"
)

// Parameters of the choice of an instance.
const (
	// maxAsked is the number of instances that are asked for one connection.
	maxAsked = 4
	// nextDelay is how long an instance may take before the next one is asked as well.
	nextDelay = 60 * time.Millisecond
	// answerTimeout is the time in which an instance that works answers, whether it reaches the upstream
	// or not.
	answerTimeout = connectTimeout + 50*time.Millisecond
	// avoidUnreached and avoidUnresponsive are how long an instance is asked last for a service that it
	// does not reach, or after it has not answered in time.
	avoidUnreached    = time.Second
	avoidUnresponsive = 2 * time.Second
	// lifetimeSlack is how long a tunnel may stay open after its deadline. The opener ends it before.
	lifetimeSlack = time.Second
	// unreachedLifetime is how long an upstream counts as reached by nobody.
	unreachedLifetime = 500 * time.Millisecond
)

// Errors of Open.
var (
	// ErrNoInstance means that there is no other instance to ask.
	ErrNoInstance = errors.New("no other instance to connect through")
	// ErrNobodyReaches means that no instance that was asked, now or a moment ago, reaches the upstream.
	ErrNobodyReaches = errors.New("no instance that was asked reaches the upstream")
)

// DeclinedError reports why an instance did not connect to an upstream.
type DeclinedError struct {
	// Instance is the name of the instance that was asked.
	Instance string
	Result   tunnelpb.Result
}

// Error implements error.
func (e *DeclinedError) Error() string { return fmt.Sprintf("instance %s: %v", e.Instance, e.Result) }

// Peers carries messages to other instances.
type Peers interface {
	// OpenTunnel starts a stream to the instance at an address; it ends when ctx ends.
	OpenTunnel(ctx context.Context, address string) (tunnelpb.DRPCTunnels_OpenClient, error)
	// CheckUpstream asks the instance at an address whether it reaches an upstream.
	CheckUpstream(ctx context.Context, address string, request *tunnelpb.CheckRequest) (*tunnelpb.CheckReply, error)
}

// Client opens tunnels through other instances. It is safe for concurrent use.
type Client struct {
	self string
	// others returns the live other instances that may be asked.
	others func() []*memberpb.Member
	peers  Peers
	now    func() time.Time

	mu sync.Mutex
	// avoidedUntil holds until when instances are asked last for a service.
	avoidedUntil map[instanceService]time.Time
	// unreachedAt holds when upstreams were last reached by nobody, by address.
	unreachedAt map[string]time.Time
}

type instanceService struct{ incarnation, service string }

// NewClient returns a client for the instance with an incarnation.
func NewClient(incarnation string, others func() []*memberpb.Member, peers Peers, now func() time.Time) *Client {
	return &Client{
		self: incarnation, others: others, peers: peers, now: now,
		avoidedUntil: map[instanceService]time.Time{}, unreachedAt: map[string]time.Time{},
	}
}

// opened is the result of asking one instance.
type opened struct {
	conn *httpconn.Conn
	via  *memberpb.Member
	err  error
}

// Open implements reach.Tunnels.
func (c *Client) Open(ctx context.Context, target reach.Target) (*httpconn.Conn, string, error) {
	if c.isUnreached(target.Address) {
		return nil, "", ErrNobodyReaches
	}
	candidates := c.candidates(target)
	if len(candidates) == 0 {
		return nil, "", ErrNoInstance
	}
	o := &opening{Client: c, ctx: ctx, target: target, candidates: candidates}
	o.results, o.askedAt = make(chan opened, len(candidates)), map[*memberpb.Member]time.Time{}
	defer o.abandon()
	return o.run()
}

// opening is one call of Open.
type opening struct {
	*Client
	ctx        context.Context
	target     reach.Target
	candidates []*memberpb.Member // those that have not been asked yet
	results    chan opened
	// askedAt holds when the instances were asked that have not answered yet.
	askedAt map[*memberpb.Member]time.Time
	// lastErr is why the last instance that answered did not connect.
	lastErr error
}

// run asks one instance after the other, the next one as soon as one has declined or is slow.
func (o *opening) run() (*httpconn.Conn, string, error) {
	next := time.NewTicker(nextDelay)
	defer next.Stop()
	for o.askNext(); len(o.askedAt) > 0; {
		select {
		case r := <-o.results:
			delete(o.askedAt, r.via)
			if r.err == nil {
				return r.conn, r.via.Name, nil
			}
			o.lastErr = r.err
			o.noteDeclined(r.via, r.err, o.target)
			o.askNext()
		case <-next.C:
			o.askNext()
		case <-o.ctx.Done():
			if errors.Is(o.ctx.Err(), context.DeadlineExceeded) {
				o.noteUnresponsive()
			}
			return nil, "", o.ctx.Err()
		}
	}
	o.noteUnreached(o.target)
	return nil, "", errors.Join(ErrNobodyReaches, o.lastErr)
}

func (o *opening) askNext() {
	if len(o.candidates) == 0 {
		return
	}
	m := o.candidates[0]
	o.candidates = o.candidates[1:]
	o.askedAt[m] = o.now()
	go func() { o.results <- o.openThrough(o.ctx, m, o.target) }()
}

// noteUnresponsive records the instances that had the time to answer and did not.
func (o *opening) noteUnresponsive() {
	for m, at := range o.askedAt {
		if o.now().Sub(at) >= answerTimeout {
			o.noteDeclined(m, context.DeadlineExceeded, o.target)
		}
	}
}

// abandon leaves connections that come too late to the instances that opened them.
func (o *opening) abandon() {
	pending := len(o.askedAt)
	go func() {
		for range pending {
			if r := <-o.results; r.err == nil {
				r.conn.Finish(0)
			}
		}
	}()
}

// isUnreached reports whether nobody who was asked lately reached an upstream.
func (c *Client) isUnreached(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, found := c.unreachedAt[address]
	return found && c.now().Sub(at) < unreachedLifetime
}

// candidates returns the instances to ask, in this order: those in the upstream's failure domain first, since
// traffic between domains costs money, and those that are avoided last.
func (c *Client) candidates(target reach.Target) []*memberpb.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var near, far, avoided []*memberpb.Member
	for _, m := range c.others() {
		key := instanceService{m.Incarnation, target.Service}
		until, found := c.avoidedUntil[key]
		if found && !now.Before(until) {
			delete(c.avoidedUntil, key)
			found = false
		}
		switch {
		case found:
			avoided = append(avoided, m)
		case m.Domain == target.Domain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	shuffle(near)
	shuffle(far)
	shuffle(avoided)
	all := slices.Concat(near, far, avoided)
	return all[:min(len(all), maxAsked)]
}

func shuffle(members []*memberpb.Member) {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// openThrough asks one instance. The tunnel outlives ctx, which bounds only the answer.
func (c *Client) openThrough(ctx context.Context, m *memberpb.Member, target reach.Target) opened {
	streamCtx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, cancel)
	s, err := c.peers.OpenTunnel(streamCtx, m.PeerAddress)
	if err == nil {
		err = s.Send(&tunnelpb.FromOpener{Target: c.message(target)})
	}
	var first *tunnelpb.FromUpstream
	if err == nil {
		first, err = s.Recv()
	}
	if err == nil && first.Result != tunnelpb.Result_CONNECTED {
		err = &DeclinedError{Instance: m.Name, Result: first.Result}
		_ = s.CloseSend() // the stream has ended; its connection can be used again
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		cancelLater(err, cancel)
		return opened{via: m, err: err}
	}
	return opened{conn: httpconn.NewConn(newConn(s, cancel), target.Address), via: m}
}

// cancelLater releases a stream. After a decline both ends have ended it, so the connection between the
// instances is not cut off as it would be for a stream in use.
func cancelLater(err error, cancel context.CancelFunc) {
	var declined *DeclinedError
	if errors.As(err, &declined) {
		time.AfterFunc(finishTimeout, cancel)
		return
	}
	cancel()
}

func (c *Client) message(target reach.Target) *tunnelpb.Target {
	return &tunnelpb.Target{
		Opener: c.self, Service: target.Service, Upstream: target.ID, Address: target.Address,
		LifetimeMs: (target.Deadline.Sub(c.now()) + lifetimeSlack).Milliseconds(),
	}
}

// noteDeclined records which instance is asked last for a while.
func (c *Client) noteDeclined(m *memberpb.Member, err error, target reach.Target) {
	avoid := avoidUnresponsive
	var declined *DeclinedError
	if errors.As(err, &declined) {
		switch declined.Result {
		case tunnelpb.Result_UNREACHED, tunnelpb.Result_DECLINED:
			avoid = avoidUnreached
		default:
			return // the result is about the upstream, not the instance
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidedUntil[instanceService{m.Incarnation, target.Service}] = c.now().Add(avoid)
}

// noteUnreached records that nobody reached an upstream, so that requests do not ask again at once.
func (c *Client) noteUnreached(target reach.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for address, at := range c.unreachedAt {
		if now.Sub(at) >= unreachedLifetime {
			delete(c.unreachedAt, address)
		}
	}
	c.unreachedAt[target.Address] = now
}

// Check implements reach.Witnesses.
func (c *Client) Check(ctx context.Context, target reach.Target, count int) []reach.Witness {
	others := c.others()
	shuffle(others)
	others = others[:min(len(others), count)]
	replies := make(chan *tunnelpb.CheckReply, len(others))
	for _, m := range others {
		go func() {
			reply, err := c.peers.CheckUpstream(ctx, m.PeerAddress, &tunnelpb.CheckRequest{Target: c.message(target)})
			if err != nil {
				reply = nil // an instance that does not answer is no witness
			}
			replies <- reply
		}()
	}
	var found []reach.Witness
	for range others {
		select {
		case reply := <-replies:
			if reply == nil {
				continue
			}
			found = append(found, reach.Witness{
				Accepts:       reply.Result == tunnelpb.Result_CONNECTED,
				Refuses:       reply.Result == tunnelpb.Result_REFUSED,
				ReachesOthers: reply.ReachesOthers,
			})
		case <-ctx.Done():
			return found
		}
	}
	return found
}
