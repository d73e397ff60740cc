package budget

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

var errCut = errors.New("cut")

// fixture is a store, peers and a fleet view for two or three nodes under a
// test's full control.
type fixture struct {
	shard  *ledger.Shard
	nodes  map[string]*Node
	cut    map[string]bool
	silent map[string]bool
	now    time.Time
	// beforeWrite runs once, just before the next write is committed.
	beforeWrite func()
}

// fixturePrepaid is the one budget's prepaid amount in tokens.
const fixturePrepaid = 1000

const fixtureBudget = "s/a"

func newFixture(names ...string) *fixture {
	shard, _ := ledger.Decode(nil)
	d := &fixture{
		shard:  shard,
		nodes:  map[string]*Node{},
		cut:    map[string]bool{},
		silent: map[string]bool{},
		now:    time.Unix(1_700_000_000, 0),
	}
	for _, name := range names {
		d.nodes[name] = NewNode(Config{Self: name, Shards: 1, MinimumSigned: 100}, Deps{
			Ledger:   d,
			Peers:    d,
			Fleet:    fixtureView{d, name},
			Prepaid:  d.prepaid,
			Observer: noObserver{},
			Now:      func() time.Time { return d.now },
		})
	}
	return d
}

func (d *fixture) prepaid(int) []ServicePrepaid {
	return []ServicePrepaid{{Service: "s", Generation: 1, Amounts: map[string]int64{fixtureBudget: fixturePrepaid}}}
}

func (d *fixture) Update(_ context.Context, _ int, change func(*ledger.Shard)) error {
	if before := d.beforeWrite; before != nil {
		d.beforeWrite = nil
		before()
	}
	change(d.shard)
	return nil
}

func (d *fixture) Allocate(ctx context.Context, to string, req *budgetpb.AllocateRequest) (*budgetpb.AllocateReply, error) {
	if d.cut[to] {
		return nil, errCut
	}
	return d.nodes[to].Allocate(ctx, req)
}

func (d *fixture) Recall(ctx context.Context, to string, req *budgetpb.RecallRequest) (*budgetpb.RecallReply, error) {
	if d.cut[to] {
		return nil, errCut
	}
	return d.nodes[to].Recall(ctx, req)
}

func (d *fixture) Report(ctx context.Context, to string, req *budgetpb.ReportRequest) (*budgetpb.ReportReply, error) {
	if d.cut[to] {
		return nil, errCut
	}
	return d.nodes[to].Report(ctx, req)
}

func (d *fixture) Sign(ctx context.Context, to string, req *budgetpb.SignRequest) (*budgetpb.SignReply, error) {
	if d.cut[to] {
		return nil, errCut
	}
	return d.nodes[to].Sign(ctx, req)
}

type fixtureView struct {
	d    *fixture
	self string
}

// Holders makes x the only holder, to whom everybody comes.
func (v fixtureView) Holders(int) []string { return []string{"x"} }

// Witness is y, or z when y is silent.
func (v fixtureView) Witness(except string) string {
	for _, name := range []string{"y", "z"} {
		if name != v.self && name != except && !v.d.silent[name] && v.d.nodes[name] != nil {
			return name
		}
	}
	return ""
}

func (v fixtureView) Silent(name string) bool { return v.d.silent[name] || v.d.nodes[name] == nil }

type noObserver struct{}

func (noObserver) GrantDrawn(string, string, int64)             {}
func (noObserver) GrantLost(string, string)                     {}
func (noObserver) GrantReclaimed(string, string, string, int64) {}
func (noObserver) GrantReturned(string, string, int64)          {}
func (noObserver) WitnessNamed(string, string, string)          {}
func (noObserver) BudgetReduced(string, int64)                  {}

// spend reserves and uses tokens at a node, and reports whether it could.
func (d *fixture) spend(t *testing.T, name string, tokens int64) bool {
	t.Helper()
	var r Reservation
	if d.nodes[name].Reserve(t.Context(), fixtureBudget, tokens, &r) != nil {
		return false
	}
	return d.nodes[name].Settle(&r, tokens) == tokens
}

