package prepaid

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// writeTimeout bounds one write with all its attempts. The write continues after the request that
// started it has given up, since what it draws serves the next ones.
const writeTimeout = 2 * time.Second

// Parameters of how much more an instance holds ahead after an outage.
const (
	// outageMargin times the outage's length is the period of demand for which tokens are held
	// afterwards. The margin is for uneven demand.
	outageMargin = 1.5
	// maxAheadFactor times Config.Ahead is the maximum of that period.
	maxAheadFactor = 2
)

// ErrUnavailable means that the ledger did not answer the last write. Ticks probe it, and until it
// answers again, requests do not wait for it.
var ErrUnavailable = errors.New("ledger does not answer")

// ErrBusy means that writes of other instances always took precedence. The ledger answers, and
// another attempt may succeed.
var ErrBusy = errors.New("ledger is busy with writes of other instances")

// DrawnElsewhereError means that another instance draws the shard and is to be asked for tokens.
type DrawnElsewhereError struct {
	Shard  int
	Drawer string
}

// Error implements error.
func (e *DrawnElsewhereError) Error() string {
	return fmt.Sprintf("ledger shard %d is drawn by %s", e.Shard, e.Drawer)
}

// startFor returns the shard's state at this instance's first attempt to write it. A row that an
// attempt has written has a later turn.
func (n *Node) startFor(shard int, s *Shard) Start {
	n.mu.Lock()
	defer n.mu.Unlock()
	state := &n.shards[shard]
	if !state.startKnown {
		state.startKnown, state.start = true, Start{Era: s.Era, Turn: s.Turn}
	}
	return state.start
}

// shardState is an instance's state for one shard. Its writes are made one at a time, each
// conditional on the state it was computed from. So once a later write has taken effect, an earlier
// one whose answer was lost no longer can.
type shardState struct {
	pendingWrite *pendingWrite
	unavailable  bool
	// startKnown says that a write was attempted, start is the shard's state at the first attempt.
	startKnown bool
	start      Start
	// recovery is this instance's part in settling the shard after a store rollback.
	recovery recovery
	// reporting says that a report to the drawer is in progress.
	reporting bool
	// requesters are the instances that this one draws for, by incarnation. numServed is the number
	// of those that reported lately, plus this one.
	requesters map[string]*requester
	numServed  int
	// drawer is the name of the instance that draws, according to the ledger or another instance.
	drawer string
	// discovering is the name of an unknown drawer named in the ledger, discoveringSince the start
	// of its discovery.
	discovering      string
	discoveringSince time.Time
	// nextNonCandidateWrite is the time from which this instance, if it is not a candidate, may
	// write for a request.
	nextNonCandidateWrite time.Time
	// unavailableSince is when the ledger was first found unavailable.
	unavailableSince time.Time
}

// pendingWrite is a write in progress, which any number of requests wait for.
type pendingWrite struct {
	done      chan struct{}
	err       error
	startedAt time.Time
}

// maxWriteWait is how long a request waits for a write. The store normally answers in a few
// milliseconds, a slow one in a few hundred. One that has not answered by then may not answer at
// all, and peers are asked while there is time.
const maxWriteWait = 200 * time.Millisecond

// maxDrawWrites bounds the writes for one request. Requests that arrive during a write may take the
// tokens drawn for the request that started it; a second write covers the needs of all requests
// that wait then.
const maxDrawWrites = 4

// withdraw takes need tokens out of the free ones, and draws them from the ledger together with the
// needs of other waiting requests and some tokens ahead. It takes them before it unlocks n.mu,
// since other requests woken by the same write would take them otherwise. It returns false without
// an error if the ledger answered and has too few.
func (n *Node) withdraw(ctx context.Context, budget string, need int64) (bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	shard := n.ShardOf(budget)
	b := n.balance(budget)
	b.waiting += need
	defer func() { b.waiting -= need }()
	for writes := 0; !b.take(need); {
		if writes == maxDrawWrites || (writes > 0 && b.exceedsLedger(need)) || n.recentlyTooFew(b, shard, need) {
			return false, nil
		}
		state := &n.shards[shard]
		late := state.pendingWrite != nil && n.Now().Sub(state.pendingWrite.startedAt) >= maxWriteWait
		if late || (state.unavailable && state.pendingWrite == nil) {
			return false, ErrUnavailable
		}
		if state.pendingWrite == nil && n.recentlyUnsettled(shard) {
			return false, ErrUnsettled
		}
		if state.pendingWrite == nil {
			n.startWrite(shard, budget, need)
			writes++
		}
		if err := n.await(ctx, state.pendingWrite); err != nil {
			return false, err
		}
	}
	return true, nil
}

// drawerTooFewLifetime is how long a drawer relies on the ledger's last answer that a budget has too
// few tokens for a need. Requesters return tokens with their reports, twice a second, and a write
// for each request would keep the ledger busy.
const drawerTooFewLifetime = 200 * time.Millisecond

