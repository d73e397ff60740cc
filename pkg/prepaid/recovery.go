package prepaid

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
)

// How an instance helps to settle a ledger object after the store came back from a copy.
const (
	// gatherMost is how long a shard waits for instances that share it, do not seem to live and
	// have not told: they may only be cut off from the others and reach the store. What they
	// may hold is reserved from then on. One that lives is waited for without end.
	gatherMost = 2 * time.Second
	// unsettledPause is the least time between two writes for requests while the shard is
	// unsettled: none of them draws, and each request would make one.
	unsettledPause = 150 * time.Millisecond
	// unheardDraws is for how long an instance that has not told may have drawn without being
	// seen: what its demand takes in that time is reserved.
	unheardDraws = 4 * time.Second
	// mostRowsTold bounds the rows seen in the store that one report tells: those that wrote last.
	// Others have seen them there as well.
	mostRowsTold = 16
)

// ErrUnsettled means that the store came back from a copy and not all have told yet what they
// had drawn. It is like a ledger that others keep busy: a moment later it can be drawn from.
var ErrUnsettled = fmt.Errorf("ledger is not settled since the store went back: %w", ErrBusy)

// recovery is an instance's part in settling one shard.
type recovery struct {
	// last is the shard as it was last seen.
	last *Shard
	// unsettled says that this instance saw the shard unsettled, of era since a time; at is when
	// it last wrote to it.
	unsettled bool
	era       uint64
	since, at time.Time
	// told are incarnations that told this one, evidence is what they have seen, by writer.
	told     map[string]bool
	evidence map[string]evidence
	// serial counts what was told, mergedTo is how much of it the write on its way has, and
	// mergedTold how many of those that told.
	serial, mergedTo, mergedTold int
	// asked is the era for which this instance is to tell what it has seen, until the object is
	// known to be settled; 0 for none. toldEra and toldTo are what a drawer took in last, and
	// which one.
	asked, toldEra uint64
	toldTo         string
}

// evidence is what was told of one writer's row; serial is when.
type evidence struct {
	Row
	serial int
}

// NoteEra says that an answer of the store is of a later era than those before: what it had
// acknowledged lately may be gone. Every shard that this instance has drawn from is written again.
func (n *Node) NoteEra(era uint64) {
	n.mu.Lock()
	if era <= n.era {
		n.mu.Unlock()
		return
	}
	n.era, n.floor = era, max(n.floor, era)
	n.askAll(era)
	n.mu.Unlock()
	for shard := range n.shards {
		go n.tell(shard)
	}
}

// NoteFirstEra says which era the store was in when it first answered this process: whatever it
// lost before is no concern of a process that had seen nothing.
func (n *Node) NoteFirstEra(era uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.era, n.floor, n.bornEra = max(n.era, era), max(n.floor, era), era
}

// askAll has this instance tell of every shard, also that it has nothing to tell: others wait for
// that; n.mu is held.
func (n *Node) askAll(era uint64) {
	if era <= firstEra {
		return
	}
	for shard := range n.shards {
		r := &n.shards[shard].recovery
		r.asked = max(r.asked, era)
	}
}

