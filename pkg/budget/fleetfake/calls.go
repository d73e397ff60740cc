package fleetfake

import (
	"bytes"
	"context"

	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// store is one node's way to the platform.
type store struct{ m *Member }

// maxUpdateTries bounds the conflicts of one update.
const maxUpdateTries = 10

// Update implements budget.Ledger with the store's faults.
func (s store) Update(_ context.Context, shard int, change func(*ledger.Shard)) error {
	f := s.m.fleet
	s.m.busy++
	defer func() { s.m.busy-- }()
	for try := 0; try < maxUpdateTries; try++ {
		if f.Faults.StoreDown {
			return errFake
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
		s.m.pause()
		if bytes.Equal(value, read) {
			return nil
		}
		if f.Faults.StoreDown {
			return errFake
		}
		if !bytes.Equal(f.shards[shard], read) {
			continue // conflict
		}
		f.Writes++
		f.shards[shard] = value
		if f.Faults.StoreSlow && f.waiting {
			return errFake
		}
		if f.rng.Float64() < f.Faults.LoseWriteAnswer {
			continue // the client reads back, as platform.Update does
		}
		return nil
	}
	return errFake
}

// peers is one node's way to the others.
type peers struct{ m *Member }

func call[Req, Reply any](
	p peers, to string, req Req, handle func(*budget.Node, context.Context, Req) (Reply, error),
) (Reply, error) {
	var none Reply
	f := p.m.fleet
	p.m.busy++
	defer func() { p.m.busy-- }()
	p.m.pause()
	target := f.find(to)
	f.Messages++
	if target == nil || !target.Up() || f.cut[[2]int{p.m.Place, target.Place}] || f.lost(f.Faults.LoseRequest) {
		return none, errFake
	}
	target.busy++
	defer func() { target.busy-- }()
	reply, err := handle(target.Node, context.Background(), req)
	if f.cut[[2]int{target.Place, p.m.Place}] || f.lost(f.Faults.LoseReply) {
		return none, errFake
	}
	return reply, err
}

func (f *Fleet) lost(probability float64) bool { return f.rng.Float64() < probability }

func (f *Fleet) find(incarnation string) *Member {
	for _, m := range f.Nodes {
		if m.Incarnation == incarnation {
			return m
		}
	}
	return nil
}

// Allocate implements budget.Peers.
func (p peers) Allocate(
	_ context.Context, to string, req *budgetpb.AllocateRequest,
) (*budgetpb.AllocateReply, error) {
	return call(p, to, req, (*budget.Node).Allocate)
}

// Recall implements budget.Peers.
func (p peers) Recall(_ context.Context, to string, req *budgetpb.RecallRequest) (*budgetpb.RecallReply, error) {
	return call(p, to, req, (*budget.Node).Recall)
}

// Report implements budget.Peers.
func (p peers) Report(_ context.Context, to string, req *budgetpb.ReportRequest) (*budgetpb.ReportReply, error) {
	return call(p, to, req, (*budget.Node).Report)
}

// Sign implements budget.Peers.
func (p peers) Sign(_ context.Context, to string, req *budgetpb.SignRequest) (*budgetpb.SignReply, error) {
	return call(p, to, req, (*budget.Node).Sign)
}

// view is what one node believes of the fleet.
type view struct{ m *Member }

// Holders implements budget.Fleet: one holder for each failure domain, the
// node's own domain first, those not thought silent only.
func (v view) Holders(shard int) []string {
	f := v.m.fleet
	best := map[int]*Member{}
	var order []int
	for i := range f.Nodes {
		m := f.Nodes[(shard*7+i)%len(f.Nodes)]
		if best[m.Domain] == nil && (m == v.m || !v.Silent(m.Incarnation)) {
			best[m.Domain] = m
			order = append(order, m.Domain)
		}
	}
	out := []string{}
	if own := best[v.m.Domain]; own != nil {
		out = append(out, own.Incarnation)
	}
	for _, domain := range order {
		if domain != v.m.Domain {
			out = append(out, best[domain].Incarnation)
		}
	}
	return out
}

// Witness implements budget.Fleet: the next place in another domain.
func (v view) Witness(except string) string {
	f := v.m.fleet
	for i := 1; i < len(f.Nodes); i++ {
		m := f.Nodes[(v.m.Place+i)%len(f.Nodes)]
		if m.Domain != v.m.Domain && m.Incarnation != except && !v.Silent(m.Incarnation) {
			return m.Incarnation
		}
	}
	return ""
}

// Silent implements budget.Fleet.
func (v view) Silent(incarnation string) bool {
	f := v.m.fleet
	m := f.find(incarnation)
	if m == nil {
		return true // an incarnation of the past
	}
	if m == v.m {
		return false
	}
	if m.Paused && f.now.Sub(m.downSince) >= SilentBound {
		return true
	}
	return f.cutLong(v.m, m) || f.cutLong(m, v.m)
}

func (f *Fleet) cutLong(from, to *Member) bool {
	return f.cut[[2]int{from.Place, to.Place}] && f.now.Sub(from.cutSince[to.Place]) >= SilentBound
}

// observer counts what matters to the tests.
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