// recentlyTooFew reports whether this drawer recently saw that the ledger has too few tokens for a
// need; n.mu is held.
func (n *Node) recentlyTooFew(b *balance, shard int, need int64) bool {
	return n.drawsForOthers(shard) && b.exceedsLedger(need) && n.Now().Sub(b.ledgerSeenAt) < drawerTooFewLifetime
}

// exceedsLedger reports whether a need exceeds the free tokens plus what the ledger had when it was
// last seen.
func (b *balance) exceedsLedger(need int64) bool { return need-b.free > b.ledgerFree }

// await waits for a write; n.mu is held, and unlocked during the wait.
func (n *Node) await(ctx context.Context, f *pendingWrite) error {
	n.mu.Unlock()
	defer n.mu.Lock()
	timer := time.NewTimer(maxWriteWait)
	defer timer.Stop()
	select {
	case <-f.done:
		return f.err
	case <-timer.C:
		return ErrUnavailable
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startWrite starts a write of a shard; n.mu is held and no write of the shard is in progress. Of
// the budget named, need is drawn whole or not at all; what requests for other budgets wait for is
// drawn as far as it is free.
func (n *Node) startWrite(shard int, budget string, need int64) {
	f := &pendingWrite{done: make(chan struct{}), startedAt: n.Now()}
	n.shards[shard].pendingWrite = f
	transfers := n.transfers(shard, budget, need)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		f.err = n.write(ctx, shard, transfers)
		n.mu.Lock()
		n.shards[shard].pendingWrite = nil
		n.setUnavailable(shard, f.err != nil && !ledgerAnswered(f.err))
		if f.err == nil || errors.Is(f.err, errStillUnsettled) {
			// After any other failure the next tick tries again, since the cause of the failure
			// would also stop an immediate write from settling the object.
			n.settleIfAllReported(shard)
		}
		n.mu.Unlock()
		close(f.done)
	}()
}

// ledgerAnswered reports whether a failed write was answered by the ledger.
func ledgerAnswered(err error) bool {
	var elsewhere *DrawnElsewhereError
	return errors.Is(err, ErrBusy) || errors.As(err, &elsewhere)
}

// setUnavailable records whether the ledger answers; n.mu is held. After an outage the instance holds
// tokens for a longer period: the cause of the outage may return, and requests were refused in
// outages longer than the usual one.
func (n *Node) setUnavailable(shard int, unavailable bool) {
	state := &n.shards[shard]
	now := n.Now()
	if unavailable && !state.unavailable {
		state.unavailableSince = now
	}
	if !unavailable && state.unavailable {
		lasted := time.Duration(outageMargin * float64(now.Sub(state.unavailableSince)))
		n.ahead = min(max(n.ahead, lasted), maxAheadFactor*n.Ahead)
	}
	state.unavailable = unavailable
}

// transfers collects the transfer of each budget of a shard; n.mu is held.
func (n *Node) transfers(shard int, budget string, need int64) map[string]Transfer {
	out := map[string]Transfer{}
	for id, b := range n.balances {
		if n.ShardOf(id) != shard {
			continue
		}
		target := n.targetFor(b, shard)
		b.owed = 0
		transfer := Transfer{
			Known:    b.counter,
			Returned: b.counter.Returned,
			More:     max(b.waiting-b.free, 0),
			// As much again as requests are waiting for is drawn for those that arrive during the
			// write.
			Ahead:        max(target-b.free, b.waiting),
			AheadDivisor: aheadDivisor,
		}
		if id == budget {
			transfer.Need = max(need-b.free, 0)
			transfer.More = max(transfer.More-transfer.Need, 0)
		}
		if n.stopping || b.depleted {
			transfer.Ahead = 0
		}
		out[id] = transfer
	}
	return out
}

// write applies transfers by one conditional write. A failure needs no handling here: the next
// write includes what was returned again, and finds what a write of unknown outcome drew.
func (n *Node) write(ctx context.Context, shard int, transfers map[string]Transfer) error {
	holder := n.holderState(shard)
	var after *Shard
	var recovered Recovered
	var stranded []Stranded
	err := n.Ledger.Update(ctx, shard, n.maxTries(shard), func(s *Shard) error {
		if err := n.claimDrawer(shard, s); err != nil {
			return err
		}
		s.SetPrepaid(n.Amounts(shard))
		recovered = n.mergeRecovery(shard, s)
		stranded = n.removeReplacedHolders(s)
		s.Apply(n.Self, n.startFor(shard, s), n.limitAhead(s, holder, transfers))
		s.SetHolder(n.Name, holder.withDrawn(s.Writers[n.Self], transfers))
		after = s
		return nil
	})
	if err != nil {
		return err
	}
	witnessErr := n.ensureWitnessed(ctx, shard, after)
	if !n.applyWrite(shard, after, witnessErr == nil) {
		return errOldEra // if the draw is in the ledger, a later write finds it
	}
	for _, lost := range stranded {
		n.Observer.Stranded(lost)
	}
	if recovered.Tokens > 0 || recovered.Settled {
		n.Observer.Recovered(recovered)
	}
	if after.Unsettled {
		return errStillUnsettled
	}
	return witnessErr
}

// Errors of writes after which the shard cannot be drawn from.
var (
	// errStillUnsettled means that the object waits for other instances' reports.
	errStillUnsettled = fmt.Errorf("not all instances have reported yet: %w", ErrUnsettled)
	// errOldEra means that the object is of an era that this instance considers over.
	errOldEra = fmt.Errorf("ledger object of an older era was rejected: %w", ErrUnsettled)
)

// Maximum attempts of one write against conflicting writes of other instances.
const (
	// candidateTries is for an instance that is one of the few that write to a shard.
	candidateTries = 12
	// nonCandidateTries is for any other instance, in a large fleet: all of the others may be
	// trying too, and each attempt delays the drawers' writes.
	nonCandidateTries = 2
)

func (n *Node) maxTries(shard int) int {
	if n.isNonCandidate(shard) && !n.isStopping() {
		return nonCandidateTries
	}
	return candidateTries // a stopping instance loses what it cannot return
}

// isNonCandidate reports whether other instances draw a shard for this one. An instance that does
// not know the others yet counts as such: after a power loss of all 73 instances of a large fleet,
// each considered itself one of a few, and their attempts kept the store too busy for them to
// discover each other through it.
func (n *Node) isNonCandidate(shard int) bool {
	if !n.Fleet.Joined() {
		return true
	}
	candidates := n.Fleet.Drawers(shard)
	return len(candidates) > 0 && !slices.Contains(candidates, n.Self)
}

// applyWrite applies what a write left in the ledger. What it drew is applied only if the draw is
// witnessed; otherwise the next write finds it. It returns false for the object of a past era,
// because this instance may already have reported what it had drawn until then.
func (n *Node) applyWrite(shard int, after *Shard, witnessed bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if max(after.Era, firstEra) < n.minEra {
		return false
	}
	n.applyRecovery(shard, after)
	for id, counter := range after.Writers[n.Self].Counters {
		if !witnessed {
			counter.Drawn = n.balance(id).counter.Drawn
		}
		n.applyBudget(shard, id, counter, after)
	}
	return true
}

// withDrawn returns the holder state after the instance has applied what a write drew.
func (h Holder) withDrawn(row Writer, transfers map[string]Transfer) Holder {
	held := maps.Clone(h.Held)
	for id, transfer := range transfers {
		if drawn := row.Counters[id].Drawn - transfer.Known.Drawn; drawn > 0 {
			held[id] += drawn
		}
	}
	return Holder{Incarnation: h.Incarnation, PerSecond: h.PerSecond, Held: held}
}

func (n *Node) applyBudget(shard int, id string, counter Counter, after *Shard) {
	b := n.balance(id)
	drawn, returned := b.applyCounter(counter)
	b.recordLedger(after.Budgets[id].Prepaid, after.Free(id), int(n.numSharers(shard)), n.Now())
	b.elsewherePerSecond, b.heldElsewhere = after.demandElsewhere(n.Name, id, n.sharesBudgets)
	if drawn == 0 && returned == 0 {
		return
	}
	n.Observer.Moved(Movement{
		Budget: id, Drawn: drawn, Returned: returned, Left: b.ledgerFree,
		Free: b.free, Reserved: b.reserved, Target: n.targetFor(b, shard), HeldElsewhere: b.heldElsewhere,
		PerSecond: int64(b.perSecond), ElsewherePerSecond: int64(b.elsewherePerSecond),
	})
}

// holderState returns the state of this instance and those that it draws a shard for.
func (n *Node) holderState(shard int) Holder {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := Holder{Incarnation: n.Self, PerSecond: map[string]int64{}, Held: map[string]int64{}}
	for id, b := range n.balances {
		if n.ShardOf(id) != shard {
			continue
		}
		if b.servedPerSecond >= 1 {
			h.PerSecond[id] = int64(b.servedPerSecond)
		}
		if held := b.free + b.heldByRequesters; held > 0 {
			h.Held[id] = held
		}
	}
	return h
}

// numSharers returns among how many drawers the ledger's free tokens are shared: one for each region
// if this instance draws for others, otherwise every known instance; n.mu is held.
func (n *Node) numSharers(shard int) int64 {
	if n.drawsForOthers(shard) {
		return int64(max(len(n.Fleet.OtherDrawers(shard))+1, 1))
	}
	return int64(max(n.Fleet.NumKnown(), 1))
}
