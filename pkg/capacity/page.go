package capacity

import (
	"fmt"
	"os"
	"strings"
)

// Marks between which the page is rewritten.
const (
	markBegin = "<!-- measured: begin -->"
	markEnd   = "<!-- measured: end -->"
)

// Rewrite replaces the measured part of the page and writes the plot beside it.
func Rewrite(page, plot string, m Model) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	head, rest, found := strings.Cut(string(text), markBegin)
	_, tail, closed := strings.Cut(rest, markEnd)
	if !found || !closed {
		return fmt.Errorf("%s has no marks %q and %q", page, markBegin, markEnd)
	}
	body := markBegin + "\n\n" + m.tables() + "\n" + markEnd
	if err := os.WriteFile(page, []byte(head+body+tail), 0o644); err != nil {
		return err
	}
	return os.WriteFile(plot, []byte(m.plot()), 0o644)
}

// number writes a figure in few digits.
func number(x float64) string {
	switch {
	case x == 0:
		return "0"
	case x >= 1e6:
		return fmt.Sprintf("%.1f M", x/1e6)
	case x >= 1e3:
		return fmt.Sprintf("%.1f k", x/1e3)
	case x >= 10:
		return fmt.Sprintf("%.0f", x)
	default:
		return fmt.Sprintf("%.2g", x)
	}
}

func (m Model) tables() string {
	var b strings.Builder
	m.writeSlopes(&b)
	m.writeFleets(&b)
	m.writeRoles(&b)
	m.writeLimits(&b)
	m.writeFailures(&b)
	return b.String()
}

func (m Model) writeSlopes(b *strings.Builder) {
	u := m.Micro
	fmt.Fprintf(b, "### Slopes\n\n| measurement | of what | at 0 | each more | range | residual |\n|---|---|---:|---:|---:|---:|\n")
	row := func(name, what string, l Line) {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %.0f to %.0f | %.1f %% |\n",
			name, what, number(l.Base), number(l.Slope), l.From, l.To, 100*l.Residual)
	}
	row("ledger shard", "bytes over budgets, two grants each", u.ShardBytes)
	row("ledger shard", "µs to decode and encode, over budgets", u.ShardTime)
	row("claim shard", "bytes over claims", u.ClaimBytes)
	row("claim shard", "µs to decode and encode, over claims", u.ClaimTime)
	row("bill segment", "bytes over records", u.BillBytes)
	row("heartbeat", "bytes over members named", u.DigestBytes)
	row("memory of a lot", "bytes of heap over budgets", u.LotMemory)
	row("memory of a member", "bytes of heap over members", u.MemberMemory)
	row("memory of an account", "bytes of heap over accounts", u.AccountMemory)
	row("document in force", "µs over accounts", u.ApplyTime)
	row("idle fleets", "% of a core of one instance, over instances", m.Fleets.Processor)
	row("idle fleets", "bytes resident of one instance, over instances", m.Fleets.Memory)
	row("idle fleets", "bytes/s with peers of one instance, over instances", m.Fleets.PeerBytes)
	row("idle fleets", "bytes/s with the store of one instance, over instances", m.Fleets.StoreBytes)
	row("idle fleets", "calls/s to the store of the whole fleet, over instances", m.Fleets.Calls)
	fmt.Fprintf(b, "\nSingle figures: reserve and settle at 53,000 budgets %.2f µs, which is %.1f times two updates of a plain "+
		"map in the same run (%.2f µs); pick among 600 %.2f µs; call between instances %.0f µs of processor for both ends "+
		"and %.0f bytes both ways.\n\n", u.ReserveSettle, u.ReserveSettle/u.BareMap, u.BareMap, u.Pick, u.Call, u.CallBytes)
}

func (m Model) writeFleets(b *strings.Builder) {
	b.WriteString("### Fleets measured, without requests\n\n| instances | % of a core | memory, MB | with peers, KB/s | " +
		"with the store, KB/s | reads/s, fleet | writes/s, fleet | watches/s, fleet | in force, median s | in force, last s |\n" +
		"|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n")
	for _, r := range m.Fleets.Runs {
		fmt.Fprintf(b, "| %d | %.2f | %.1f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |\n",
			r.Instances, r.Processor, r.Memory/1e6, r.PeerBytes/1e3, r.StoreBytes/1e3,
			r.Reads, r.Writes, r.Watches, r.SpreadMedian.Seconds(), r.SpreadLast.Seconds())
	}
	b.WriteString("\n")
}

