package budget

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

var errUnreachable = errors.New("instance unreachable")

// fixture is the ledger, the peers and the fleet view of two or three nodes, all
// controlled by the test.
type fixture struct {
	shard       *ledger.Shard
	nodes       map[string]*Node
	unreachable map[string]bool
	silent      map[string]bool
	now         time.Time
	// beforeWrite runs once, immediately before the next write is applied.
	beforeWrite func()
}

// fixturePrepaid is the prepaid amount of fixtureBudget, in tokens.
const fixturePrepaid = 1000

const fixtureBudget = "s/a"

func newFixture(names ...string) *fixture {
	shard, _ := ledger.Decode(nil)
	f := &fixture{
		shard:       shard,
		nodes:       map[string]*Node{},
		unreachable: map[string]bool{},
		silent:      map[string]bool{},
		now:         time.Unix(1_700_000_000, 0),
	}
	for _, name := range names {
		f.nodes[name] = NewNode(Config{Self: name, Shards: 1, MinSignedTokens: 100}, Deps{
			Ledger:   f,
			Peers:    f,
			Fleet:    fleetView{f, name},
			Prepaid:  f.prepaid,
			Observer: noObserver{},
			Now:      func() time.Time { return f.now },
		})
	}
	return f
}

func (f *fixture) prepaid(int) []ServicePrepaid {
	return []ServicePrepaid{{Service: "s", Generation: 1, Amounts: map[string]int64{fixtureBudget: fixturePrepaid}}}
}

func (f *fixture) Update(_ context.Context, _ int, change func(*ledger.Shard)) error {
	if before := f.beforeWrite; before != nil {
		f.beforeWrite = nil
		before()
	}
	change(f.shard)
	return nil
}

func (f *fixture) Allocate(ctx context.Context, to string, req *budgetpb.AllocateRequest) (*budgetpb.AllocateReply, error) {
	if f.unreachable[to] {
		return nil, errUnreachable
	}
	return f.nodes[to].Allocate(ctx, req)
}

func (f *fixture) Recall(ctx context.Context, to string, req *budgetpb.RecallRequest) (*budgetpb.RecallReply, error) {
	if f.unreachable[to] {
		return nil, errUnreachable
	}
	return f.nodes[to].Recall(ctx, req)
}

func (f *fixture) Report(ctx context.Context, to string, req *budgetpb.ReportRequest) (*budgetpb.ReportReply, error) {
	if f.unreachable[to] {
		return nil, errUnreachable
	}
	return f.nodes[to].Report(ctx, req)
}

func (f *fixture) Sign(ctx context.Context, to string, req *budgetpb.SignRequest) (*budgetpb.SignReply, error) {
	if f.unreachable[to] {
		return nil, errUnreachable
	}
	return f.nodes[to].Sign(ctx, req)
}

type fleetView struct {
	fixture *fixture
	self    string
}

// Holders makes x the only holder of all budgets.
func (v fleetView) Holders(int) []string { return []string{"x"} }

// Witness returns y, or z if y is silent or excluded.
func (v fleetView) Witness(except string) string {
	for _, name := range []string{"y", "z"} {
		if name != v.self && name != except && !v.fixture.silent[name] && v.fixture.nodes[name] != nil {
			return name
		}
	}
	return ""
}

func (v fleetView) Silent(name string) bool {
	return v.fixture.silent[name] || v.fixture.nodes[name] == nil
}

type noObserver struct{}

func (noObserver) GrantDrawn(string, string, int64)             {}
func (noObserver) GrantLost(string, string)                     {}
func (noObserver) GrantReclaimed(string, string, string, int64) {}
func (noObserver) GrantReturned(string, string, int64)          {}
func (noObserver) WitnessNamed(string, string, string)          {}
func (noObserver) BudgetReduced(string, int64)                  {}

