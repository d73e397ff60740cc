package capacity

import "math"

// The fleet and the load that the design is made for, and the limits that it must keep.
const (
	targetInstances   = 330
	requestsPerSecond = 8900.0
	tokensPerSecond   = 2_700_000.0
	targetAccounts    = 30_000
	editsPerDay       = 720.0
	// maxProcessorPercent, maxMemoryBytes and maxByteRate bound what control work may cost on one
	// instance; the processor is in percent of a core, the rate in bytes a second.
	maxProcessorPercent = 3.2
	maxMemoryBytes      = 32e6
	maxByteRate         = 23e3
	// maxWriteRate and maxReadRate are the limits of the platform, in calls a second.
	maxWriteRate = 300.0
	maxReadRate  = 2000.0
)

// Assumptions of the model about values that are not given. The page names them as assumptions.
const (
	// keyedShare is the share of requests that carry an idempotency key, since they must not run
	// twice.
	keyedShare = 0.1
	// claimShards and ledgerShardsPerInstance are the assumed settings.
	claimShards             = 256
	ledgerShardsPerInstance = 1.0
	// requestSeconds is how long a request is in progress, on average.
	requestSeconds = 5.0
	// rackInstances is the number of instances that fail together with a rack or a switch.
	rackInstances = 10
)

// Intervals, rates and bounds of the code, which the model repeats.
const (
	recordIntervalSeconds    = 5.0
	flushIntervalSeconds     = 5.0
	listIntervalSeconds      = 5.0
	registerIntervalSeconds  = 30.0
	pollIntervalSeconds      = 30.0
	watchIntervalSeconds     = 2.0
	heartbeatIntervalSeconds = 1.0
	signAheadSeconds         = 2.0
	allocateAheadSeconds     = 2.0
	copiesPerSecond          = 5.0
	heartbeatFanout          = 8.0
	numFailureDomains        = 8.0
	digestMembers            = 1.0
)

// Cost is the cost of one role on one instance.
type Cost struct {
	// Role names the role, Mechanism the code that carries it out.
	Role, Mechanism string
	// MessageRate is the number of messages exchanged with peers in a second, in both directions.
	MessageRate float64
	// PeerByteRate and StoreByteRate are bytes a second.
	PeerByteRate, StoreByteRate float64
	// ProcessorPercent is in percent of a core.
	ProcessorPercent, MemoryBytes float64
	// ReadRate, WriteRate and WatchRate are calls a second to the store by all instances together.
	ReadRate, WriteRate, WatchRate float64
	// Measurements names the measurements that the cost is derived from.
	Measurements string
}

// Model derives the costs of a fleet from measurements.
type Model struct {
	Micro  MicroCosts
	Fleets FleetCosts
}

// perInstance returns one instance's share of a total of the target fleet. The share is the same at
// all fleet sizes, because the model assumes a load proportional to the fleet size.
func perInstance(total float64) float64 { return total / targetInstances }

// callPercent returns the processor time, in percent of a core, of a number of calls a second, each
// with both ends.
func (m Model) callPercent(calls float64) float64 { return calls * m.Micro.CallMicros / 1e6 * 100 }

// Roles returns the costs of all roles on one instance of a fleet of n.
func (m Model) Roles(n float64) []Cost {
	return []Cost{
		m.entry(), m.dispatcher(), m.spender(), m.holder(n), m.witness(),
		m.billPeer(n), m.claimWriter(n), m.configuration(n), m.memberRole(n), m.administration(),
	}
}

func (m Model) entry() Cost {
	rate := perInstance(requestsPerSecond)
	return Cost{
		Role: "entry", Mechanism: "`entry`, `TryReserve` and `Settle` on lots at hand",
		ProcessorPercent: rate * m.Micro.ReserveSettleMicros / 1e6 * 100,
		Measurements:     "reserve and settle",
	}
}

