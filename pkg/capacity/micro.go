package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderring/lavenderring/pkg/bill"
	"github.com/lavenderring/lavenderring/pkg/bill/billpb"
	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/claim"
	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/dispatch"
	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/ledger"
	"github.com/lavenderring/lavenderring/pkg/member"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/outcome"
	"github.com/lavenderring/lavenderring/pkg/peer"
)

// MicroCosts holds the costs of single operations, measured within one process. Times are in
// microseconds, sizes in bytes. The lines are over the number that their comment names.
type MicroCosts struct {
	// ReserveSettleMicros is the time to reserve and settle a request, which every request needs;
	// MapUpdatesMicros is that of two updates of a plain map, for comparison.
	ReserveSettleMicros, MapUpdatesMicros float64
	// PickMicros is the time to choose among 600 upstreams.
	PickMicros float64
	// CallMicros is the processor time of a call between instances over loopback, both ends
	// together.
	CallMicros float64
	// CallBytes is the number of bytes that the call sends, in both directions.
	CallBytes float64
	// ShardBytes and ShardMicros are the size of a ledger shard and the time to decode and encode
	// it, over its budgets, with two grants each.
	ShardBytes, ShardMicros Line
	// ClaimBytes and ClaimMicros are the same for a claim shard, over its claims.
	ClaimBytes, ClaimMicros Line
	// BillBytes is the size of a bill segment over its records.
	BillBytes Line
	// HeartbeatBytes is the size of a heartbeat over the members named in it.
	HeartbeatBytes Line
	// LotBytes, MemberBytes and AccountBytes are heap memory over budgets with a lot, known
	// members, and accounts in a document.
	LotBytes, MemberBytes, AccountBytes Line
	// ApplyMicros is the time to bring a document into force, over its accounts.
	ApplyMicros Line
}

// MeasureMicro measures the costs of single operations. It takes about a minute.
func MeasureMicro() (MicroCosts, error) {
	m := MicroCosts{
		ReserveSettleMicros: measureMicros(benchReserve),
		MapUpdatesMicros:    measureMicros(benchMap),
		PickMicros:          measureMicros(benchPick),
		ShardBytes:          fitOver(shardSizes, func(n int) float64 { return float64(len(encodeShard(n))) }),
		ShardMicros:         fitOver(shardSizes, measureShardMicros),
		ClaimBytes:          fitOver(claimSizes, func(n int) float64 { return float64(len(encodeClaims(n))) }),
		ClaimMicros:         fitOver(claimSizes, measureClaimMicros),
		BillBytes:           fitOver([]int{10, 100, 1000}, billSegmentBytes),
		HeartbeatBytes:      fitOver([]int{1, 8, 16}, heartbeatBytes),
		LotBytes:            fitOver([]int{1000, 10_000, 53_000}, measureLotBytes),
		MemberBytes:         fitOver([]int{10, 100, 330}, measureMemberBytes),
		AccountBytes:        fitOver([]int{100, 1000, 10_000}, measureAccountBytes),
		ApplyMicros:         fitOver([]int{100, 1000, 10_000}, measureApplyMicros),
	}
	var err error
	m.CallMicros, m.CallBytes, err = measureCall()
	return m, err
}

var (
	shardSizes = []int{10, 50, 160, 500}
	claimSizes = []int{10, 100, 500, 1000}
)

// fitOver measures at each size and returns the line through the results.
func fitOver(sizes []int, measure func(int) float64) Line {
	var xs, ys []float64
	for _, n := range sizes {
		xs = append(xs, float64(n))
		ys = append(ys, measure(n))
	}
	return fit(xs, ys)
}

// measureMicros returns the elapsed time of one operation in microseconds.
func measureMicros(bench func(*testing.B)) float64 {
	result := testing.Benchmark(bench)
	return float64(result.T.Nanoseconds()) / float64(result.N) / 1000
}

func budgetIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("service/account-%05d", i)
	}
	return ids
}

// targetBudgets is the number of budgets that the design is made for.
const targetBudgets = 53_000

