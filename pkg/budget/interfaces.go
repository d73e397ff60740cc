// Package budget decides which instance may spend which prepaid tokens. It uses
// no sockets, and reads the time only through Deps.Now.
//
// Tokens pass through three roles, each in a file of its own. A holder draws a
// grant from the ledger by one conditional write. It allocates parts of the
// grant, called lots, to spenders, the instances that receive requests. A witness
// in another failure domain countersigns how much a holder may have allocated,
// so that the rest can be reclaimed if the holder crashes. Every counter is
// cumulative, so late or duplicate messages have no effect, and no safety
// property depends on a correct clock.
package budget

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// Ledger changes one shard by one conditional write, or writes nothing if the
// change function leaves the shard as it is. The function may be called several
// times.
type Ledger interface {
	Update(ctx context.Context, shard int, change func(*ledger.Shard)) error
}

// Peers sends requests to other instances, which are named by incarnation.
type Peers interface {
	Allocate(ctx context.Context, to string, req *budgetpb.AllocateRequest) (*budgetpb.AllocateReply, error)
	Recall(ctx context.Context, to string, req *budgetpb.RecallRequest) (*budgetpb.RecallReply, error)
	Report(ctx context.Context, to string, req *budgetpb.ReportRequest) (*budgetpb.ReportReply, error)
	Sign(ctx context.Context, to string, req *budgetpb.SignRequest) (*budgetpb.SignReply, error)
}

// Fleet is this instance's view of the other instances. A wrong view never lets a
// budget be overspent.
type Fleet interface {
	// Holders returns the incarnations to ask for a shard's budgets, nearest first.
	Holders(shard int) []string
	// Witness returns the incarnation that should countersign this instance's
	// grants, other than except, which has just failed; empty if no other is
	// known.
	Witness(except string) string
	// Silent reports whether an incarnation counts as silent: it has sent no
	// message for the silence timeout, or was declared silent.
	Silent(incarnation string) bool
}

// Prepaid returns, for one shard, the prepaid amounts in each service's document
// in force.
type Prepaid func(shard int) []ServicePrepaid

// ServicePrepaid holds one service's prepaid amounts, by budget, within one
// shard.
type ServicePrepaid struct {
	Service    string
	Generation uint64
	Amounts    map[string]int64
}

// Observer receives the package's decisions, for the event log.
type Observer interface {
	GrantDrawn(budget, grant string, drawn int64)
	GrantLost(budget, grant string)
	GrantReclaimed(budget, grant, holder string, signed int64)
	GrantReturned(budget, grant string, allocated int64)
	WitnessNamed(budget, grant, witness string)
	BudgetReduced(budget string, free int64)
}

// Config holds the bounds and sizes of a Node.
type Config struct {
	// Self is this instance's incarnation.
	Self string
	// Shards is the number of ledger shards.
	Shards int
	// AllocateAhead is how long the tokens that a spender keeps allocated last at
	// its present demand.
	AllocateAhead time.Duration
	// SignAhead is how long the unallocated tokens that a holder keeps
	// countersigned last at its present demand. A crash leaves no more than that
	// in doubt.
	SignAhead time.Duration
	// DrawAhead is how long the unallocated tokens that a holder keeps drawn last
	// at its present demand, so that an outage of the store does not exhaust them.
	DrawAhead time.Duration
	// ExtraDrawDivisor bounds what one draw may take beyond the present need:
	// 1/ExtraDrawDivisor of the budget's remaining free tokens. Default 4.
	ExtraDrawDivisor int64
	// RecordInterval is the minimum time between two writes of a holder to one
	// shard that only record used tokens.
	RecordInterval time.Duration
	// MinSignedTokens is the minimum number of tokens countersigned beyond those
	// that are allocated.
	MinSignedTokens int64
	// Unwitnessed lets holders allocate without a countersignature; the
	// experiment uses it as a baseline.
	Unwitnessed bool
}

// Defaults of Config, and the smoothing of the demand rates.
const (
	DefaultAllocateAhead    = 2 * time.Second
	DefaultSignAhead        = 2 * time.Second
	DefaultDrawAhead        = time.Hour
	DefaultExtraDrawDivisor = 4
	DefaultRecordInterval   = 5 * time.Second
	// demandSmoothingFactor is the weight of the newest tick in a smoothed demand
	// rate.
	demandSmoothingFactor = 0.2
)

// WithDefaults returns the configuration with defaults for zero fields.
func (c Config) WithDefaults() Config {
	if c.AllocateAhead == 0 {
		c.AllocateAhead = DefaultAllocateAhead
	}
	if c.SignAhead == 0 {
		c.SignAhead = DefaultSignAhead
	}
	if c.DrawAhead == 0 {
		c.DrawAhead = DefaultDrawAhead
	}
	if c.ExtraDrawDivisor == 0 {
		c.ExtraDrawDivisor = DefaultExtraDrawDivisor
	}
	if c.RecordInterval == 0 {
		c.RecordInterval = DefaultRecordInterval
	}
	return c
}
