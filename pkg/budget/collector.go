package budget

import (
	"maps"
	"sync"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// maxSettledRemembered bounds the ids of settled grants kept to answer late
// reports; a report for a forgotten one is answered from the ledger.
const maxSettledRemembered = 4096

// closedGrant gathers what spenders tell of a grant that is closed.
type closedGrant struct {
	id, budget string
	evidence   map[string]ledger.Usage
	dirty      bool
}

// Collector takes reports for closed grants and brings them to the ledger in
// batches, one write for each shard.
type Collector struct {
	mu      sync.Mutex
	grants  map[string]*closedGrant
	settled map[string]bool
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{grants: map[string]*closedGrant{}, settled: map[string]bool{}}
}

// add takes a grant over with the evidence known so far.
func (c *Collector) add(id, budget string, evidence map[string]ledger.Usage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.grants[id]
	if g == nil {
		g = &closedGrant{id: id, budget: budget, evidence: map[string]ledger.Usage{}}
		c.grants[id] = g
	}
	for spender, e := range evidence {
		g.evidence[spender] = g.evidence[spender].Merge(e)
	}
	g.dirty = true
}

// collectResult sorts reported usages by what becomes of them.
type collectResult struct {
	settled []string
	unknown []string
	taken   []*budgetpb.Usage
}

// report takes usages of closed grants.
func (c *Collector) report(usages []*budgetpb.Usage) collectResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	var result collectResult
	for _, u := range usages {
		if c.settled[u.Grant] {
			result.settled = append(result.settled, u.Grant)
			continue
		}
		g := c.grants[u.Grant]
		if g == nil {
			result.unknown = append(result.unknown, u.Grant)
			continue
		}
		mergeEvidence(g.evidence, u)
		g.dirty = true
		result.taken = append(result.taken, u)
	}
	return result
}

// pending returns, by shard, copies of the grants with news for the ledger.
func (c *Collector) pending(shards int) map[int][]closedGrant {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[int][]closedGrant{}
	for _, id := range sortedKeys(c.grants) {
		g := c.grants[id]
		if !g.dirty {
			continue
		}
		copied := closedGrant{id: g.id, budget: g.budget, evidence: maps.Clone(g.evidence)}
		shard := ledger.ShardOf(g.budget, shards)
		out[shard] = append(out[shard], copied)
	}
	return out
}

// written notes that the evidence has reached the ledger, and whether the
// grant is settled there.
func (c *Collector) written(sent closedGrant, settled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.grants[sent.id]
	if g == nil {
		return
	}
	if settled {
		c.remember(sent.id)
		return
	}
	g.dirty = false
	for spender, e := range g.evidence {
		if sent.evidence[spender] != e {
			g.dirty = true
		}
	}
}

func (c *Collector) remember(id string) {
	delete(c.grants, id)
	if len(c.settled) >= maxSettledRemembered {
		c.settled = map[string]bool{}
	}
	c.settled[id] = true
}
