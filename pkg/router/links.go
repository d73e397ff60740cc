package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/reach"
	"github.com/lavenderring/lavenderring/pkg/registry"
	"github.com/lavenderring/lavenderring/pkg/tunnel"
)

// provisionLinks creates what connects the instance to upstreams, directly and through other instances.
func (r *Router) provisionLinks() {
	r.overloadLimit.Delay = r.ownDelay
	newConns := metrics.GetOrRegisterCounter("forward.new_connections", r.metrics)
	direct := &reach.Direct{
		Dial:     r.platform.DialUpstream,
		Pool:     r.conns,
		Paths:    reach.NewPaths(time.Now, r.onPathChange),
		Link:     r.overloadLimit,
		Now:      time.Now,
		Delay:    r.ownDelay,
		OnOpened: func() { newConns.Inc(1) },
	}
	tunnels := tunnel.NewClient(r.incarnation, r.othersInRegion, r.peers, time.Now)
	r.verifier = reach.NewVerifier(direct, tunnels, r.upstreamAt, r.upstreamsInRandomOrder)
	r.links = &reach.Connector{Direct: direct, Tunnels: tunnels, Saturated: r.overloadLimit.Overloaded}
	r.tunnels = &tunnel.Service{
		Direct:    direct,
		Verifier:  r.verifier,
		Upstreams: upstreamDirectory{r},
		IsMember:  func(incarnation string) bool { return !r.table.Silent(incarnation) },
		Saturated: r.overloadLimit.Overloaded,
	}
}

// othersInRegion returns the live other instances of the own region. Requests do not leave the region
// that they arrived in.
func (r *Router) othersInRegion() []*memberpb.Member {
	return slices.DeleteFunc(r.table.Others(), func(m *memberpb.Member) bool { return m.Region != r.settings.Region })
}

// sendHeartbeat sends a heartbeat and reports its round-trip time as a measure of the own link, if the other
// instance is in the own region: those in other regions may be slow because of the links between the regions.
func (r *Router) sendHeartbeat(ctx context.Context, address string, digest *memberpb.Digest) (*memberpb.Digest, error) {
	began := time.Now()
	reply, err := r.peers.Heartbeat(ctx, address, digest)
	if err == nil {
		r.hearing.HeardAfter(time.Since(began))
	}
	inRegion := func(m *memberpb.Member) bool { return m.PeerAddress == address }
	if slices.ContainsFunc(r.othersInRegion(), inRegion) {
		r.overloadLimit.ObserveReply(time.Since(began), err == nil)
	}
	return reply, err
}

// onPathChange logs that the own links no longer lead to a service, or do again. Idle connections over
// links that are lost are closed: a request that is sent over one may be lost, and may have run.
func (r *Router) onPathChange(change reach.Change) {
	fields := eventlog.Fields{"service": change.Service}
	if change.Reached {
		fields["after_ms"] = change.After.Milliseconds()
		r.log.Event(eventlog.UpstreamsReached, "", fields)
		return
	}
	fields["silent"], fields["failed"] = change.Silent, change.Failed[:min(len(change.Failed), maxNamedUpstreams)]
	r.log.Event(eventlog.UpstreamsUnreached, "", fields)
	for _, u := range r.registry.InService(change.Service) {
		r.conns.CloseIdle(u.Address)
	}
}

func targetOf(u registry.Upstream) reach.Target {
	return reach.Target{Service: u.Service, ID: u.ID, Address: u.Address, Domain: u.Domain}
}

func (r *Router) upstreamAt(address string) (reach.Target, bool) {
	u, known := r.registry.At(address)
	return targetOf(u), known
}

func (r *Router) upstreamsInRandomOrder() []reach.Target {
	all := r.registry.AllInService()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	targets := make([]reach.Target, 0, len(all))
	for _, u := range all {
		targets = append(targets, targetOf(u))
	}
	return targets
}

// upstreamDirectory implements tunnel.Upstreams.
type upstreamDirectory struct{ r *Router }

// InService implements tunnel.Upstreams.
func (d upstreamDirectory) InService(service, id, address string) (maxConnections int, listed bool) {
	table := d.r.config.Table()
	if table == nil || !d.r.registry.IsInService(service, id, address) {
		return 0, false
	}
	configured := table.Service(service)
	if configured == nil || configured.MaxConnections == 0 {
		return 0, configured != nil
	}
	return max(configured.MaxConnections/max(d.r.table.CountLive(), 1), 1), true
}

// Known implements tunnel.Upstreams.
func (d upstreamDirectory) Known(service, id, address string) bool {
	u, known := d.r.registry.At(address)
	return known && u.Service == service && u.ID == id
}
