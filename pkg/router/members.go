package router

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/placement"
	"github.com/lavenderring/lavenderring/pkg/registry"
	"github.com/lavenderring/lavenderring/pkg/routing"
)

// What instances tell each other the versions of, and hand on to those that the
// store does not answer.
const (
	shareRouting   = "routing"
	shareUpstreams = "upstreams"
)

// generations tells the versions of what this instance has.
func (r *Router) generations() []*memberpb.ServiceGeneration {
	table := r.config.Table()
	if table == nil {
		return nil
	}
	return []*memberpb.ServiceGeneration{{Service: shareRouting, Generation: table.Config.Version}}
}

// readings tells what this instance has learned of the engines.
func (r *Router) readings() []*memberpb.Reading {
	var out []*memberpb.Reading
	for service, reading := range r.forward.Readings() {
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
		r.forward.Learn(from, m.Service, placement.Reading{
			TokensPerSecond: m.TokensPerSecond,
			Answers:         m.Answers,
			All:             m.AllTokens,
			Long:            m.LongTokens,
		})
	}
}

// Heartbeat implements the members service.
func (r *Router) Heartbeat(_ context.Context, d *memberpb.Digest) (*memberpb.Digest, error) {
	reply, newer := r.gossip.Answer(d)
	if len(newer) > 0 && d.From != nil {
		go r.fetchNewer(d.From.PeerAddress, newer)
	}
	return reply, nil
}

// sharedUpstreams is a copy of the registry on its way to a peer.
type sharedUpstreams struct {
	Version   uint64              `json:"version"`
	Upstreams []registry.Upstream `json:"upstreams"`
}

// Probe implements the members service.
func (r *Router) Probe(ctx context.Context, req *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	return &memberpb.ProbeReply{Answered: r.gossip.Answers(ctx, req.Incarnation, req.Address)}, nil
}

// FetchConfig implements the members service.
func (r *Router) FetchConfig(_ context.Context, req *memberpb.FetchConfigRequest) (*memberpb.Config, error) {
	table := r.config.Table()
	switch {
	case req.Service == shareRouting && table != nil:
		value, err := json.Marshal(table.Config)
		return &memberpb.Config{Service: req.Service, Generation: table.Config.Version, Accepted: value}, err
	case req.Service == shareUpstreams && r.registry.Synced():
		upstreams, version := r.registry.All()
		value, err := json.Marshal(sharedUpstreams{Version: version, Upstreams: upstreams})
		return &memberpb.Config{Service: req.Service, Generation: version, Accepted: value}, err
	}
	return &memberpb.Config{Service: req.Service}, nil
}

// fetchNewer takes from a peer what it has under a higher version. An instance
// that the store does not answer must follow changes all the same.
func (r *Router) fetchNewer(address string, names []string) {
	for _, name := range names {
		r.fetch(address, name) // if it fails, the next heartbeat tells of it again
	}
}

// fetch takes one thing from the instance at an address, and reports whether it
// had it.
func (r *Router) fetch(address, name string) bool {
	reply, err := r.peers.FetchConfig(r.background, address, name)
	if err != nil || len(reply.Accepted) == 0 {
		return false
	}
	if err := r.takeShared(name, reply.Accepted); err != nil {
		r.log.Event(eventlog.ConfigRejected, "", eventlog.Fields{"peer": address, "cause": err.Error()})
		return false
	}
	return true
}

func (r *Router) takeShared(name string, value []byte) error {
	switch name {
	case shareRouting:
		var config routing.Config
		if err := json.Unmarshal(value, &config); err != nil {
			return fmt.Errorf("decode peer's configuration: %w", err)
		}
		r.applyConfig(&config)
	case shareUpstreams:
		var shared sharedUpstreams
		if err := json.Unmarshal(value, &shared); err != nil {
			return fmt.Errorf("decode peer's upstreams: %w", err)
		}
		r.registry.Replace(shared.Upstreams, shared.Version)
		r.upstreamsChanged()
	}
	return nil
}

// askPeers fetches from one peer after the other until one had something.
func (r *Router) askPeers(name string) {
	for _, m := range r.table.Others() {
		if r.fetch(m.PeerAddress, name) {
			return
		}
	}
}