func benchReserve(b *testing.B) {
	ids := budgetIDs(targetBudgets)
	s := budget.NewSpender("s")
	for _, id := range ids {
		s.Merge(id, []*budgetpb.Lot{{Grant: "h#1", Holder: "h", Allocated: 1 << 50}})
	}
	var r budget.Reservation
	for n := 0; b.Loop(); n++ {
		s.TryReserve(ids[n%len(ids)], 100, &r)
		s.Settle(&r, 60)
	}
}

func benchMap(b *testing.B) {
	ids := budgetIDs(targetBudgets)
	m := map[string]int64{}
	for n := 0; b.Loop(); n++ {
		m[ids[n%len(ids)]] -= 100
		m[ids[n%len(ids)]] += 40
	}
}

func benchPick(b *testing.B) {
	p := dispatch.NewPool("a", time.Now)
	doc := &document.Pool{MaxConcurrent: 1 << 30}
	for n := range 600 {
		doc.Upstreams = append(doc.Upstreams, document.Upstream{Name: fmt.Sprint(n), Domain: "a"})
	}
	p.Update(doc)
	want := dispatch.Request{StartBy: time.Now().Add(time.Hour)}
	for b.Loop() {
		lease, err := p.Acquire(context.Background(), want)
		if err == nil {
			lease.Done(dispatch.Result{Load: -1})
		}
	}
}

// typicalIncarnation is as long as the incarnations of real instances.
const typicalIncarnation = "instance-100-01M8W0TS8NPADF4MF295G3Y99W"

func encodeShard(budgets int) []byte {
	s, _ := ledger.Decode(nil)
	amounts := map[string]int64{}
	for _, id := range budgetIDs(budgets) {
		amounts[id] = 1_000_000_000
	}
	s.SetPrepaid("service", 1, amounts)
	for id := range amounts {
		for _, n := range []string{"#1", "#2"} {
			holder := typicalIncarnation + n[1:]
			if g, err := s.Draw(id, holder+n, holder, typicalIncarnation, 123_456_789, true); err == nil {
				g.Used = 98_765_432
			}
		}
	}
	value, _ := s.Encode()
	return value
}

func measureShardMicros(budgets int) float64 {
	value := encodeShard(budgets)
	return measureMicros(func(b *testing.B) {
		for b.Loop() {
			s, err := ledger.Decode(value)
			if err == nil {
				_, _ = s.Encode()
			}
		}
	})
}

func encodeClaims(claims int) []byte {
	s := claim.Shard{Claims: map[string]*claim.Claim{}}
	for n := range claims {
		s.Claims[claim.Key("service/account", fmt.Sprint(n))] = &claim.Claim{
			Request:     "01M8W0TS8NPADF4MF295G3Y99W",
			Holder:      typicalIncarnation,
			Fingerprint: fingerprint.Content("POST", "/jobs", nil).String(),
			Outcome:     outcome.Ran,
			Answer:      &claim.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 200)},
			AtMillis:    1_796_236_731_704,
		}
	}
	value, _ := json.Marshal(s)
	return value
}

func measureClaimMicros(claims int) float64 {
	value := encodeClaims(claims)
	return measureMicros(func(b *testing.B) {
		for b.Loop() {
			var s claim.Shard
			if json.Unmarshal(value, &s) == nil {
				_, _ = json.Marshal(s)
			}
		}
	})
}

func billSegmentBytes(records int) float64 {
	segment := bill.Segment{Incarnation: typicalIncarnation}
	for n := range records {
		segment.Records = append(segment.Records, &billpb.Record{
			Seq: uint64(1_000_000 + n), Request: "01M8W0TS8NPADF4MF295G3Y99W", Budget: "service/account-00001",
			Tokens: 1234, Outcome: bill.OutcomeRan, AtMillis: 1_796_236_731_704,
		})
	}
	value, _ := json.Marshal(segment)
	return float64(len(value))
}

