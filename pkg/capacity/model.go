package capacity

import "math"

// The size that the design is made for, and the limits.
const (
	targetNodes       = 330
	requestsPerSecond = 8900.0
	tokensPerSecond   = 2_700_000.0
	targetAccounts    = 30_000
	editsPerDay       = 720.0
	// limitProcessor, limitMemory and limitBytes are a node's for control.
	limitProcessor = 3.2
	limitMemory    = 32e6
	limitBytes     = 23e3
	// limitWrites and limitReads are the platform's, a second.
	limitWrites = 300.0
	limitReads  = 2000.0
)

// What is not given and the model assumes; the page says so.
const (
	// keyedShare is the part of the requests that may not be repeated.
	keyedShare = 0.1
	// claimShards and ledgerShardsPerNode are the settings assumed.
	claimShards         = 256
	ledgerShardsPerNode = 1.0
	// requestLength is how many seconds a request is in progress, on average.
	requestLength = 5.0
	// rackNodes is how many nodes a rack or switch takes with it.
	rackNodes = 10
)

// Paces of the code that the model repeats.
const (
	foldSeconds      = 5.0
	flushSeconds     = 5.0
	listSeconds      = 5.0
	registerSeconds  = 30.0
	pollSeconds      = 30.0
	watchSeconds     = 2.0
	heartbeatSeconds = 1.0
	signedSeconds    = 2.0
	aheadSeconds     = 2.0
	copiesPerSecond  = 5.0
	heartbeatFanout  = 8.0
	failureDomains   = 8.0
	digestMembers    = 1.0
)

// Cost is what one role costs on one node.
type Cost struct {
	// Role names the role; Carrier the mechanism in the code.
	Role, Carrier string
	// Calls are messages with peers a second, both directions.
	Calls float64
	// PeerBytes and StoreBytes are a second.
	PeerBytes, StoreBytes float64
	// Processor is in percent of a core; Memory in bytes.
	Processor, Memory float64
	// Reads, Writes and Watches are calls to the store a second by all nodes.
	Reads, Writes, Watches float64
	// From names the measurements it is worked out from.
	From string
}

// Model is what the measurements say.
type Model struct {
	Micro  Micro
	Fleets Fleets
}

// perNode returns what grows with the fleet: everything keeps its share of the
// target size.
func perNode(total float64) float64 { return total / targetNodes }

// call returns the processor share, in percent of a core, of calls a second,
// each with both ends.
func (m Model) call(calls float64) float64 { return calls * m.Micro.Call / 1e6 * 100 }

// Roles returns the costs of all roles on one node of a fleet of n.
func (m Model) Roles(n float64) []Cost {
	return []Cost{
		m.entry(), m.dispatcher(), m.spender(), m.holder(n), m.witness(),
		m.billPeer(n), m.claimWriter(n), m.configuration(n), m.memberRole(n), m.administration(),
	}
}

func (m Model) entry() Cost {
	rate := perNode(requestsPerSecond)
	return Cost{
		Role: "entry", Carrier: "`entry`, `TryReserve` and `Settle` on lots at hand",
		Processor: rate * m.Micro.ReserveSettle / 1e6 * 100,
		From:      "reserve and settle",
	}
}

func (m Model) dispatcher() Cost {
	rate := perNode(requestsPerSecond)
	return Cost{
		Role: "dispatcher", Carrier: "`dispatch.Pool`: eight drawn candidates and the prefix's own",
		Processor: rate * m.Micro.Pick / 1e6 * 100,
		From:      "pick among 600",
	}
}

// spender asks a holder for nearly every request, since a request's budget is
// seldom one that the node has served just before, and reports a second later;
// what it does not use it returns with another report.
func (m Model) spender() Cost {
	rate := perNode(requestsPerSecond)
	calls := rate * 3
	return Cost{
		Role: "spender", Carrier: "`budget.Spender`; `Allocate` and `Report` to the holder in the domain",
		Calls:     calls,
		PeerBytes: calls * m.Micro.CallBytes,
		Processor: m.call(calls / 2),
		Memory:    m.Micro.LotMemory.Slope * targetBudgets,
		From:      "call between instances, memory of a lot",
	}
}

// holder answers as many calls as the spenders make, and brings each of its
// shards up to date: one read and one write every fold.
func (m Model) holder(n float64) Cost {
	calls := perNode(requestsPerSecond) * 3
	holdings := ledgerShardsPerNode * failureDomains
	budgets := perNode(targetBudgets) / ledgerShardsPerNode
	visits := holdings / foldSeconds
	return Cost{
		Role: "grant holder", Carrier: "`budget.Holder`; one conditional write for a shard each fold",
		Calls:      calls,
		PeerBytes:  calls * m.Micro.CallBytes,
		StoreBytes: visits * 2 * m.Micro.ShardBytes.At(budgets),
		Processor:  m.call(calls/2) + visits*m.Micro.ShardTime.At(budgets)/1e6*100,
		Memory:     holdings * budgets * m.Micro.LotMemory.Slope,
		Reads:      n * visits,
		Writes:     n * visits,
		From:       "call between instances, ledger shard",
	}
}