func (d *fixture) tick(t *testing.T, names ...string) {
	t.Helper()
	d.now = d.now.Add(time.Second)
	for _, name := range names {
		d.nodes[name].Tick(t.Context())
	}
}

// expectCovered checks that what may have been spent is withheld.
func (d *fixture) expectCovered(t *testing.T, spent int64) {
	t.Helper()
	b := d.shard.Budgets[fixtureBudget]
	withheld := b.Settled
	for _, g := range b.Grants {
		withheld += g.Held()
	}
	if withheld < spent {
		t.Errorf("%d tokens are spent, the ledger withholds %d", spent, withheld)
	}
}

// x loses its witness y and names z; before z has signed anything x dies and z
// reclaims. Tokens that x had allocated on y's word are spent all the same: z
// must not free them, or the account could spend them a second time.
func TestNewWitnessKeepsWhatTheOldOneSigned(t *testing.T) {
	d := newFixture("x", "y", "z")
	var running Reservation
	if err := d.nodes["x"].Reserve(t.Context(), fixtureBudget, 300, &running); err != nil {
		t.Fatal(err)
	}
	d.silent["y"], d.cut["y"] = true, true
	d.tick(t, "x") // names z; signatures follow at a later tick
	if got := d.onlyGrant(t).Witness; got != "z" {
		t.Fatalf("the witness is %q", got)
	}
	d.silent["x"], d.cut["x"] = true, true
	if !d.nodes["z"].reclaimFrom(t.Context(), "x") {
		t.Fatal("not reclaimed")
	}
	d.expectCovered(t, 300)
}

func (d *fixture) onlyGrant(t *testing.T) *ledger.Grant {
	t.Helper()
	grants := d.shard.Budgets[fixtureBudget].Grants
	if len(grants) != 1 {
		t.Fatalf("%d grants", len(grants))
	}
	for _, g := range grants {
		return g
	}
	return nil
}

// x is naming z; while that write is on its way an answer of y comes late and
// signs more. If x allocated on it, z, who knows only what was signed when it
// was named, would reclaim too much.
func TestLateSignatureOfTheOldWitnessIsVoid(t *testing.T) {
	d := newFixture("x", "y", "z")
	if !d.spend(t, "x", 300) {
		t.Fatal("no tokens")
	}
	x := d.nodes["x"]
	d.silent["y"] = true
	spent := int64(300)
	d.beforeWrite = func() {
		g := x.holder.openGrant(fixtureBudget)
		late := &budgetpb.Signature{Grant: g.id, Signed: g.drawn}
		x.holder.signed("y", nil, []*budgetpb.Signature{late})
		for x.holder.allocatable(fixtureBudget) > 0 {
			rest := x.holder.allocatable(fixtureBudget)
			reply := x.holder.allocate(&budgetpb.AllocateRequest{
				Spender: "x", Budget: fixtureBudget, Seq: uint64(1000 + spent), Need: rest,
			})
			x.spender.Merge(fixtureBudget, reply.Lots)
			spent += rest
		}
	}
	x.Tick(t.Context())
	d.silent["x"] = true
	d.nodes["z"].reclaimFrom(t.Context(), "x")
	d.expectCovered(t, spent)
}

// x is frozen and thought dead; y stops signing and reclaims the unsigned rest,
// which others then spend. x wakes and asks y to sign more: a signature now
// would let x spend the same tokens again.
func TestWitnessThatReclaimedSignsNoMore(t *testing.T) {
	d := newFixture("x", "y")
	if !d.spend(t, "x", 200) {
		t.Fatal("no tokens")
	}
	d.silent["x"] = true
	d.tick(t, "y")
	b := d.shard.Budgets[fixtureBudget]
	// The rest goes to somebody else.
	if _, err := d.shard.Draw(fixtureBudget, "other#1", "other", "", b.Free(), true); err != nil {
		t.Fatal(err)
	}
	other := b.Grants["other#1"].Drawn
	d.silent["x"] = false
	spent := int64(200)
	for range 20 {
		if d.spend(t, "x", 50) {
			spent += 50
		}
		d.tick(t, "x", "y")
	}
	if spent+other > fixturePrepaid {
		t.Errorf("x spent %d and the other holds %d, of %d prepaid", spent, other, fixturePrepaid)
	}
}