// spend reserves and uses tokens at a node, and reports whether that succeeded.
func (f *fixture) spend(t *testing.T, name string, tokens int64) bool {
	t.Helper()
	var r Reservation
	if f.nodes[name].Reserve(t.Context(), fixtureBudget, tokens, &r) != nil {
		return false
	}
	return f.nodes[name].Settle(&r, tokens) == tokens
}

func (f *fixture) tick(t *testing.T, names ...string) {
	t.Helper()
	f.now = f.now.Add(time.Second)
	for _, name := range names {
		f.nodes[name].Tick(t.Context())
	}
}

// expectHeldAtLeast checks that the ledger counts at least the spent tokens as
// settled or held.
func (f *fixture) expectHeldAtLeast(t *testing.T, spent int64) {
	t.Helper()
	b := f.shard.Budgets[fixtureBudget]
	held := b.Settled
	for _, g := range b.Grants {
		held += g.Held()
	}
	if held < spent {
		t.Errorf("%d tokens are spent, the ledger holds only %d", spent, held)
	}
}

// x loses its witness y and names z. Before z has signed anything, x crashes and z
// reclaims the grant. Tokens that x allocated on y's signature may be spent, so z
// must not free them, or the client account could spend them a second time.
func TestNewWitnessKeepsWhatTheOldOneSigned(t *testing.T) {
	f := newFixture("x", "y", "z")
	var running Reservation
	if err := f.nodes["x"].Reserve(t.Context(), fixtureBudget, 300, &running); err != nil {
		t.Fatal(err)
	}
	f.silent["y"], f.unreachable["y"] = true, true
	f.tick(t, "x") // names z; signatures follow at a later tick
	if got := f.onlyGrant(t).Witness; got != "z" {
		t.Fatalf("the witness is %q, want z", got)
	}
	f.silent["x"], f.unreachable["x"] = true, true
	if !f.nodes["z"].reclaimFrom(t.Context(), "x") {
		t.Fatal("z could not reclaim the grants of x")
	}
	f.expectHeldAtLeast(t, 300)
}

func (f *fixture) onlyGrant(t *testing.T) *ledger.Grant {
	t.Helper()
	grants := f.shard.Budgets[fixtureBudget].Grants
	if len(grants) != 1 {
		t.Fatalf("%d grants in the ledger, want 1", len(grants))
	}
	for _, g := range grants {
		return g
	}
	return nil
}