func (m Model) dispatcher() Cost {
	rate := perInstance(requestsPerSecond)
	return Cost{
		Role: "dispatcher", Mechanism: "`dispatch.Pool`: eight drawn candidates and the prefix's own",
		ProcessorPercent: rate * m.Micro.PickMicros / 1e6 * 100,
		Measurements:     "pick among 600",
	}
}

// spender returns the cost of the spender. It calls a holder for nearly every request, since the
// instance has seldom served another request of the same budget just before. It reports usage a
// second later and returns unused tokens with another report: three calls for a request.
func (m Model) spender() Cost {
	rate := perInstance(requestsPerSecond)
	calls := rate * 3
	return Cost{
		Role: "spender", Mechanism: "`budget.Spender`; `Allocate` and `Report` to the holder in the domain",
		MessageRate:      calls,
		PeerByteRate:     calls * m.Micro.CallBytes,
		ProcessorPercent: m.callPercent(calls / 2),
		MemoryBytes:      m.Micro.LotBytes.Slope * targetBudgets,
		Measurements:     "call between instances, memory of a lot",
	}
}

// holder returns the cost of the grant holder. It answers as many calls as the spenders make, and
// updates each of its ledger shards with one read and one write every recordIntervalSeconds.
func (m Model) holder(n float64) Cost {
	calls := perInstance(requestsPerSecond) * 3
	holdings := ledgerShardsPerInstance * numFailureDomains
	budgets := perInstance(targetBudgets) / ledgerShardsPerInstance
	visits := holdings / recordIntervalSeconds
	return Cost{
		Role: "grant holder", Mechanism: "`budget.Holder`; one conditional write for a shard each fold",
		MessageRate:      calls,
		PeerByteRate:     calls * m.Micro.CallBytes,
		StoreByteRate:    visits * 2 * m.Micro.ShardBytes.At(budgets),
		ProcessorPercent: m.callPercent(calls/2) + visits*m.Micro.ShardMicros.At(budgets)/1e6*100,
		MemoryBytes:      holdings * budgets * m.Micro.LotBytes.Slope,
		ReadRate:         n * visits,
		WriteRate:        n * visits,
		Measurements:     "call between instances, ledger shard",
	}
}

// witness returns the cost of the witness. It signs on demand for budgets that were idle, and once
// a second for the others. The instance sends as many of these calls, as a holder, as it answers.
func (m Model) witness() Cost {
	calls := (perInstance(requestsPerSecond) + 1) * 2
	return Cost{
		Role: "witness", Mechanism: "`budget.Witness`; `Sign` from the holders whose partner it is",
		MessageRate:      calls,
		PeerByteRate:     calls * m.Micro.CallBytes,
		ProcessorPercent: m.callPercent(calls / 2),
		MemoryBytes:      numFailureDomains * perInstance(targetBudgets) * m.Micro.LotBytes.Slope,
		Measurements:     "call between instances",
	}
}

// billPeer returns the cost of bill records: two for each request, when it opens and when it
// settles.
func (m Model) billPeer(n float64) Cost {
	records := 2 * perInstance(requestsPerSecond)
	return Cost{
		Role: "bill peer", Mechanism: "`bill.Journal`, `bill.Keeper`; a segment for each flush",
		MessageRate:      2 * copiesPerSecond,
		PeerByteRate:     2 * records * m.Micro.BillBytes.Slope / 2,
		StoreByteRate:    records * m.Micro.BillBytes.Slope,
		ProcessorPercent: m.callPercent(copiesPerSecond),
		MemoryBytes:      2 * records * flushIntervalSeconds * m.Micro.BillBytes.Slope,
		WriteRate:        n / flushIntervalSeconds,
		Measurements:     "bill segment, call between instances",
	}
}

