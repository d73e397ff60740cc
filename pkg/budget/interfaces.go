// Package budget decides who may spend which prepaid tokens. It knows no
// sockets and no clocks.
//
// Tokens move in one direction through three roles, each a file here. A holder
// draws a grant from the ledger by one conditional write. It allocates parts of
// the grant, lots, to spenders, the instances that callers reach. A witness in
// another failure domain countersigns how much a holder may have allocated, so
// that the rest can be reclaimed if the holder dies. Every counter is
// cumulative; no message can do harm by coming late or twice, and nothing here
// is safe only for as long as a clock is right.
package budget

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// Ledger changes one shard by one conditional write, or none if the change
// function leaves the shard as it is. The function may be called several times.
type Ledger interface {
	Update(ctx context.Context, shard int, change func(*ledger.Shard)) error
}

// Peers carries messages to other instances, named by incarnation.
type Peers interface {
	Allocate(ctx context.Context, to string, req *budgetpb.AllocateRequest) (*budgetpb.AllocateReply, error)
	Recall(ctx context.Context, to string, req *budgetpb.RecallRequest) (*budgetpb.RecallReply, error)
	Report(ctx context.Context, to string, req *budgetpb.ReportRequest) (*budgetpb.ReportReply, error)
	Sign(ctx context.Context, to string, req *budgetpb.SignRequest) (*budgetpb.SignReply, error)
}

// Fleet tells who is there. Nothing depends on its being right.
type Fleet interface {
	// Holders returns the incarnations to ask for a shard's budgets, nearest first.
	Holders(shard int) []string
	// Witness returns whom this instance should have countersign its grants,
	// other than one that has just failed; empty if nobody else is known.
	Witness(except string) string
	// Silent reports whether an incarnation has not been heard of for the bound.
	Silent(incarnation string) bool
}

// Prepaid returns, for one shard, what each service's document in force says
// its budgets prepaid.
type Prepaid func(shard int) []ServicePrepaid

// ServicePrepaid is one service's prepaid amounts within one shard.
type ServicePrepaid struct {
	Service    string
	Generation uint64
	Amounts    map[string]int64
}

// Observer is told what the slice decides, for the event log.
type Observer interface {
	GrantDrawn(budget, grant string, drawn int64)
	GrantLost(budget, grant string)
	GrantReclaimed(budget, grant, holder string, signed int64)
	GrantReturned(budget, grant string, allocated int64)
	WitnessNamed(budget, grant, witness string)
	BudgetReduced(budget string, free int64)
}

// Config sizes the slice.
type Config struct {
	// Self is this instance's incarnation.
	Self string
	// Shards is the number of ledger shards.
	Shards int
	// Ahead is how much of its demand a spender keeps allocated.
	Ahead time.Duration
	// SignedAhead is how much of its demand a holder keeps countersigned. A
	// crash leaves no more than that in doubt.
	SignedAhead time.Duration
	// Horizon is how much of its demand a holder keeps drawn, to last through
	// an outage of the store.
	Horizon time.Duration
	// PoolShare is the part of a budget's free tokens that one draw may take
	// beyond the present need: 1/PoolShare. Default 4.
	PoolShare int64
	// FoldEvery is the least time between two writes of a holder to one shard
	// that only record spending.
	FoldEvery time.Duration
	// MinimumSigned is the least number of tokens countersigned ahead.
	MinimumSigned int64
	// Unwitnessed lets holders allocate without countersignature; the
	// experiment uses it as a baseline.
	Unwitnessed bool
}

// Defaults of the sizing.
const (
	DefaultAhead       = 2 * time.Second
	DefaultSignedAhead = 2 * time.Second
	DefaultHorizon     = time.Hour
	DefaultPoolShare   = 4
	DefaultFoldEvery   = 5 * time.Second
	// tickSmoothing is the weight of the newest tick in smoothed demand.
	tickSmoothing = 0.2
)

// WithDefaults fills in what is zero.
func (c Config) WithDefaults() Config {
	if c.Ahead == 0 {
		c.Ahead = DefaultAhead
	}
	if c.SignedAhead == 0 {
		c.SignedAhead = DefaultSignedAhead
	}
	if c.Horizon == 0 {
		c.Horizon = DefaultHorizon
	}
	if c.PoolShare == 0 {
		c.PoolShare = DefaultPoolShare
	}
	if c.FoldEvery == 0 {
		c.FoldEvery = DefaultFoldEvery
	}
	return c
}
