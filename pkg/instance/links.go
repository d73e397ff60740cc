package instance

import (
	"math/rand/v2"
	"time"

	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/reach"
	"github.com/lavenderring/lavenderring/pkg/tunnel"
)

// provisionLinks creates what tells upstreams that have crashed from links of this instance that are lost.
// Requests are not sent through other instances.
func (i *Instance) provisionLinks() {
	direct := &reach.Direct{Dial: httpconn.DialTCP, Paths: reach.NewPaths(time.Now, nil), Now: time.Now}
	witnesses := tunnel.NewClient(i.incarnation, i.table.Others, i.peerClient, time.Now)
	i.verifier = reach.NewVerifier(direct, witnesses, i.upstreamAt, i.upstreamsInRandomOrder)
	i.checks = &tunnel.Service{
		Direct:    direct,
		Verifier:  i.verifier,
		Upstreams: declaredUpstreams{i},
		IsMember:  func(incarnation string) bool { return !i.table.Silent(incarnation) },
	}
}

// forEachUpstream calls visit with each upstream that the documents in force declare.
func (i *Instance) forEachUpstream(visit func(target reach.Target, leaving bool)) {
	for service, active := range i.config.Snapshot().Services {
		for _, pool := range active.Document.Pools {
			for _, u := range pool.Upstreams {
				target := reach.Target{Service: service, ID: u.Name, Address: u.Address, Domain: u.Domain}
				visit(target, u.State == document.StateLeaving)
			}
		}
	}
}

func (i *Instance) upstreamAt(address string) (found reach.Target, known bool) {
	i.forEachUpstream(func(target reach.Target, _ bool) {
		if target.Address == address {
			found, known = target, true
		}
	})
	return found, known
}

func (i *Instance) upstreamsInRandomOrder() []reach.Target {
	var targets []reach.Target
	i.forEachUpstream(func(target reach.Target, leaving bool) {
		if !leaving {
			targets = append(targets, target)
		}
	})
	rand.Shuffle(len(targets), func(a, b int) { targets[a], targets[b] = targets[b], targets[a] })
	return targets
}

// declaredUpstreams implements tunnel.Upstreams. It lists no upstream for tunnels.
type declaredUpstreams struct{ i *Instance }

// InService implements tunnel.Upstreams.
func (declaredUpstreams) InService(string, string, string) (int, bool) { return 0, false }

// Known implements tunnel.Upstreams.
func (d declaredUpstreams) Known(service, id, address string) bool {
	target, known := d.i.upstreamAt(address)
	return known && target.Service == service && target.ID == id
}