// witness signs on demand for budgets that were idle, and once a second for the
// others; it asks as holder as often as it is asked.
func (m Model) witness() Cost {
	calls := (perNode(requestsPerSecond) + 1) * 2
	return Cost{
		Role: "witness", Carrier: "`budget.Witness`; `Sign` from the holders whose partner it is",
		Calls:     calls,
		PeerBytes: calls * m.Micro.CallBytes,
		Processor: m.call(calls / 2),
		Memory:    failureDomains * perNode(targetBudgets) * m.Micro.LotMemory.Slope,
		From:      "call between instances",
	}
}

// billPeer copies two records for each request, opened and settled.
func (m Model) billPeer(n float64) Cost {
	records := 2 * perNode(requestsPerSecond)
	return Cost{
		Role: "bill peer", Carrier: "`bill.Journal`, `bill.Keeper`; a segment for each flush",
		Calls:      2 * copiesPerSecond,
		PeerBytes:  2 * records * m.Micro.BillBytes.Slope / 2,
		StoreBytes: records * m.Micro.BillBytes.Slope,
		Processor:  m.call(copiesPerSecond),
		Memory:     2 * records * flushSeconds * m.Micro.BillBytes.Slope,
		Writes:     n / flushSeconds,
		From:       "bill segment, call between instances",
	}
}

// claimWriter takes and finishes each keyed request with a read and a write of
// its shard; groups form only within a node, and seldom at this rate.
func (m Model) claimWriter(n float64) Cost {
	rate := perNode(requestsPerSecond) * keyedShare
	const kept = 1000 // claims in a shard; see the page on what a day would make it
	return Cost{
		Role: "claim writer", Carrier: "`claim.Claimer`; group commit within a node",
		StoreBytes: rate * 2 * 2 * m.Micro.ClaimBytes.At(kept),
		Processor:  rate * 2 * m.Micro.ClaimTime.At(kept) / 1e6 * 100,
		Reads:      n * rate * 2,
		Writes:     n * rate * 2,
		From:       "claim shard",
	}
}

// configuration: one watcher in each domain; the others poll and learn from
// heartbeats. Each poll lists every document.
func (m Model) configuration(n float64) Cost {
	const bytesPerAccount = 150.0 // of a document's text, twice: stored and accepted
	documents := 2 * targetAccounts * bytesPerAccount * 4 / 3
	edits := editsPerDay / 86_400
	return Cost{
		Role: "configuration watcher and relay", Carrier: "`configsync`; one watch in each domain, spread by heartbeats",
		StoreBytes: documents / pollSeconds,
		PeerBytes:  edits * documents,
		Processor:  edits * m.Micro.ApplyTime.At(targetAccounts) / 1e6 * 100,
		Memory:     m.Micro.AccountMemory.Slope * targetAccounts,
		Reads:      n / pollSeconds,
		Watches:    failureDomains / watchSeconds,
		From:       "document in force, memory of an account",
	}
}

// memberRole: heartbeats go to a bounded number of peers; the platform's list is
// read whole.
func (m Model) memberRole(n float64) Cost {
	beats := math.Min(heartbeatFanout, n-1) / heartbeatSeconds
	const listedBytes = 300.0 // of one member in the platform's list
	return Cost{
		Role: "member", Carrier: "`member.Table`; heartbeats to 8 peers a round",
		Calls:      2 * beats,
		PeerBytes:  2 * beats * 2 * m.Micro.DigestBytes.At(digestMembers),
		StoreBytes: n * listedBytes / listSeconds,
		Processor:  m.call(beats),
		Memory:     n * m.Micro.MemberMemory.Slope,
		Reads:      n/listSeconds + n/registerSeconds,
		From:       "heartbeat, memory of a member, idle fleets",
	}
}

func (m Model) administration() Cost {
	return Cost{
		Role: "administration", Carrier: "`instance` admin routes; nothing unless asked",
		Memory: 8192 * 400, // the events kept, by their bound
		From:   "bound in the code",
	}
}

// Total adds the roles up.
func Total(costs []Cost) Cost {
	t := Cost{Role: "**all roles**"}
	for _, c := range costs {
		t.Calls += c.Calls
		t.PeerBytes += c.PeerBytes
		t.StoreBytes += c.StoreBytes
		t.Processor += c.Processor
		t.Memory += c.Memory
		t.Reads += c.Reads
		t.Writes += c.Writes
		t.Watches += c.Watches
	}
	return t
}

// firstOver returns the smallest fleet, with everything in proportion, at which a
// value passes its limit; 0 if it does not up to the target size.
func (m Model) firstOver(role int, value func(Cost) float64, limit float64) int {
	for n := 1; n <= targetNodes; n++ {
		if value(m.Roles(float64(n))[role]) > limit {
			return n
		}
	}
	return 0
}
