package router

import (
	"context"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/placement"
)

// prefillStats returns this instance's prefill statistics of the services' engines.
func (r *Router) prefillStats() []*memberpb.Reading {
	var out []*memberpb.Reading
	for service, stats := range r.forward.PrefillStats() {
		out = append(out, &memberpb.Reading{
			Service:         service,
			TokensPerSecond: stats.TokensPerSecond,
			Answers:         stats.Answers,
			AllTokens:       stats.TotalTokens,
			LongTokens:      stats.LongTokens,
		})
	}
	return out
}

// recordPeerStats records the prefill statistics of another instance.
func (r *Router) recordPeerStats(from string, stats []*memberpb.Reading) {
	for _, m := range stats {
		r.forward.RecordPeerStats(from, m.Service, placement.PrefillStats{
			TokensPerSecond: m.TokensPerSecond,
			Answers:         m.Answers,
			TotalTokens:     m.AllTokens,
			LongTokens:      m.LongTokens,
		})
	}
}

// Heartbeat implements the members service.
func (r *Router) Heartbeat(_ context.Context, d *memberpb.Digest) (*memberpb.Digest, error) {
	r.hearing.Heard()
	reply, _ := r.gossip.Answer(d)
	return reply, nil
}

// Probe implements the members service.
func (r *Router) Probe(ctx context.Context, req *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	return &memberpb.ProbeReply{Answered: r.gossip.IsReachable(ctx, req.Incarnation, req.Address)}, nil
}

// FetchConfig implements the members service. It returns no configuration: copies of the store are
// served by the copies service.
func (r *Router) FetchConfig(_ context.Context, req *memberpb.FetchConfigRequest) (*memberpb.Config, error) {
	return &memberpb.Config{Service: req.Service}, nil
}
