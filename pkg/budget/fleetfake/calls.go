package fleetfake

import (
	"bytes"
	"context"

	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// storeClient is one instance's access to the platform's store.
type storeClient struct{ instance *Instance }

// maxUpdateAttempts bounds the attempts of one update after conflicting writes
// and lost answers.
const maxUpdateAttempts = 10

// Update implements budget.Ledger and injects the store's faults.
func (s storeClient) Update(_ context.Context, shard int, change func(*ledger.Shard)) error {
	f := s.instance.fleet
	s.instance.activeCalls++
	defer func() { s.instance.activeCalls-- }()
	for attempt := 0; attempt < maxUpdateAttempts; attempt++ {
		if f.Faults.StoreDown {
			return errInjected
		}
		f.Reads++
		read := f.shards[shard]
		decoded, err := ledger.Decode(read)
		if err != nil {
			return err
		}
		change(decoded)
		value, err := decoded.Encode()
		if err != nil {
			return err
		}
		s.instance.maybePause()
		if bytes.Equal(value, read) {
			return nil
		}
		if f.Faults.StoreDown {
			return errInjected
		}
		if !bytes.Equal(f.shards[shard], read) {
			continue // conflict
		}
		f.Writes++
		f.shards[shard] = value
		if f.Faults.StoreSlow && f.requestWaiting {
			return errInjected
		}
		if f.rng.Float64() < f.Faults.LoseWriteAnswer {
			continue // the client reads the shard again, as store.Update does
		}
		return nil
	}
	return errInjected
}

// peerClient is one instance's access to the other instances.
type peerClient struct{ instance *Instance }

func call[Req, Reply any](
	p peerClient, to string, req Req, handle func(*budget.Node, context.Context, Req) (Reply, error),
) (Reply, error) {
	var none Reply
	f := p.instance.fleet
	p.instance.activeCalls++
	defer func() { p.instance.activeCalls-- }()
	p.instance.maybePause()
	target := f.findInstance(to)
	f.Messages++
	if target == nil || !target.Up() || f.linksDown[[2]int{p.instance.Index, target.Index}] || f.messageLost(f.Faults.LoseRequest) {
		return none, errInjected
	}
	target.activeCalls++
	defer func() { target.activeCalls-- }()
	reply, err := handle(target.Node, context.Background(), req)
	if f.linksDown[[2]int{target.Index, p.instance.Index}] || f.messageLost(f.Faults.LoseReply) {
		return none, errInjected
	}
	return reply, err
}

func (f *Fleet) messageLost(probability float64) bool { return f.rng.Float64() < probability }

func (f *Fleet) findInstance(incarnation string) *Instance {
	for _, inst := range f.Instances {
		if inst.Incarnation == incarnation {
			return inst
		}
	}
	return nil
}

// Allocate implements budget.Peers.
func (p peerClient) Allocate(
	_ context.Context, to string, req *budgetpb.AllocateRequest,
) (*budgetpb.AllocateReply, error) {
	return call(p, to, req, (*budget.Node).Allocate)
}

// Recall implements budget.Peers.
func (p peerClient) Recall(_ context.Context, to string, req *budgetpb.RecallRequest) (*budgetpb.RecallReply, error) {
	return call(p, to, req, (*budget.Node).Recall)
}

// Report implements budget.Peers.
func (p peerClient) Report(_ context.Context, to string, req *budgetpb.ReportRequest) (*budgetpb.ReportReply, error) {
	return call(p, to, req, (*budget.Node).Report)
}

// Sign implements budget.Peers.
func (p peerClient) Sign(_ context.Context, to string, req *budgetpb.SignRequest) (*budgetpb.SignReply, error) {
	return call(p, to, req, (*budget.Node).Sign)
}

// fleetView is one instance's view of the fleet.
type fleetView struct{ instance *Instance }

// Holders implements budget.Fleet: one holder for each failure domain, the
// instance's own domain first. Instances that count as silent are left out.
func (v fleetView) Holders(shard int) []string {
	f := v.instance.fleet
	holders := map[int]*Instance{}
	var domains []int
	for i := range f.Instances {
		inst := f.Instances[(shard*7+i)%len(f.Instances)]
		if holders[inst.Domain] == nil && (inst == v.instance || !v.Silent(inst.Incarnation)) {
			holders[inst.Domain] = inst
			domains = append(domains, inst.Domain)
		}
	}
	out := []string{}
	if own := holders[v.instance.Domain]; own != nil {
		out = append(out, own.Incarnation)
	}
	for _, domain := range domains {
		if domain != v.instance.Domain {
			out = append(out, holders[domain].Incarnation)
		}
	}
	return out
}

// Witness implements budget.Fleet: the next instance in another failure domain
// that does not count as silent and is not the incarnation except.
func (v fleetView) Witness(except string) string {
	f := v.instance.fleet
	for i := 1; i < len(f.Instances); i++ {
		inst := f.Instances[(v.instance.Index+i)%len(f.Instances)]
		if inst.Domain != v.instance.Domain && inst.Incarnation != except && !v.Silent(inst.Incarnation) {
			return inst.Incarnation
		}
	}
	return ""
}

// Silent implements budget.Fleet.
func (v fleetView) Silent(incarnation string) bool {
	f := v.instance.fleet
	inst := f.findInstance(incarnation)
	if inst == nil {
		return true // an earlier incarnation, which has crashed
	}
	if inst == v.instance {
		return false
	}
	if inst.Paused && f.now.Sub(inst.pausedSince) >= SilenceTimeout {
		return true
	}
	return f.linkDownTooLong(v.instance, inst) || f.linkDownTooLong(inst, v.instance)
}

func (f *Fleet) linkDownTooLong(from, to *Instance) bool {
	return f.linksDown[[2]int{from.Index, to.Index}] && f.now.Sub(from.linkDownSince[to.Index]) >= SilenceTimeout
}

// observer counts reclaimed grants.
type observer struct{ f *Fleet }

// GrantDrawn implements budget.Observer.
func (o observer) GrantDrawn(string, string, int64) {}

// GrantLost implements budget.Observer.
func (o observer) GrantLost(string, string) {}

// GrantReclaimed implements budget.Observer.
func (o observer) GrantReclaimed(string, string, string, int64) { o.f.Reclaims++ }

// GrantReturned implements budget.Observer.
func (o observer) GrantReturned(string, string, int64) {}

// WitnessNamed implements budget.Observer.
func (o observer) WitnessNamed(string, string, string) {}

// BudgetReduced implements budget.Observer.
func (o observer) BudgetReduced(string, int64) {}
