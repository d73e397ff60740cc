package budget

import (
	"maps"
	"sync"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/ledger"
)

// maxSettledRemembered bounds the ids of settled grants that are kept to answer
// late reports. A report about an id that is no longer kept is answered as
// unknown, and the spender then settles with the ledger directly.
const maxSettledRemembered = 4096

// closedGrant holds what spenders have reported about a closed grant.
type closedGrant struct {
	id, budget string
	usages     map[string]ledger.Usage
	dirty      bool
}

// Collector collects the usages that spenders report about closed grants, until
// the node has written them to the ledger, with one write for each shard.
type Collector struct {
	mu      sync.Mutex
	grants  map[string]*closedGrant
	settled map[string]bool
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{grants: map[string]*closedGrant{}, settled: map[string]bool{}}
}

// addGrant adds a closed grant with the usages known so far.
func (c *Collector) addGrant(id, budget string, usages map[string]ledger.Usage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.grants[id]
	if g == nil {
		g = &closedGrant{id: id, budget: budget, usages: map[string]ledger.Usage{}}
		c.grants[id] = g
	}
	for spender, usage := range usages {
		g.usages[spender] = g.usages[spender].Merge(usage)
	}
	g.dirty = true
}

// reportResult divides reported usages into those of settled grants, those of
// unknown grants and those that were accepted.
type reportResult struct {
	settled  []string
	unknown  []string
	accepted []*budgetpb.Usage
}

// report merges usages of closed grants.
func (c *Collector) report(usages []*budgetpb.Usage) reportResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	var result reportResult
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
		mergeUsage(g.usages, u)
		g.dirty = true
		result.accepted = append(result.accepted, u)
	}
	return result
}

// pending returns, by shard, copies of the grants with usages that are not in the
// ledger yet.
func (c *Collector) pending(shards int) map[int][]closedGrant {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[int][]closedGrant{}
	for _, id := range sortedKeys(c.grants) {
		g := c.grants[id]
		if !g.dirty {
			continue
		}
		copied := closedGrant{id: g.id, budget: g.budget, usages: maps.Clone(g.usages)}
		shard := ledger.ShardOf(g.budget, shards)
		out[shard] = append(out[shard], copied)
	}
	return out
}

// markWritten records that a grant's usages were written to the ledger, and
// whether the grant is settled there.
func (c *Collector) markWritten(sent closedGrant, settled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.grants[sent.id]
	if g == nil {
		return
	}
	if settled {
		c.markSettled(sent.id)
		return
	}
	g.dirty = false
	for spender, usage := range g.usages {
		if sent.usages[spender] != usage {
			g.dirty = true
		}
	}
}

func (c *Collector) markSettled(id string) {
	delete(c.grants, id)
	if len(c.settled) >= maxSettledRemembered {
		c.settled = map[string]bool{}
	}
	c.settled[id] = true
}