func (m Model) writeRoles(b *strings.Builder) {
	costs := m.Roles(targetNodes)
	fmt.Fprintf(b, "### Roles at %d nodes, worked out\n\n| role | mechanism | messages/s, node | with peers, KB/s | "+
		"with the store, KB/s | %% of a core | memory, MB | reads/s, fleet | writes/s, fleet | measurement |\n"+
		"|---|---|---:|---:|---:|---:|---:|---:|---:|---|\n", targetNodes)
	for _, c := range append(costs, Total(costs)) {
		fmt.Fprintf(b, "| %s | %s | %s | %.1f | %.1f | %.4f | %.2f | %s | %s | %s |\n", c.Role, c.Carrier, number(c.Calls),
			c.PeerBytes/1e3, c.StoreBytes/1e3, c.Processor, c.Memory/1e6, number(c.Reads+c.Watches), number(c.Writes), c.From)
	}
	b.WriteString("\n")
}

func (m Model) writeLimits(b *strings.Builder) {
	costs := m.Roles(targetNodes)
	total := Total(costs)
	b.WriteString("### Against the limits\n\n| limit | allowed | at 330 nodes | kept |\n|---|---:|---:|---|\n")
	row := func(name string, allowed, got float64) {
		kept := "yes"
		if got > allowed {
			kept = "**no**"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", name, number(allowed), number(got), kept)
	}
	row("control, % of a core", limitProcessor, total.Processor)
	row("control, bytes of memory", limitMemory, total.Memory)
	row("control, bytes a second", limitBytes, total.PeerBytes+total.StoreBytes)
	row("store writes a second", limitWrites, total.Writes)
	row("store reads and watches a second", limitReads, total.Reads+total.Watches)
	b.WriteString("\nWhere single roles pass a limit alone, with everything in proportion to the fleet:\n\n" +
		"| role | limit | passed from |\n|---|---|---:|\n")
	for i, c := range costs {
		m.writeFirstOver(b, i, c.Role, "bytes a second", func(c Cost) float64 { return c.PeerBytes + c.StoreBytes }, limitBytes)
		m.writeFirstOver(b, i, c.Role, "store writes a second", func(c Cost) float64 { return c.Writes }, limitWrites)
		m.writeFirstOver(b, i, c.Role, "memory", func(c Cost) float64 { return c.Memory }, limitMemory)
		m.writeFirstOver(b, i, c.Role, "processor", func(c Cost) float64 { return c.Processor }, limitProcessor)
	}
	b.WriteString("\n")
}

func (m Model) writeFirstOver(
	b *strings.Builder, role int, name, limit string, value func(Cost) float64, allowed float64,
) {
	if n := m.firstOver(role, value, allowed); n > 0 {
		fmt.Fprintf(b, "| %s | %s | %d nodes |\n", name, limit, n)
	}
}

// writeFailures works out what failures cost from the paces in the code.
func (m Model) writeFailures(b *strings.Builder) {
	demand := perNode(tokensPerSecond)
	stranded := demand * (signedSeconds + aheadSeconds)
	silent := max(3, 3*heartbeatSeconds*targetNodes/(2*heartbeatFanout))
	shards := targetNodes * ledgerShardsPerNode
	b.WriteString("### Failures, worked out\n\n| failure | tokens in doubt | requests in progress there, told \"unknown\" | " +
		"until others work around it, s | store reads in the first minute after | store writes |\n" +
		"|---|---:|---:|---:|---:|---:|\n")
	row := func(name string, nodes float64) {
		holdings := nodes * ledgerShardsPerNode * failureDomains
		inProgress := nodes * perNode(requestsPerSecond) * requestLength
		fmt.Fprintf(b, "| %s | %s | %s | %.0f | %s | %s |\n", name, number(nodes*stranded), number(inProgress), silent,
			number(nodes*shards+holdings), number(holdings+nodes))
	}
	row("one instance (12 a day)", 1)
	row("a rack of 10 (every month or two)", rackNodes)
	row("a failure domain (once or twice a year)", targetNodes/failureDomains)
	b.WriteString("| a planned replacement (110 a day) | 0 | 0 | 0 | 0 | ")
	fmt.Fprintf(b, "%s |\n", number(ledgerShardsPerNode*failureDomains+2))
	fmt.Fprintf(b, "| an hour without the other region | 0 | 0 | %.0f | 0 beyond the usual | 0 beyond the usual |\n\n"+
		"Partners (witness, bill peer) are of the same region first, so losing the other region renames nobody.\n\n", silent)
}