// tell has a shard learn what this instance has seen: through the drawer if there is one, else
// by a write.
func (n *Node) tell(shard int) {
	if drawer := n.drawerOf(shard); drawer != "" {
		n.report(shard, drawer)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	state := &n.shards[shard]
	if state.flight == nil && state.recovery.pending() && n.mayDraw(shard) {
		n.begin(shard, "", 0) // it asks the store, whoever told of an era
	}
}

// ownRow is what this instance has moved of a shard's budgets; n.mu is held.
func (n *Node) ownRow(shard int) map[string]Counter {
	counters := map[string]Counter{}
	for id, p := range n.purses {
		if n.ShardOf(id) == shard && p.counter != (Counter{}) {
			counters[id] = p.counter
		}
	}
	return counters
}

// recover brings into a shard what this instance knows that it lacks, and settles it once all
// have told. It changes nothing when it is done again. It returns what was brought back.
func (n *Node) recover(shard int, s *Shard) Recovered {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := &n.shards[shard].recovery
	done := Recovered{Shard: shard, Era: s.Era}
	for writer, told := range r.evidence {
		done.Tokens += s.Merge(writer, told.Row)
	}
	r.mergedTo = r.serial
	if !s.Unsettled {
		if n.bornEra < s.Era {
			delete(s.Reserves, n.Name) // this write tells what was reserved for
		}
		return done
	}
	r.see(s, n.Now())
	for _, row := range append(n.witnessedRows(shard), n.storedRows(shard, s.Era)...) {
		done.Tokens += s.Merge(row.writer, row.Row)
	}
	s.Tell(n.Self)
	for incarnation := range r.told {
		s.Tell(incarnation)
	}
	r.mergedTold = len(r.told)
	reserves := n.reserves(s)
	waited := len(reserves) == 0 || n.Now().Sub(r.since) >= gatherMost
	if waited && n.allTold(s.Told) {
		s.Settle(reserves)
		done.Settled, done.Missing = true, len(reserves)
	}
	return done
}

// pending reports that this instance has something to write: what it has seen itself, or what
// others have told it.
func (r *recovery) pending() bool { return r.asked != 0 || r.unsettled }

// eras returns the era of the object if it waits for what all have seen, else that in which it can
// be drawn from; 0 for the other one.
func (r *recovery) eras() (unsettled, settled uint64) {
	switch {
	case r.unsettled:
		return r.era, 0
	case r.last != nil:
		return 0, r.last.Era
	}
	return 0, 0
}

// see notes that a shard is unsettled; what was told for another era does not count.
func (r *recovery) see(s *Shard, now time.Time) {
	if r.unsettled && r.era == s.Era {
		return
	}
	r.unsettled, r.era, r.since = true, s.Era, now
	r.told, r.mergedTold = nil, 0
}

// allTold reports that every other live instance is among those that told; n.mu is held.
func (n *Node) allTold(told map[string]bool) bool {
	for _, other := range n.Fleet.Others() {
		if !told[other] {
			return false
		}
	}
	return true
}

// reserves are what instances that have not told may have drawn without being seen, by name and
// budget; n.mu is held.
func (n *Node) reserves(s *Shard) map[string]map[string]int64 {
	reserves := map[string]map[string]int64{}
	for name, holder := range s.Holders {
		live, _ := n.Fleet.Live(name)
		if name == n.Name || s.Told[live] {
			continue
		}
		reserve := map[string]int64{}
		for id, perSecond := range holder.PerSecond {
			if n.Fleet.Counts(name) { // one that has been gone for long drew nothing lately
				reserve[id] = int64(float64(perSecond) * unheardDraws.Seconds())
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

// storedRows is what this instance has seen of others' rows in the store before an era; n.mu is held.
func (n *Node) storedRows(shard int, era uint64) []seenRow {
	var rows []seenRow
	if last := n.shards[shard].recovery.last; last != nil && last.Era < era {
		for writer, row := range last.Writers {
			if writer != n.Self {
				rows = append(rows, seenRow{writer, Row{Counters: row.Counters, Own: true}}) // the store itself said so
			}
		}
	}
	return rows
}

// adoptRecovery notes how a write left a shard; n.mu is held.
func (n *Node) adoptRecovery(shard int, after *Shard) {
	r := &n.shards[shard].recovery
	r.last = after
	r.at = n.Now()
	for writer, told := range r.evidence {
		if told.serial <= r.mergedTo { // what was told during the write waits for the next
			delete(r.evidence, writer)
		}
	}
	if after.Unsettled {
		r.see(after, r.at)
		return
	}
	if after.Era >= r.asked {
		r.asked = 0
	}
	if r.unsettled {
		r.unsettled, r.told = false, nil
	}
}

// justUnsettled reports that the shard was unsettled a moment ago; n.mu is held.
func (n *Node) justUnsettled(shard int) bool {
	r := &n.shards[shard].recovery
	return r.unsettled && n.Now().Sub(r.at) < unsettledPause
}

// hearTold takes in what an asker tells of a shard before an era, and writes once all have told.
// It returns the era that it took in, 0 for none: what is told of an era that this instance has not
// seen itself is passed over, and the asker tells again; n.mu is held.
func (n *Node) hearTold(shard int, req *prepaidpb.RefillRequest) uint64 {
	r := &n.shards[shard].recovery
	if req.ToldEra == 0 || !r.unsettled || req.ToldEra != r.era {
		return 0
	}
	if r.told == nil {
		r.told = map[string]bool{}
	}
	r.told[req.Asker] = true
	for _, row := range req.Rows {
		r.takeEvidence(row, row.Writer == req.Asker)
	}
	n.settleNow(shard)
	return req.ToldEra
}

// settleNow writes a shard that waits for nobody any more, unless a write is on its way: that one's
// end calls this again, for those that told meanwhile; n.mu is held.
func (n *Node) settleNow(shard int) {
	r := &n.shards[shard].recovery
	if !r.unsettled || n.shards[shard].flight != nil || len(r.told) <= r.mergedTold {
		return
	}
	told := maps.Clone(r.told)
	if r.last != nil && r.last.Era == r.era {
		maps.Copy(told, r.last.Told)
	}
	if n.allTold(told) {
		n.begin(shard, "", 0)
	}
}

// takeEvidence keeps the highest that was told of a row until a write has brought it in.
func (r *recovery) takeEvidence(told *prepaidpb.SeenRow, own bool) {
	if r.evidence == nil {
		r.evidence = map[string]evidence{}
	}
	r.serial++
	kept := r.evidence[told.Writer]
	if kept.Counters == nil {
		kept.Counters = map[string]Counter{}
	}
	for _, c := range told.Counters {
		counter := kept.Counters[c.Budget]
		counter.Drawn = max(counter.Drawn, c.Drawn)
		if own {
			counter.Returned = max(counter.Returned, c.Returned)
		}
		kept.Counters[c.Budget] = counter
	}
	kept.Own, kept.serial = kept.Own || own, r.serial
	r.evidence[told.Writer] = kept
}

// telling puts what this instance has seen into a report if the drawer waits for it; n.mu is held.
// From then on no answer of an older era is taken over, so nothing is drawn behind what is told. That
// needs no word of the store: an instance that does not reach it would keep all others from drawing.
func (n *Node) telling(shard int, name string, req *prepaidpb.RefillRequest) {
	r := &n.shards[shard].recovery
	if r.asked == 0 || (r.toldEra == r.asked && r.toldTo == name) {
		return
	}
	if n.era < r.asked {
		n.verifyEra()
	}
	n.floor, n.toldMost = max(n.floor, r.asked), max(n.toldMost, r.asked)
	req.ToldEra = r.asked
	if own := n.ownRow(shard); len(own) > 0 {
		req.Rows = append(req.Rows, tellRow(n.Self, own))
	}
	stored := n.storedRows(shard, r.asked)
	if last := r.last; last != nil {
		slices.SortFunc(stored, func(a, b seenRow) int {
			return cmp.Compare(last.Writers[b.writer].Turn, last.Writers[a.writer].Turn)
		})
	}
	for _, row := range append(n.witnessedRows(shard), stored[:min(len(stored), mostRowsTold)]...) {
		req.Rows = append(req.Rows, tellRow(row.writer, row.Counters))
	}
}

func tellRow(writer string, counters map[string]Counter) *prepaidpb.SeenRow {
	row := &prepaidpb.SeenRow{Writer: writer}
	for id, c := range counters {
		row.Counters = append(row.Counters, &prepaidpb.SeenCounter{Budget: id, Drawn: c.Drawn, Returned: c.Returned})
	}
	return row
}

// settleTelling notes what a drawer answered: whether it took in what was told, and whether it
// waits for more. It reports whether to tell it at once; n.mu is held.
func (n *Node) settleTelling(
	shard int, name string, req *prepaidpb.RefillRequest, reply *prepaidpb.RefillReply, err error,
) (waits bool) {
	r := &n.shards[shard].recovery
	if err != nil || reply == nil {
		return false
	}
	switch {
	case req.ToldEra == 0:
	case reply.TakenEra == req.ToldEra:
		r.toldEra, r.toldTo = req.ToldEra, name
		n.takenEra = max(n.takenEra, req.ToldEra)
	case n.toldMost == req.ToldEra:
		n.toldMost = n.takenEra // passed over: nobody counts on it
	}
	if reply.SettledEra >= r.asked && reply.SettledEra >= r.era {
		r.asked, r.unsettled = 0, false
	}
	if reply.UnsettledEra > r.asked {
		r.asked = reply.UnsettledEra
		return true
	}
	return false
}

// firstEra is that of a store which has never gone back.
const firstEra = 1

// HeardEra says that another instance told of an era: each shard's drawer is told what this one has
// seen, and passes it over unless the store told it the same. The store is asked too.
func (n *Node) HeardEra(era uint64) {
	n.mu.Lock()
	if era <= n.era || era <= n.heardEra {
		n.mu.Unlock()
		return
	}
	n.heardEra = era
	n.askAll(era)
	n.mu.Unlock()
	for shard := range n.shards {
		go n.tell(shard)
	}
}

// verifyEra has the store asked for its era, once at a time. What neither it nor a drawer confirms
// is forgotten: an era that the store never had would keep this instance from drawing; n.mu is held.
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
			return // the next report asks again
		}
		confirmed := max(era, n.era, n.takenEra)
		n.floor = min(n.floor, max(confirmed, n.toldMost))
		for shard := range n.shards {
			if r := &n.shards[shard].recovery; r.asked > confirmed {
				r.asked = 0
			}
		}
	}()
}

// Recovered is what one write brought back into a shard after the store went back.
type Recovered struct {
	Shard int
	Era   uint64
	// Tokens are draws that were missing. Settled says that the shard can be drawn from again,
	// Missing how many instances had not told, for whom tokens are reserved.
	Tokens  int64
	Settled bool
	Missing int
}
