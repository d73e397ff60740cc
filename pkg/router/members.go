package router

import (
	"context"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/placement"
)

// readings tells what this instance has learned of the engines.
func (r *Router) readings() []*memberpb.Reading {
	var out []*memberpb.Reading
	for service, reading := range r.forward.PrefillStats() {
		out = append(out, &memberpb.Reading{
			Service:         service,
			TokensPerSecond: reading.TokensPerSecond,
			Answers:         reading.Answers,
			AllTokens:       reading.All,
			LongTokens:      reading.Long,
		})
	}
	return out
}

// learned takes in what another instance has learned.
func (r *Router) learned(from string, readings []*memberpb.Reading) {
	for _, m := range readings {
		r.forward.RecordPeerStats(from, m.Service, placement.Reading{
			TokensPerSecond: m.TokensPerSecond,
			Answers:         m.Answers,
			All:             m.AllTokens,
			Long:            m.LongTokens,
		})
	}
}

// Heartbeat implements the members service.
func (r *Router) Heartbeat(_ context.Context, d *memberpb.Digest) (*memberpb.Digest, error) {
	reply, _ := r.gossip.Answer(d)
	return reply, nil
}

// Probe implements the members service.
func (r *Router) Probe(ctx context.Context, req *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	return &memberpb.ProbeReply{Answered: r.gossip.Answers(ctx, req.Incarnation, req.Address)}, nil
}

// FetchConfig implements the members service. Copies of the store are handed on by the copies
// service.
func (r *Router) FetchConfig(_ context.Context, req *memberpb.FetchConfigRequest) (*memberpb.Config, error) {
	return &memberpb.Config{Service: req.Service}, nil
}
