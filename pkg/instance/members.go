package instance

import (
	"context"
	"encoding/json"

	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// instanceKind is the kind of the objects under which instances register.
const instanceKind = "instances"

// serviceGenerations lists the generations in force on this instance, including that
// of the emptied domains.
func (i *Instance) serviceGenerations() []*memberpb.ServiceGeneration {
	var out []*memberpb.ServiceGeneration
	for _, f := range i.config.Snapshot().Services {
		out = append(out, &memberpb.ServiceGeneration{Service: f.Service, Generation: f.Generation})
	}
	if e := i.config.EmptiedDomains(); e.Generation > 0 {
		out = append(out, &memberpb.ServiceGeneration{Service: configsync.EmptiedDomainsName, Generation: e.Generation})
	}
	return out
}

// Heartbeat implements the members service.
func (i *Instance) Heartbeat(_ context.Context, d *memberpb.Digest) (*memberpb.Digest, error) {
	reply, newer := i.gossip.Answer(d)
	if len(newer) > 0 && d.From != nil {
		i.configFetches.TryPut(configFetch{address: d.From.PeerAddress, services: newer})
	}
	return reply, nil
}

// Probe implements the members service.
func (i *Instance) Probe(ctx context.Context, req *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	return &memberpb.ProbeReply{Answered: i.gossip.IsReachable(ctx, req.Incarnation, req.Address)}, nil
}

// FetchConfig implements the members service.
func (i *Instance) FetchConfig(_ context.Context, req *memberpb.FetchConfigRequest) (*memberpb.Config, error) {
	if req.Service == configsync.EmptiedDomainsName {
		e := i.config.EmptiedDomains()
		value, err := json.Marshal(e)
		return &memberpb.Config{Service: req.Service, Generation: e.Generation, Accepted: value}, err
	}
	f := i.config.Snapshot().Services[req.Service]
	if f == nil {
		return &memberpb.Config{Service: req.Service}, nil
	}
	value, err := json.Marshal(f.Accepted)
	if err != nil {
		return nil, err
	}
	return &memberpb.Config{Service: f.Service, Generation: f.Generation, Accepted: value}, nil
}

// configFetch is a queued read of services' documents from a peer.
type configFetch struct {
	address  string
	services []string
}

func (i *Instance) fetchConfig(ctx context.Context, f configFetch) {
	for _, service := range f.services {
		reply, err := i.peerClient.FetchConfig(ctx, f.address, service)
		if err != nil || len(reply.Accepted) == 0 {
			continue
		}
		i.applyFetchedConfig(service, reply.Accepted)
	}
}

// applyFetchedConfig applies a service's document, or the emptied domains, received
// from a peer.
func (i *Instance) applyFetchedConfig(service string, value []byte) {
	if service == configsync.EmptiedDomainsName {
		if emptied, err := configsync.DecodeEmptiedDomains(value); err == nil {
			i.configSyncer.ApplyEmptiedDomains(emptied)
		}
		return
	}
	if accepted, err := configsync.DecodeAccepted(value); err == nil {
		i.configSyncer.Apply(accepted)
	}
}

// readInstanceList adds the registered instances to the member table. The list may
// lag and lack members, so it is used to discover members only, not as a sign that
// they are alive.
func (i *Instance) readInstanceList(ctx context.Context) {
	list, err := i.store.List(ctx, instanceKind)
	if err != nil {
		return
	}
	for _, object := range list.Objects {
		var m memberpb.Member
		if json.Unmarshal(object.Value, &m) == nil {
			i.table.Learn(&m, false)
		}
	}
}

// register writes this instance to the list of instances.
func (i *Instance) register(ctx context.Context) error {
	value, err := json.Marshal(i.table.Self())
	if err != nil {
		return err
	}
	return store.Update(ctx, i.store, instanceKind+"/"+i.settings.Name, func(stored []byte) ([]byte, error) {
		if string(stored) == string(value) {
			return nil, store.ErrUnchanged
		}
		return value, nil
	})
}