// claimWriter returns the cost of claims. Each keyed request needs a read and a write of its shard
// for its claim, and again for its outcome. Writes are grouped only within an instance, and seldom
// at this rate.
func (m Model) claimWriter(n float64) Cost {
	rate := perInstance(requestsPerSecond) * keyedShare
	const kept = 1000 // claims in a shard; docs/CAPACITY.md states the number if claims are kept for a day
	return Cost{
		Role: "claim writer", Mechanism: "`claim.Claimer`; group commit within a node",
		StoreByteRate:    rate * 2 * 2 * m.Micro.ClaimBytes.At(kept),
		ProcessorPercent: rate * 2 * m.Micro.ClaimMicros.At(kept) / 1e6 * 100,
		ReadRate:         n * rate * 2,
		WriteRate:        n * rate * 2,
		Measurements:     "claim shard",
	}
}

// configuration returns the cost of the configuration. One instance in each failure domain watches
// the store; the others poll it and learn of changes from heartbeats. Each poll lists every
// document.
func (m Model) configuration(n float64) Cost {
	const bytesPerAccount = 150.0 // of a document's text, which is kept twice: as stored and as accepted
	documents := 2 * targetAccounts * bytesPerAccount * 4 / 3
	edits := editsPerDay / 86_400
	return Cost{
		Role: "configuration watcher and relay", Mechanism: "`configsync`; one watch in each domain, spread by heartbeats",
		StoreByteRate:    documents / pollIntervalSeconds,
		PeerByteRate:     edits * documents,
		ProcessorPercent: edits * m.Micro.ApplyMicros.At(targetAccounts) / 1e6 * 100,
		MemoryBytes:      m.Micro.AccountBytes.Slope * targetAccounts,
		ReadRate:         n / pollIntervalSeconds,
		WatchRate:        numFailureDomains / watchIntervalSeconds,
		Measurements:     "document in force, memory of an account",
	}
}

// memberRole returns the cost of membership. Heartbeats go to a bounded number of peers; the
// platform's list of members is read completely.
func (m Model) memberRole(n float64) Cost {
	beats := math.Min(heartbeatFanout, n-1) / heartbeatIntervalSeconds
	const listedBytes = 300.0 // of one member in the platform's list
	return Cost{
		Role: "member", Mechanism: "`member.Table`; heartbeats to 8 peers a round",
		MessageRate:      2 * beats,
		PeerByteRate:     2 * beats * 2 * m.Micro.HeartbeatBytes.At(digestMembers),
		StoreByteRate:    n * listedBytes / listIntervalSeconds,
		ProcessorPercent: m.callPercent(beats),
		MemoryBytes:      n * m.Micro.MemberBytes.Slope,
		ReadRate:         n/listIntervalSeconds + n/registerIntervalSeconds,
		Measurements:     "heartbeat, memory of a member, idle fleets",
	}
}

// administration returns the cost of the administration routes.
func (m Model) administration() Cost {
	return Cost{
		Role: "administration", Mechanism: "`instance` admin routes; nothing unless asked",
		MemoryBytes:  8192 * 400, // the largest number of kept events, 400 bytes each
		Measurements: "bound in the code",
	}
}

// Total returns the sum of the costs of the roles.
func Total(costs []Cost) Cost {
	t := Cost{Role: "**all roles**"}
	for _, c := range costs {
		t.MessageRate += c.MessageRate
		t.PeerByteRate += c.PeerByteRate
		t.StoreByteRate += c.StoreByteRate
		t.ProcessorPercent += c.ProcessorPercent
		t.MemoryBytes += c.MemoryBytes
		t.ReadRate += c.ReadRate
		t.WriteRate += c.WriteRate
		t.WatchRate += c.WatchRate
	}
	return t
}

// minSizeOver returns the smallest fleet size, with the load in proportion to it, at which a value
// of a role exceeds its limit; 0 if there is none up to the target size.
func (m Model) minSizeOver(role int, value func(Cost) float64, limit float64) int {
	for n := 1; n <= targetInstances; n++ {
		if value(m.Roles(float64(n))[role]) > limit {
			return n
		}
	}
	return 0
}