// x was replaced as y's charge: it named z. y, believing x dead, must not close
// the grant that z answers for now.
func TestOnlyTheNamedWitnessReclaims(t *testing.T) {
	d := newFixture("x", "y", "z")
	if !d.spend(t, "x", 100) {
		t.Fatal("no tokens")
	}
	d.silent["y"], d.cut["y"] = true, true
	d.tick(t, "x")
	d.tick(t, "x")
	d.silent["x"] = true
	d.nodes["y"].reclaimFrom(t.Context(), "x")
	if d.onlyGrant(t).Closed {
		t.Error("a replaced witness closed the grant")
	}
}

// Both others fall silent and x is left alone with the store. It goes on without
// a witness rather than refuse callers who have tokens; when y is back it
// countersigns again.
func TestLeftAloneGoesOnUnwitnessed(t *testing.T) {
	d := newFixture("x", "y", "z")
	if !d.spend(t, "x", 100) {
		t.Fatal("no tokens")
	}
	for _, name := range []string{"y", "z"} {
		d.silent[name], d.cut[name] = true, true
	}
	d.tick(t, "x")
	spent := 0
	for d.spend(t, "x", 100) {
		spent++
	}
	if spent != 9 {
		t.Errorf("%d of 9 requests were served", spent)
	}
	d.silent["y"], d.cut["y"] = false, false
	d.tick(t, "x", "y")
	if got := d.onlyGrant(t).Witness; got != "y" {
		t.Errorf("the witness is %q", got)
	}
}

// A crash of x leaves in doubt no more than was countersigned ahead, and what y
// knows to be spent is settled. The rest is free again.
func TestCrashStrandsOnlyWhatWasSigned(t *testing.T) {
	d := newFixture("x", "y")
	for range 5 {
		if !d.spend(t, "x", 50) {
			t.Fatal("no tokens")
		}
		d.tick(t, "x", "y")
	}
	d.silent["x"], d.cut["x"] = true, true
	d.tick(t, "y")
	b := d.shard.Budgets[fixtureBudget]
	if b.Spent() != 250 {
		t.Errorf("spent is %d, should be 250", b.Spent())
	}
	if b.InDoubt() > 250 {
		t.Errorf("%d tokens in doubt", b.InDoubt())
	}
	if b.Free()+b.InDoubt() != fixturePrepaid-250 {
		t.Errorf("free %d, in doubt %d", b.Free(), b.InDoubt())
	}
}

// A reduction below what is granted gives nothing new out, and takes nothing
// back by force: what is granted may be spent already.
func TestReductionBelowGrantedGivesNothingNew(t *testing.T) {
	d := newFixture("x", "y")
	if !d.spend(t, "x", 100) {
		t.Fatal("no tokens")
	}
	drawn := d.onlyGrant(t).Drawn
	d.shard.SetPrepaid("s", 2, map[string]int64{fixtureBudget: 50})
	if d.shard.SetPrepaid("s", 1, map[string]int64{fixtureBudget: fixturePrepaid}) {
		t.Error("an older generation took effect")
	}
	spent := int64(100)
	for d.spend(t, "x", 10) {
		spent += 10
	}
	if spent > drawn {
		t.Errorf("spent %d of %d granted", spent, drawn)
	}
	if got := d.onlyGrant(t).Drawn; got != drawn {
		t.Errorf("drawn rose from %d to %d after the reduction", drawn, got)
	}
}
