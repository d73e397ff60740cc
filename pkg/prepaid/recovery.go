package prepaid

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
)

// Parameters of settling a ledger object after a store rollback.
const (
	// maxGatherTime is how long a shard waits for instances that share it, are silent and have not
	// reported: they may be partitioned from the others but still reach the store. After that,
	// tokens are reserved for what they may hold. A live instance is waited for without limit.
	maxGatherTime = 2 * time.Second
	// minUnsettledWriteInterval is the minimum time between two writes for requests while the shard
	// is unsettled. None of them draws, and without the limit each request would start one.
	minUnsettledWriteInterval = 150 * time.Millisecond
	// unreportedDrawTime is for how long an instance that has not reported may have drawn unseen.
	// The reserve for it is its demand during that time.
	unreportedDrawTime = 4 * time.Second
	// maxStoredRowsReported bounds the rows in one report that the instance has only seen in the
	// store. The rows written last are reported; other instances have seen them there as well.
	maxStoredRowsReported = 16
)

// ErrUnsettled means that the store was rolled back and not all instances have reported yet what
// they had drawn. Like a busy ledger, the shard can be drawn from a moment later.
var ErrUnsettled = fmt.Errorf("ledger shard is unsettled after a store rollback: %w", ErrBusy)

// recovery is the state of an instance's part in settling one shard.
type recovery struct {
	// lastSeen is the shard as it was last seen.
	lastSeen *Shard
	// unsettled says that this instance has seen the shard unsettled in era, for the first time at
	// since; writtenAt is when it last wrote the shard.
	unsettled        bool
	era              uint64
	since, writtenAt time.Time
	// reported are the incarnations that have reported to this instance, reportedRows the rows that
	// they have seen, by writer.
	reported     map[string]bool
	reportedRows map[string]reportedRow
	// serial counts the reported rows. mergedSerial is the serial up to which the write in progress
	// includes them, numMergedReports how many incarnations' reports it includes.
	serial, mergedSerial, numMergedReports int
	// reportEra is the era for which this instance has to report what it has seen, until the object
	// is known to be settled; 0 for none. ackedEra is the era of its last report that a drawer has
	// accepted, ackedBy that drawer.
	reportEra, ackedEra uint64
	ackedBy             string
}

// reportedRow is one writer's row as other instances reported it; serial orders the reports.
type reportedRow struct {
	Row
	serial int
}

// NoteEra records that the store answered with a later era than before: writes that it had
// acknowledged lately may be lost. This instance reports what it has seen for every shard.
func (n *Node) NoteEra(era uint64) {
	n.mu.Lock()
	if era <= n.era {
		n.mu.Unlock()
		return
	}
	n.era, n.minEra = era, max(n.minEra, era)
	n.scheduleReports(era)
	n.mu.Unlock()
	for shard := range n.shards {
		go n.reportSeen(shard)
	}
}

// NoteFirstEra records the era of the store's first answer to this process. Earlier losses do not
// concern a process that had seen nothing.
func (n *Node) NoteFirstEra(era uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.era, n.minEra, n.firstSeenEra = max(n.era, era), max(n.minEra, era), era
}

// scheduleReports makes this instance report for every shard, even if it has seen nothing, because
// others wait for its report; n.mu is held.
func (n *Node) scheduleReports(era uint64) {
	if era <= firstEra {
		return
	}
	for shard := range n.shards {
		r := &n.shards[shard].recovery
		r.reportEra = max(r.reportEra, era)
	}
}

