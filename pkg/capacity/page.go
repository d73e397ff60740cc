package capacity

import (
	"fmt"
	"os"
	"strings"
)

// Marks around the part of the page that RewritePage replaces.
const (
	markBegin = "<!-- measured: begin -->"
	markEnd   = "<!-- measured: end -->"
)

// RewritePage replaces the measured part of the page and writes the plot file.
func RewritePage(page, plot string, m Model) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	head, rest, found := strings.Cut(string(text), markBegin)
	_, tail, closed := strings.Cut(rest, markEnd)
	if !found || !closed {
		return fmt.Errorf("%s has no marks %q and %q", page, markBegin, markEnd)
	}
	body := markBegin + "\n\n" + m.formatTables() + "\n" + markEnd
	if err := os.WriteFile(page, []byte(head+body+tail), 0o644); err != nil {
		return err
	}
	return os.WriteFile(plot, []byte(m.formatPlot()), 0o644)
}

// formatNumber formats a number in few digits.
func formatNumber(x float64) string {
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

func (m Model) formatTables() string {
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
			name, what, formatNumber(l.Base), formatNumber(l.Slope), l.From, l.To, 100*l.Residual)
	}
	row("ledger shard", "bytes over budgets, two grants each", u.ShardBytes)
	row("ledger shard", "µs to decode and encode, over budgets", u.ShardMicros)
	row("claim shard", "bytes over claims", u.ClaimBytes)
	row("claim shard", "µs to decode and encode, over claims", u.ClaimMicros)
	row("bill segment", "bytes over records", u.BillBytes)
	row("heartbeat", "bytes over members named", u.HeartbeatBytes)
	row("memory of a lot", "bytes of heap over budgets", u.LotBytes)
	row("memory of a member", "bytes of heap over members", u.MemberBytes)
	row("memory of an account", "bytes of heap over accounts", u.AccountBytes)
	row("document in force", "µs over accounts", u.ApplyMicros)
	row("idle fleets", "% of a core of one instance, over instances", m.Fleets.ProcessorPercent)
	row("idle fleets", "bytes resident of one instance, over instances", m.Fleets.MemoryBytes)
	row("idle fleets", "bytes/s with peers of one instance, over instances", m.Fleets.PeerByteRate)
	row("idle fleets", "bytes/s with the store of one instance, over instances", m.Fleets.StoreByteRate)
	row("idle fleets", "calls/s to the store of the whole fleet, over instances", m.Fleets.StoreCallRate)
	fmt.Fprintf(b, "\nSingle figures: reserve and settle at 53,000 budgets %.2f µs, which is %.1f times two updates of a plain "+
		"map in the same run (%.2f µs); pick among 600 %.2f µs; call between instances %.0f µs of processor for both ends "+
		"and %.0f bytes both ways.\n\n", u.ReserveSettleMicros, u.ReserveSettleMicros/u.MapUpdatesMicros,
		u.MapUpdatesMicros, u.PickMicros, u.CallMicros, u.CallBytes)
}

func (m Model) writeFleets(b *strings.Builder) {
	b.WriteString("### Fleets measured, without requests\n\n| instances | % of a core | memory, MB | with peers, KB/s | " +
		"with the store, KB/s | reads/s, fleet | writes/s, fleet | watches/s, fleet | in force, median s | in force, last s |\n" +
		"|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n")
	for _, r := range m.Fleets.Runs {
		fmt.Fprintf(b, "| %d | %.2f | %.1f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |\n",
			r.Instances, r.ProcessorPercent, r.MemoryBytes/1e6, r.PeerByteRate/1e3, r.StoreByteRate/1e3,
			r.ReadRate, r.WriteRate, r.WatchRate, r.SpreadMedian.Seconds(), r.SpreadLast.Seconds())
	}
	b.WriteString("\n")
}

func (m Model) writeRoles(b *strings.Builder) {
	costs := m.Roles(targetInstances)
	fmt.Fprintf(b, "### Roles at %d nodes, worked out\n\n| role | mechanism | messages/s, node | with peers, KB/s | "+
		"with the store, KB/s | %% of a core | memory, MB | reads/s, fleet | writes/s, fleet | measurement |\n"+
		"|---|---|---:|---:|---:|---:|---:|---:|---:|---|\n", targetInstances)
	for _, c := range append(costs, Total(costs)) {
		fmt.Fprintf(b, "| %s | %s | %s | %.1f | %.1f | %.4f | %.2f | %s | %s | %s |\n", c.Role, c.Mechanism,
			formatNumber(c.MessageRate), c.PeerByteRate/1e3, c.StoreByteRate/1e3, c.ProcessorPercent, c.MemoryBytes/1e6,
			formatNumber(c.ReadRate+c.WatchRate), formatNumber(c.WriteRate), c.Measurements)
	}
	b.WriteString("\n")
}

