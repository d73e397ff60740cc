package router

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/follow"
	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
)

// provisionCopies makes the followers of the configuration and of the upstreams.
func (r *Router) provisionCopies() {
	bad := func(err error) {
		r.log.Event(eventlog.ConfigRejected, "", eventlog.Fields{"cause": err.Error()})
	}
	config := r.platform.Config(r.store, r.applyConfig, bad)
	config.Lost = r.lostConfig
	upstreams := r.platform.Upstreams(r.store, r.registry, r.upstreamsChanged, bad)
	upstreams.Lost = r.lostUpstreams
	upstreams.Found = r.registry.StoreBack
	r.copies = map[string]*follow.Follower{shareRouting: config, shareUpstreams: upstreams}
	for name, copied := range r.copies {
		copied.Renewed = func(reason follow.Reason, waited time.Duration) {
			r.log.Event(eventlog.WatchRenewed, "", eventlog.Fields{
				"copy": name, "reason": reason, "waited_ms": waited.Milliseconds(),
			})
		}
	}
	r.publisher = follow.NewPublisher(r.incarnation, r.copies, copyPeers{r})
}

// copyPeers are the other instances of the region. It implements follow.Peers.
type copyPeers struct{ r *Router }

// Rank implements follow.Peers.
func (p copyPeers) Rank() int { return p.r.table.RankInRegion(follow.RankKey) }

// Addresses implements follow.Peers.
func (p copyPeers) Addresses() []string {
	var addresses []string
	for _, m := range p.r.table.OthersInRegion() {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses
}

// Confirm implements follow.Peers. Who does not answer is told of by the heartbeats.
func (p copyPeers) Confirm(ctx context.Context, address string, confirmation *followpb.Confirmation) {
	if err := p.r.peers.Confirm(ctx, address, confirmation); err != nil {
		metrics.GetOrRegisterCounter("copies.confirmations_lost", p.r.metrics).Inc(1)
	}
}

// Confirm implements the copies service.
func (r *Router) Confirm(_ context.Context, confirmation *followpb.Confirmation) (*followpb.ConfirmReply, error) {
	r.table.Heard(confirmation.From)
	r.publisher.Take(confirmation)
	return &followpb.ConfirmReply{}, nil
}

// lostConfig asks the peers for the configuration that the store does not give.
func (r *Router) lostConfig(err error) {
	r.tellWatchFailed(shareRouting, err)
	if r.config.Table() == nil {
		r.askPeers(shareRouting)
	}
}

// lostUpstreams asks the peers for the upstreams.
func (r *Router) lostUpstreams(err error) {
	r.tellWatchFailed(shareUpstreams, err)
	r.registry.StoreOut()
	r.askPeers(shareUpstreams)
}

func (r *Router) tellWatchFailed(name string, err error) {
	fields := eventlog.Fields{"copy": name, "cause": err.Error()}
	if age, read := r.copies[name].Age(); read {
		fields["age_ms"] = age.Milliseconds()
	}
	r.log.Event(eventlog.WatchFailed, "", fields)
}

// copyAges tells, by copy and in milliseconds, for how long nothing has confirmed it.
func (r *Router) copyAges() map[string]int64 {
	ages := map[string]int64{}
	for name, copied := range r.copies {
		if age, read := copied.Age(); read {
			ages[name] = age.Milliseconds()
		}
	}
	return ages
}