func typicalMember(n int) *memberpb.Member {
	return &memberpb.Member{
		Incarnation: fmt.Sprintf("instance-%03d-01M8W0TS8NPADF4MF295G3Y99W", n),
		Name:        fmt.Sprintf("instance-%03d", n), Region: "north", Domain: "a", PeerAddress: "127.0.0.1:8081",
	}
}

func heartbeatBytes(members int) float64 {
	d := &memberpb.Digest{From: typicalMember(0)}
	for n := range members {
		d.Known = append(d.Known, typicalMember(n))
	}
	return float64(proto.Size(d))
}

// measureHeapBytes returns the heap memory that the result of build retains.
func measureHeapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func measureLotBytes(budgets int) float64 {
	return measureHeapBytes(func() any {
		s := budget.NewSpender("s")
		for _, id := range budgetIDs(budgets) {
			lot := &budgetpb.Lot{Grant: id + typicalIncarnation, Holder: typicalIncarnation, Allocated: 1000}
			s.Merge(id, []*budgetpb.Lot{lot})
		}
		return s
	})
}

func measureMemberBytes(members int) float64 {
	return measureHeapBytes(func() any {
		t := member.NewTable(member.Config{Self: typicalMember(-1), Fanout: member.DefaultFanout, Now: time.Now})
		for n := range members {
			t.Learn(typicalMember(n), true)
		}
		return t
	})
}

func acceptedDocument(accounts int) configsync.Accepted {
	text := []byte("service = \"s\"\n[[pools]]\nname = \"p\"\nkind = \"plain\"\n")
	for n := range accounts {
		text = fmt.Appendf(text, "[[accounts]]\nname = \"account-%05d\"\nkey_sha256 = %q\nprepaid_tokens = 1000000\n",
			n, document.HashKey(fmt.Sprint(n)))
	}
	return configsync.Accepted{Service: "s", Generation: 1, Text: text}
}

func measureAccountBytes(accounts int) float64 {
	accepted := acceptedDocument(accounts)
	return measureHeapBytes(func() any {
		s := configsync.NewState(func(*configsync.ActiveDocument) {})
		_, _ = s.Apply(accepted)
		return s
	})
}

func measureApplyMicros(accounts int) float64 {
	accepted := acceptedDocument(accounts)
	return measureMicros(func(b *testing.B) {
		for b.Loop() {
			s := configsync.NewState(func(*configsync.ActiveDocument) {})
			_, _ = s.Apply(accepted)
		}
	})
}

// allocateServer answers the call that measureCall measures, and no other.
type allocateServer struct{ budgetpb.DRPCBudgetsServer }

// Allocate implements the Allocate call of the budgets service.
func (allocateServer) Allocate(context.Context, *budgetpb.AllocateRequest) (*budgetpb.AllocateReply, error) {
	lot := &budgetpb.Lot{Grant: typicalIncarnation + "#1", Holder: typicalIncarnation, Witness: typicalIncarnation, Allocated: 1e9}
	return &budgetpb.AllocateReply{Lots: []*budgetpb.Lot{lot}}, nil
}

// measureCall returns the processor time, in microseconds, and the bytes of an Allocate call
// between two instances, with both ends in this process.
func measureCall() (micros, bytes float64, err error) {
	var traffic peer.Traffic
	server, err := peer.Listen("127.0.0.1:0", peer.Handlers{Budgets: allocateServer{}}, &traffic, nil)
	if err != nil {
		return 0, 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx) }()
	var unused peer.Traffic
	client := peer.NewClient(func(string) string { return server.Address() }, func(string) {}, &unused, nil)
	defer client.Close()
	req := &budgetpb.AllocateRequest{Spender: typicalIncarnation, Budget: "service/account-00001", Seq: 1, Need: 1000}
	const calls = 5000
	before := processorTime()
	for range calls {
		if _, err := client.Allocate(ctx, "x", req); err != nil {
			return 0, 0, err
		}
	}
	spent := processorTime() - before
	moved := traffic.In.Load() + traffic.Out.Load()
	return float64(spent.Microseconds()) / calls, float64(moved) / calls, nil
}