func (m Model) writeLimits(b *strings.Builder) {
	costs := m.Roles(targetInstances)
	total := Total(costs)
	b.WriteString("### Against the limits\n\n| limit | allowed | at 330 nodes | kept |\n|---|---:|---:|---|\n")
	row := func(name string, allowed, got float64) {
		kept := "yes"
		if got > allowed {
			kept = "**no**"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", name, formatNumber(allowed), formatNumber(got), kept)
	}
	row("control, % of a core", maxProcessorPercent, total.ProcessorPercent)
	row("control, bytes of memory", maxMemoryBytes, total.MemoryBytes)
	row("control, bytes a second", maxByteRate, total.PeerByteRate+total.StoreByteRate)
	row("store writes a second", maxWriteRate, total.WriteRate)
	row("store reads and watches a second", maxReadRate, total.ReadRate+total.WatchRate)
	b.WriteString("\nWhere single roles pass a limit alone, with everything in proportion to the fleet:\n\n" +
		"| role | limit | passed from |\n|---|---|---:|\n")
	for i, c := range costs {
		m.writeMinSizeOver(b, i, c.Role, "bytes a second", func(c Cost) float64 { return c.PeerByteRate + c.StoreByteRate }, maxByteRate)
		m.writeMinSizeOver(b, i, c.Role, "store writes a second", func(c Cost) float64 { return c.WriteRate }, maxWriteRate)
		m.writeMinSizeOver(b, i, c.Role, "memory", func(c Cost) float64 { return c.MemoryBytes }, maxMemoryBytes)
		m.writeMinSizeOver(b, i, c.Role, "processor", func(c Cost) float64 { return c.ProcessorPercent }, maxProcessorPercent)
	}
	b.WriteString("\n")
}

func (m Model) writeMinSizeOver(
	b *strings.Builder, role int, name, limit string, value func(Cost) float64, allowed float64,
) {
	if n := m.minSizeOver(role, value, allowed); n > 0 {
		fmt.Fprintf(b, "| %s | %s | %d nodes |\n", name, limit, n)
	}
}

// writeFailures derives the costs of failures from the intervals of the code.
func (m Model) writeFailures(b *strings.Builder) {
	demand := perInstance(tokensPerSecond)
	stranded := demand * (signAheadSeconds + allocateAheadSeconds)
	silenceSeconds := max(3, 3*heartbeatIntervalSeconds*targetInstances/(2*heartbeatFanout))
	shards := targetInstances * ledgerShardsPerInstance
	b.WriteString("### Failures, worked out\n\n| failure | tokens in doubt | requests in progress there, told \"unknown\" | " +
		"until others work around it, s | store reads in the first minute after | store writes |\n" +
		"|---|---:|---:|---:|---:|---:|\n")
	row := func(name string, instances float64) {
		holdings := instances * ledgerShardsPerInstance * numFailureDomains
		inProgress := instances * perInstance(requestsPerSecond) * requestSeconds
		fmt.Fprintf(b, "| %s | %s | %s | %.0f | %s | %s |\n", name, formatNumber(instances*stranded), formatNumber(inProgress),
			silenceSeconds, formatNumber(instances*shards+holdings), formatNumber(holdings+instances))
	}
	row("one instance (12 a day)", 1)
	row("a rack of 10 (every month or two)", rackInstances)
	row("a failure domain (once or twice a year)", targetInstances/numFailureDomains)
	b.WriteString("| a planned replacement (110 a day) | 0 | 0 | 0 | 0 | ")
	fmt.Fprintf(b, "%s |\n", formatNumber(ledgerShardsPerInstance*numFailureDomains+2))
	fmt.Fprintf(b, "| an hour without the other region | 0 | 0 | %.0f | 0 beyond the usual | 0 beyond the usual |\n\n"+
		"Partners (witness, bill peer) are of the same region first, so losing the other region renames nobody.\n\n", silenceSeconds)
}