// x names z as its witness. While that write is pending, a late answer of y signs
// more tokens. If x allocated on that signature, z would free too many tokens when
// it reclaims, because it knows only the total signed when it was named.
func TestLateSignatureOfTheOldWitnessIsVoid(t *testing.T) {
	f := newFixture("x", "y", "z")
	if !f.spend(t, "x", 300) {
		t.Fatal("x could not spend tokens")
	}
	x := f.nodes["x"]
	f.silent["y"] = true
	spent := int64(300)
	f.beforeWrite = func() {
		g := x.holder.openGrant(fixtureBudget)
		late := &budgetpb.Signature{Grant: g.id, Signed: g.drawn}
		x.holder.mergeSignatures("y", nil, []*budgetpb.Signature{late})
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
	f.silent["x"] = true
	f.nodes["z"].reclaimFrom(t.Context(), "x")
	f.expectHeldAtLeast(t, spent)
}

// x is paused and considered silent. y closes the grant and reclaims the unsigned
// rest, which another holder draws. x resumes and asks y to sign more: a signature
// now would let x spend the same tokens again.
func TestWitnessThatReclaimedSignsNoMore(t *testing.T) {
	f := newFixture("x", "y")
	if !f.spend(t, "x", 200) {
		t.Fatal("x could not spend tokens")
	}
	f.silent["x"] = true
	f.tick(t, "y")
	b := f.shard.Budgets[fixtureBudget]
	// Another holder draws the rest.
	if _, err := f.shard.Draw(fixtureBudget, "other#1", "other", "", b.Free(), true); err != nil {
		t.Fatal(err)
	}
	other := b.Grants["other#1"].Drawn
	f.silent["x"] = false
	spent := int64(200)
	for range 20 {
		if f.spend(t, "x", 50) {
			spent += 50
		}
		f.tick(t, "x", "y")
	}
	if spent+other > fixturePrepaid {
		t.Errorf("x spent %d and the other holder drew %d of %d prepaid tokens", spent, other, fixturePrepaid)
	}
}

// x has replaced its witness y by z. y considers x silent, but must not close the
// grant whose witness is z now.
func TestOnlyTheNamedWitnessReclaims(t *testing.T) {
	f := newFixture("x", "y", "z")
	if !f.spend(t, "x", 100) {
		t.Fatal("x could not spend tokens")
	}
	f.silent["y"], f.unreachable["y"] = true, true
	f.tick(t, "x")
	f.tick(t, "x")
	f.silent["x"] = true
	f.nodes["y"].reclaimFrom(t.Context(), "x")
	if f.onlyGrant(t).Closed {
		t.Error("the replaced witness y closed the grant")
	}
}

// Both other instances become silent and x can reach only the store. It continues
// without a witness instead of refusing requests that have tokens. Once y is back,
// y countersigns again.
func TestLeftAloneGoesOnUnwitnessed(t *testing.T) {
	f := newFixture("x", "y", "z")
	if !f.spend(t, "x", 100) {
		t.Fatal("x could not spend tokens")
	}
	for _, name := range []string{"y", "z"} {
		f.silent[name], f.unreachable[name] = true, true
	}
	f.tick(t, "x")
	spent := 0
	for f.spend(t, "x", 100) {
		spent++
	}
	if spent != 9 {
		t.Errorf("%d requests were served, want 9", spent)
	}
	f.silent["y"], f.unreachable["y"] = false, false
	f.tick(t, "x", "y")
	if got := f.onlyGrant(t).Witness; got != "y" {
		t.Errorf("the witness is %q, want y", got)
	}
}

// A crash of x leaves in doubt no more tokens than were countersigned ahead. The
// tokens that y knows to be spent are counted as spent, and the rest is free again.
func TestCrashStrandsOnlyWhatWasSigned(t *testing.T) {
	f := newFixture("x", "y")
	for range 5 {
		if !f.spend(t, "x", 50) {
			t.Fatal("x could not spend tokens")
		}
		f.tick(t, "x", "y")
	}
	f.silent["x"], f.unreachable["x"] = true, true
	f.tick(t, "y")
	b := f.shard.Budgets[fixtureBudget]
	if b.Spent() != 250 {
		t.Errorf("%d tokens are spent, want 250", b.Spent())
	}
	if b.InDoubt() > 250 {
		t.Errorf("%d tokens are in doubt, want at most 250", b.InDoubt())
	}
	if b.Free()+b.InDoubt() != fixturePrepaid-250 {
		t.Errorf("%d tokens are free and %d in doubt, want %d together",
			b.Free(), b.InDoubt(), fixturePrepaid-250)
	}
}

// After a reduction below the granted tokens nothing more is drawn, and no granted
// tokens are taken back, because they may be spent already.
func TestReductionBelowGrantedGivesNothingNew(t *testing.T) {
	f := newFixture("x", "y")
	if !f.spend(t, "x", 100) {
		t.Fatal("x could not spend tokens")
	}
	drawn := f.onlyGrant(t).Drawn
	f.shard.SetPrepaid("s", 2, map[string]int64{fixtureBudget: 50})
	if f.shard.SetPrepaid("s", 1, map[string]int64{fixtureBudget: fixturePrepaid}) {
		t.Error("an older generation took effect")
	}
	spent := int64(100)
	for f.spend(t, "x", 10) {
		spent += 10
	}
	if spent > drawn {
		t.Errorf("%d tokens spent of %d granted", spent, drawn)
	}
	if got := f.onlyGrant(t).Drawn; got != drawn {
		t.Errorf("drawn rose from %d to %d after the reduction", drawn, got)
	}
}
