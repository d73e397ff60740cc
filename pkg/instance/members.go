package instance

import (
	"context"
	"encoding/json"

	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// instanceKind is the platform's list of instances.
const instanceKind = "instances"

// generations tells which documents this instance works by.
func (i *Instance) generations() []*memberpb.ServiceGeneration {
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
		i.fetches.TryPut(fetch{address: d.From.PeerAddress, services: newer})
	}
	return reply, nil
}

// Probe implements the members service.
func (i *Instance) Probe(ctx context.Context, req *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	return &memberpb.ProbeReply{Answered: i.gossip.Answers(ctx, req.Incarnation, req.Address)}, nil
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

// fetch is the wish to read services' documents from a peer.
type fetch struct {
	address  string
	services []string
}

func (i *Instance) fetchConfig(ctx context.Context, f fetch) {
	for _, service := range f.services {
		reply, err := i.peers.FetchConfig(ctx, f.address, service)
		if err != nil || len(reply.Accepted) == 0 {
			continue
		}
		i.takeConfig(service, reply.Accepted)
	}
}

// takeConfig takes in what a peer has of a service, or of the emptied domains.
func (i *Instance) takeConfig(service string, value []byte) {
	if service == configsync.EmptiedDomainsName {
		if emptied, err := configsync.DecodeEmptiedDomains(value); err == nil {
			i.syncer.ApplyEmptiedDomains(emptied)
		}
		return
	}
	if accepted, err := configsync.DecodeAccepted(value); err == nil {
		i.syncer.Apply(accepted)
	}
}

// readInstanceList takes in the platform's list. It lags and may miss members;
// it only makes them known.
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

// register writes this instance into the list.
func (i *Instance) register(ctx context.Context) error {
	value, err := json.Marshal(i.table.Self())
	if err != nil {
		return err
	}
	return store.Update(ctx, i.store, instanceKind+"/"+i.settings.Name, func(present []byte) ([]byte, error) {
		if string(present) == string(value) {
			return nil, store.ErrUnchanged
		}
		return value, nil
	})
}