// reportSeen reports to the shard's drawer what this instance has seen or, if there is no drawer,
// writes it to the ledger.
func (n *Node) reportSeen(shard int) {
	if drawer := n.drawerFor(shard); drawer != "" {
		n.sendReport(shard, drawer)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	state := &n.shards[shard]
	if state.pendingWrite == nil && state.recovery.needsWrite() && n.mayWriteInBackground(shard) {
		n.startWrite(shard, "", 0) // the write reads the store's era, whoever reported one
	}
}

// ownRow returns this instance's counters of a shard's budgets; n.mu is held.
func (n *Node) ownRow(shard int) map[string]Counter {
	counters := map[string]Counter{}
	for id, b := range n.balances {
		if n.ShardOf(id) == shard && b.counter != (Counter{}) {
			counters[id] = b.counter
		}
	}
	return counters
}

// mergeRecovery merges what this instance knows into a shard, and settles the shard once all have
// reported. It is idempotent. It returns what was restored.
func (n *Node) mergeRecovery(shard int, s *Shard) Recovered {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := &n.shards[shard].recovery
	result := Recovered{Shard: shard, Era: s.Era}
	for writer, reported := range r.reportedRows {
		result.Tokens += s.Merge(writer, reported.Row)
	}
	r.mergedSerial = r.serial
	if !s.Unsettled {
		if n.firstSeenEra < s.Era {
			delete(s.Reserves, n.Name) // this write includes the draws that the reserve stood for
		}
		return result
	}
	r.noteUnsettled(s, n.Now())
	for _, row := range append(n.witnessedRows(shard), n.storedRows(shard, s.Era)...) {
		result.Tokens += s.Merge(row.writer, row.Row)
	}
	s.MarkReported(n.Self)
	for incarnation := range r.reported {
		s.MarkReported(incarnation)
	}
	r.numMergedReports = len(r.reported)
	reserves := n.unreportedReserves(s)
	waited := len(reserves) == 0 || n.Now().Sub(r.since) >= maxGatherTime
	if waited && n.allReported(s.Reported) {
		s.Settle(reserves)
		result.Settled, result.Missing = true, len(reserves)
	}
	return result
}

// needsWrite reports whether this instance has something to write: what it has seen itself or what
// others have reported to it.
func (r *recovery) needsWrite() bool { return r.reportEra != 0 || r.unsettled }

// eras returns the object's era as unsettled while the object waits for reports, or as settled once
// it can be drawn from. A result that does not apply is 0.
func (r *recovery) eras() (unsettled, settled uint64) {
	switch {
	case r.unsettled:
		return r.era, 0
	case r.lastSeen != nil:
		return 0, r.lastSeen.Era
	}
	return 0, 0
}

// noteUnsettled records that a shard is unsettled. Reports for another era are discarded.
func (r *recovery) noteUnsettled(s *Shard, now time.Time) {
	if r.unsettled && r.era == s.Era {
		return
	}
	r.unsettled, r.era, r.since = true, s.Era, now
	r.reported, r.numMergedReports = nil, 0
}

// allReported reports whether every other live instance is in reported; n.mu is held.
func (n *Node) allReported(reported map[string]bool) bool {
	for _, other := range n.Fleet.Others() {
		if !reported[other] {
			return false
		}
	}
	return true
}

// unreportedReserves returns what instances that have not reported may have drawn unseen, by name
// and budget; n.mu is held.
func (n *Node) unreportedReserves(s *Shard) map[string]map[string]int64 {
	reserves := map[string]map[string]int64{}
	for name, holder := range s.Holders {
		live, _ := n.Fleet.Live(name)
		if name == n.Name || s.Reported[live] {
			continue
		}
		reserve := map[string]int64{}
		for id, perSecond := range holder.PerSecond {
			if n.Fleet.SharesBudgets(name) { // one that has been silent for long has not drawn lately
				reserve[id] = int64(float64(perSecond) * unreportedDrawTime.Seconds())
			}
		}
		reserves[name] = reserve
	}
	return reserves
}

// seenRow is one writer's row as this instance has seen it.
type seenRow struct {
	writer string
	Row
}

// storedRows returns the rows of other writers that this instance has seen in the store before an
// era; n.mu is held.
func (n *Node) storedRows(shard int, era uint64) []seenRow {
	var rows []seenRow
	if last := n.shards[shard].recovery.lastSeen; last != nil && last.Era < era {
		for writer, row := range last.Writers {
			if writer != n.Self {
				rows = append(rows, seenRow{writer, Row{Counters: row.Counters, Own: true}}) // the writer itself wrote it to the store
			}
		}
	}
	return rows
}

// applyRecovery updates the recovery state from a written shard; n.mu is held.
func (n *Node) applyRecovery(shard int, after *Shard) {
	r := &n.shards[shard].recovery
	r.lastSeen = after
	r.writtenAt = n.Now()
	for writer, reported := range r.reportedRows {
		if reported.serial <= r.mergedSerial { // later ones wait for the next write
			delete(r.reportedRows, writer)
		}
	}
	if after.Unsettled {
		r.noteUnsettled(after, r.writtenAt)
		return
	}
	if after.Era >= r.reportEra {
		r.reportEra = 0
	}
	if r.unsettled {
		r.unsettled, r.reported = false, nil
	}
}

// recentlyUnsettled reports whether the shard was unsettled a moment ago; n.mu is held.
func (n *Node) recentlyUnsettled(shard int) bool {
	r := &n.shards[shard].recovery
	return r.unsettled && n.Now().Sub(r.writtenAt) < minUnsettledWriteInterval
}

// receiveSeenRows merges what a requester reports of a shard before an era, and starts a write once
// all have reported. It returns the accepted era or 0: a report for an era that this instance has
// not seen itself is ignored, and the requester repeats it; n.mu is held.
func (n *Node) receiveSeenRows(shard int, req *prepaidpb.RefillRequest) uint64 {
	r := &n.shards[shard].recovery
	if req.ToldEra == 0 || !r.unsettled || req.ToldEra != r.era {
		return 0
	}
	if r.reported == nil {
		r.reported = map[string]bool{}
	}
	r.reported[req.Asker] = true
	for _, row := range req.Rows {
		r.mergeReportedRow(row, row.Writer == req.Asker)
	}
	n.settleIfAllReported(shard)
	return req.ToldEra
}

// settleIfAllReported writes a shard for which no report is missing, unless a write is in progress.
// The end of that write calls it again, for reports that arrived meanwhile; n.mu is held.
func (n *Node) settleIfAllReported(shard int) {
	r := &n.shards[shard].recovery
	if !r.unsettled || n.shards[shard].pendingWrite != nil || len(r.reported) <= r.numMergedReports {
		return
	}
	reported := maps.Clone(r.reported)
	if r.lastSeen != nil && r.lastSeen.Era == r.era {
		maps.Copy(reported, r.lastSeen.Reported)
	}
	if n.allReported(reported) {
		n.startWrite(shard, "", 0)
	}
}

// mergeReportedRow keeps the highest reported counters of a row until a write has included them.
func (r *recovery) mergeReportedRow(reported *prepaidpb.SeenRow, own bool) {
	if r.reportedRows == nil {
		r.reportedRows = map[string]reportedRow{}
	}
	r.serial++
	merged := r.reportedRows[reported.Writer]
	if merged.Counters == nil {
		merged.Counters = map[string]Counter{}
	}
	for _, c := range reported.Counters {
		counter := merged.Counters[c.Budget]
		counter.Drawn = max(counter.Drawn, c.Drawn)
		if own {
			counter.Returned = max(counter.Returned, c.Returned)
		}
		merged.Counters[c.Budget] = counter
	}
	merged.Own, merged.serial = merged.Own || own, r.serial
	r.reportedRows[reported.Writer] = merged
}

// addSeenRows adds what this instance has seen to a report if the drawer waits for it; n.mu is
// held. From then on results of older eras are rejected, so no draw is applied that the report
// lacks. This does not wait for the store: an instance that cannot reach it would keep all others
// from drawing.
func (n *Node) addSeenRows(shard int, name string, req *prepaidpb.RefillRequest) {
	r := &n.shards[shard].recovery
	if r.reportEra == 0 || (r.ackedEra == r.reportEra && r.ackedBy == name) {
		return
	}
	if n.era < r.reportEra {
		n.verifyEra()
	}
	n.minEra, n.maxReportedEra = max(n.minEra, r.reportEra), max(n.maxReportedEra, r.reportEra)
	req.ToldEra = r.reportEra
	if own := n.ownRow(shard); len(own) > 0 {
		req.Rows = append(req.Rows, newSeenRow(n.Self, own))
	}
	stored := n.storedRows(shard, r.reportEra)
	if last := r.lastSeen; last != nil {
		slices.SortFunc(stored, func(a, b seenRow) int {
			return cmp.Compare(last.Writers[b.writer].Turn, last.Writers[a.writer].Turn)
		})
	}
	for _, row := range append(n.witnessedRows(shard), stored[:min(len(stored), maxStoredRowsReported)]...) {
		req.Rows = append(req.Rows, newSeenRow(row.writer, row.Counters))
	}
}

func newSeenRow(writer string, counters map[string]Counter) *prepaidpb.SeenRow {
	row := &prepaidpb.SeenRow{Writer: writer}
	for id, c := range counters {
		row.Counters = append(row.Counters, &prepaidpb.SeenCounter{Budget: id, Drawn: c.Drawn, Returned: c.Returned})
	}
	return row
}

// processReportReply processes a drawer's reply: whether it accepted the reported rows and whether
// it waits for a later era. It reports whether to send another report at once; n.mu is held.
func (n *Node) processReportReply(
	shard int, name string, req *prepaidpb.RefillRequest, reply *prepaidpb.RefillReply, err error,
) (waits bool) {
	r := &n.shards[shard].recovery
	if err != nil || reply == nil {
		return false
	}
	switch {
	case req.ToldEra == 0:
	case reply.TakenEra == req.ToldEra:
		r.ackedEra, r.ackedBy = req.ToldEra, name
		n.confirmedEra = max(n.confirmedEra, req.ToldEra)
	case n.maxReportedEra == req.ToldEra:
		n.maxReportedEra = n.confirmedEra // ignored by the drawer: nothing relies on that report
	}
	if reply.SettledEra >= r.reportEra && reply.SettledEra >= r.era {
		r.reportEra, r.unsettled = 0, false
	}
	if reply.UnsettledEra > r.reportEra {
		r.reportEra = reply.UnsettledEra
		return true
	}
	return false
}

// firstEra is the era of a store that was never rolled back.
const firstEra = 1

// NotePeerEra records that another instance has reported an era. This instance reports what it has
// seen to each shard's drawer, which ignores it unless the store has shown it the same era, and
// asks the store as well.
func (n *Node) NotePeerEra(era uint64) {
	n.mu.Lock()
	if era <= n.era || era <= n.peerEra {
		n.mu.Unlock()
		return
	}
	n.peerEra = era
	n.scheduleReports(era)
	n.mu.Unlock()
	for shard := range n.shards {
		go n.reportSeen(shard)
	}
}

// verifyEra asks the store for its era, one call at a time. An era that neither the store nor a
// drawer confirms is dropped: if the store never had it, it would keep this instance from drawing;
// n.mu is held.
func (n *Node) verifyEra() {
	if n.verifying {
		return
	}
	n.verifying = true
	go func() {
		era, err := n.VerifyEra()
		n.mu.Lock()
		defer n.mu.Unlock()
		n.verifying = false
		if err != nil {
			return // the next report calls verifyEra again
		}
		confirmed := max(era, n.era, n.confirmedEra)
		n.minEra = min(n.minEra, max(confirmed, n.maxReportedEra))
		for shard := range n.shards {
			if r := &n.shards[shard].recovery; r.reportEra > confirmed {
				r.reportEra = 0
			}
		}
	}()
}

// Recovered is what one write restored in a shard after a store rollback.
type Recovered struct {
	Shard int
	Era   uint64
	// Tokens is the sum of restored draws. Settled says that the shard can be drawn from again,
	// Missing how many instances had not reported and have tokens reserved.
	Tokens  int64
	Settled bool
	Missing int
}
