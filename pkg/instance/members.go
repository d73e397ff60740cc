package instance

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"

	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/platform"
)

// instancePrefix is the platform's list of instances.
const instancePrefix = "instances/"

// digest is what this instance tells others. It names one other member, drawn
// anew each time: news of a member spreads in a few rounds, and the platform's
// list brings it anyway. Naming all cost most of an instance's traffic.
func (i *Instance) digest() *memberpb.Digest {
	d := &memberpb.Digest{From: i.table.Self()}
	for _, f := range i.config.Snapshot().Services {
		d.Generations = append(d.Generations, &memberpb.ServiceGeneration{Service: f.Service, Generation: f.Generation})
	}
	if live := i.table.Live(); len(live) > 0 {
		d.Known = append(d.Known, live[rand.IntN(len(live))])
	}
	return d
}

// takeDigest learns from a digest and reports which services the sender has
// under a higher generation.
func (i *Instance) takeDigest(d *memberpb.Digest) (newer []string) {
	i.table.Learn(d.From, true)
	for _, m := range d.Known {
		i.table.Learn(m, false)
	}
	for _, g := range d.Generations {
		if g.Generation > i.config.Generation(g.Service) {
			newer = append(newer, g.Service)
		}
	}
	return newer
}

// Heartbeat implements the members service.
func (i *Instance) Heartbeat(_ context.Context, d *memberpb.Digest) (*memberpb.Digest, error) {
	if newer := i.takeDigest(d); len(newer) > 0 && d.From != nil {
		i.fetches.TryPut(fetch{address: d.From.PeerAddress, services: newer})
	}
	return i.digest(), nil
}

// FetchConfig implements the members service.
func (i *Instance) FetchConfig(_ context.Context, req *memberpb.FetchConfigRequest) (*memberpb.Config, error) {
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
		if accepted, err := configsync.DecodeAccepted(reply.Accepted); err == nil {
			i.syncer.Apply(accepted)
		}
	}
}

// beatAll sends one round of heartbeats, to all of it at once, so that one peer
// that does not answer delays no other.
func (i *Instance) beatAll(ctx context.Context) {
	digest := i.digest()
	var round sync.WaitGroup
	for _, m := range i.table.NextRound() {
		round.Go(func() { i.beat(ctx, m.PeerAddress, digest) })
	}
	round.Wait()
}

func (i *Instance) beat(ctx context.Context, address string, digest *memberpb.Digest) {
	reply, err := i.peers.Heartbeat(ctx, address, digest)
	if err != nil {
		return
	}
	if newer := i.takeDigest(reply); len(newer) > 0 {
		i.fetchConfig(ctx, fetch{address: address, services: newer})
	}
}

// noteMembers logs which members have fallen silent or left since the last look.
func (i *Instance) noteMembers() {
	for _, m := range i.table.View() {
		before := i.noted[m.Incarnation]
		now := memberNote{silent: m.Silent, left: m.Leaving}
		fields := eventlog.Fields{"member": m.Incarnation, "domain": m.Domain}
		if now.silent && !before.silent {
			i.log.Event(eventlog.MemberSilent, "", fields)
		}
		if now.left && !before.left {
			i.log.Event(eventlog.MemberLeft, "", fields)
		}
		i.noted[m.Incarnation] = now
	}
}

// memberNote is what was last logged of a member.
type memberNote struct{ silent, left bool }

// readInstanceList takes in the platform's list. It lags and may miss members;
// it only makes them known.
func (i *Instance) readInstanceList(ctx context.Context) {
	objects, err := i.store.List(ctx, instancePrefix)
	if err != nil {
		return
	}
	for _, object := range objects {
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
	return platform.Update(ctx, i.store, instancePrefix+i.settings.Name, func(present []byte) ([]byte, error) {
		if string(present) == string(value) {
			return nil, platform.ErrUnchanged
		}
		return value, nil
	})
}
