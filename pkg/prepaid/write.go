package prepaid

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// writeTimeout bounds one write with its tries. It goes on when the request that
// began it has given up: what it draws serves the next ones.
const writeTimeout = 2 * time.Second

// How an outage makes an instance hold more ahead.
const (
	// outageMargin times its length is what is held: demand is uneven.
	outageMargin = 1.5
	// mostAhead times the setting is the most that is held.
	mostAhead = 2
)

// ErrAway means that the ledger did not answer the last write; a tick finds out
// when it does again, and until then requests do not wait for it.
var ErrAway = errors.New("ledger does not answer")

// ErrBusy means that other instances' writes were always before this one's: the
// ledger answers, and another try may succeed.
var ErrBusy = errors.New("ledger is written by others all the time")

// DrawnElsewhereError means that another instance draws a shard, which is to be asked.
type DrawnElsewhereError struct {
	Shard  int
	Drawer string
}

// Error implements error.
func (e *DrawnElsewhereError) Error() string {
	return fmt.Sprintf("ledger shard %d is drawn by %s", e.Shard, e.Drawer)
}

// startOf is where this instance's first try to write to a shard found it: a row that
// a try has left there has a later turn.
func (n *Node) startOf(shard int, s *Shard) Start {
	n.mu.Lock()
	defer n.mu.Unlock()
	state := &n.shards[shard]
	if !state.tried {
		state.tried, state.start = true, Start{Era: s.Era, Turn: s.Turn}
	}
	return state.start
}

// shardState is an instance's side of one shard. Writes come one at a time, each
// conditional on the state it was computed on; so once a later one has taken
// effect an earlier one, whose answer was lost, never can any more.
type shardState struct {
	flight *flight
	away   bool
	// tried says that a write was tried, start where it found the shard.
	tried bool
	start Start
	// recovery is this instance's part in settling the shard after the store went back.
	recovery recovery
	// reporting says that a report to the drawer is on its way.
	reporting bool
	// askers are the instances that have this one draw for them, drawnFor how many
	// there are, this one included.
	askers   map[string]*asker
	drawnFor int
	// drawer is the name of the instance that draws, as the ledger or another instance told.
	drawer string
	// meeting is the name of one that was found in the ledger and not known, metSince when.
	meeting  string
	metSince time.Time
	// strangerAt is when an instance that is no candidate may write for a request.
	strangerAt time.Time
	// awaySince is when it was first found away.
	awaySince time.Time
}

// flight is a write on its way, which any number of requests wait for.
type flight struct {
	done  chan struct{}
	err   error
	began time.Time
}

// ledgerPatience is how long a request waits for a write: the store answers in a
// few milliseconds, a slow one in a few hundred. One that has not answered by then
// may not answer at all, and peers are asked while there is time.
const ledgerPatience = 200 * time.Millisecond

// drawTries bounds the writes for one request. Requests that come while a write is on
// its way may take what it brings before the one that it was for; a second write takes
// the needs of all that wait then.
const drawTries = 4

// withdraw takes need tokens out of what is free, drawing them from the ledger with
// what other requests wait for and some ahead. They are taken before the lock is let
// go, or others that woke with this one would take them. It reports false without an
// error if the ledger answered and has too few.
func (n *Node) withdraw(ctx context.Context, budget string, need int64) (bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	shard := n.ShardOf(budget)
	p := n.purse(budget)
	p.waiting += need
	defer func() { p.waiting -= need }()
	for writes := 0; !p.remove(need); {
		if writes == drawTries || (writes > 0 && p.tooFew(need)) || n.justSeenShort(p, shard, need) {
			return false, nil
		}
		state := &n.shards[shard]
		late := state.flight != nil && n.Now().Sub(state.flight.began) >= ledgerPatience
		if late || (state.away && state.flight == nil) {
			return false, ErrAway
		}
		if state.flight == nil && n.justUnsettled(shard) {
			return false, ErrUnsettled
		}
		if state.flight == nil {
			n.begin(shard, budget, need)
			writes++
		}
		if err := n.await(ctx, state.flight); err != nil {
			return false, err
		}
	}
	return true, nil
}

// seenPause is how long a drawer takes the ledger's word that a budget has too few for a
// need: what askers give back comes with their reports, twice a second, and a write for
// each request would keep the ledger busy.
const seenPause = 200 * time.Millisecond

// justSeenShort reports that a drawer has seen a moment ago that the ledger has too few
// for a need; n.mu is held.
func (n *Node) justSeenShort(p *purse, shard int, need int64) bool {
	return n.drawsForOthers(shard) && p.tooFew(need) && n.Now().Sub(p.seenAt) < seenPause
}

// tooFew reports that the ledger, when it was last seen, had too few tokens for a need
// beyond what is at hand.
func (p *purse) tooFew(need int64) bool { return need-p.free > p.left }

// await waits for a flight; n.mu is held and let go meanwhile.
func (n *Node) await(ctx context.Context, f *flight) error {
	n.mu.Unlock()
	defer n.mu.Lock()
	patience := time.NewTimer(ledgerPatience)
	defer patience.Stop()
	select {
	case <-f.done:
		return f.err
	case <-patience.C:
		return ErrAway
	case <-ctx.Done():
		return ctx.Err()
	}
}

// begin starts a write of a shard; n.mu is held and no write is on its way. need
// is wanted whole of the budget named; others get what is free.
func (n *Node) begin(shard int, budget string, need int64) {
	f := &flight{done: make(chan struct{}), began: n.Now()}
	n.shards[shard].flight = f
	wishes := n.wishes(shard, budget, need)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		f.err = n.write(ctx, shard, wishes)
		n.mu.Lock()
		n.shards[shard].flight = nil
		n.noteAway(shard, f.err != nil && !answered(f.err))
		if f.err == nil || errors.Is(f.err, errUnsettledYet) {
			// After any other write the next tick tries again: what kept that one from
			// settling the object would keep the next one too.
			n.settleNow(shard)
		}
		n.mu.Unlock()
		close(f.done)
	}()
}

// answered reports whether a failed write was answered by the ledger.
func answered(err error) bool {
	var elsewhere *DrawnElsewhereError
	return errors.Is(err, ErrBusy) || errors.As(err, &elsewhere)
}

// noteAway notes whether a ledger answers. An instance that has been without it
// holds more from then on: what cut it off once may do so again, and a longer
// outage than the usual one is where requests were refused.
func (n *Node) noteAway(shard int, away bool) {
	state := &n.shards[shard]
	now := n.Now()
	if away && !state.away {
		state.awaySince = now
	}
	if !away && state.away {
		lasted := time.Duration(outageMargin * float64(now.Sub(state.awaySince)))
		n.ahead = min(max(n.ahead, lasted), mostAhead*n.Ahead)
	}
	state.away = away
}

// wishes gathers what is wanted of every budget of a shard; n.mu is held.
func (n *Node) wishes(shard int, budget string, need int64) map[string]Wish {
	out := map[string]Wish{}
	for id, p := range n.purses {
		if n.ShardOf(id) != shard {
			continue
		}
		target := n.targetOf(p, shard)
		p.owed = 0
		wish := Wish{
			Known:    p.counter,
			Returned: p.counter.Returned,
			More:     max(p.waiting-p.free, 0),
			// As much again as is waited for is wanted for those that come while the
			// write is on its way.
			Ahead:     max(target-p.free, p.waiting),
			AheadPart: aheadPart,
		}
		if id == budget {
			wish.Need = max(need-p.free, 0)
			wish.More = max(wish.More-wish.Need, 0)
		}
		if n.stopping || p.dry {
			wish.Ahead = 0
		}
		out[id] = wish
	}
	return out
}

// write carries wishes out by one conditional write. A failure needs no mending
// here: what was returned is counted again by the next write, and what a write of
// unknown fate drew is found by it.
func (n *Node) write(ctx context.Context, shard int, wishes map[string]Wish) error {
	holder := n.holder(shard)
	var after *Shard
	var recovered Recovered
	err := n.Ledger.Update(ctx, shard, n.triesFor(shard), func(s *Shard) error {
		if err := n.takeDrawing(shard, s); err != nil {
			return err
		}
		s.SetPrepaid(n.Amounts(shard))
		recovered = n.recover(shard, s)
		s.Apply(n.Self, n.startOf(shard, s), wishes)
		s.SetHolder(n.Name, holder.withDrawn(s.Writers[n.Self], wishes))
		after = s
		return nil
	})
	if err != nil {
		return err
	}
	seen := n.haveWitnessed(ctx, shard, after)
	if !n.adopt(shard, after, seen == nil) {
		return errPassedOver // what it drew is found in the ledger later, if it is there
	}
	if recovered.Tokens > 0 || recovered.Settled {
		n.Observer.Recovered(recovered)
	}
	if after.Unsettled {
		return errUnsettledYet
	}
	return seen
}

// Writes after which the shard cannot be drawn from.
var (
	// errUnsettledYet means that the object waits for what others have seen.
	errUnsettledYet = fmt.Errorf("others have not told yet: %w", ErrUnsettled)
	// errPassedOver means that the object is of an era that this instance takes for over.
	errPassedOver = fmt.Errorf("an older era's object was passed over: %w", ErrUnsettled)
)

// Tries of one write against other instances' writes.
const (
	// writerTries is for one that is among the few that write to a shard.
	writerTries = 12
	// strangerWriteTries is for one that is not, in a large fleet: all of the others
	// may be trying too, and each try keeps the drawers from theirs.
	strangerWriteTries = 2
)

func (n *Node) triesFor(shard int) int {
	if n.isStranger(shard) && !n.stops() {
		return strangerWriteTries
	}
	return writerTries // one that stops loses what it cannot give back
}

// isStranger reports that others draw a shard for this instance. One that does
// not know the others yet counts as such: after a power loss of all 73 instances of a
// large fleet each took itself for one of a few, and their tries kept the store too busy
// to tell them of each other.
func (n *Node) isStranger(shard int) bool {
	if !n.Fleet.Joined() {
		return true
	}
	candidates := n.Fleet.Drawers(shard)
	return len(candidates) > 0 && !slices.Contains(candidates, n.Self)
}

// adopt takes over what a write left in the ledger; what it drew only if another instance has seen
// that, else the next write finds it. It reports false for the object of an era that is over: others
// have been told already what this instance had drawn until then.
func (n *Node) adopt(shard int, after *Shard, seen bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if max(after.Era, firstEra) < n.floor {
		return false
	}
	n.adoptRecovery(shard, after)
	for id, counter := range after.Writers[n.Self].Counters {
		if !seen {
			counter.Drawn = n.purse(id).counter.Drawn
		}
		n.adoptOne(shard, id, counter, after)
	}
	return true
}

// withDrawn is how the instance stands once it has taken over what a write drew.
func (h Holder) withDrawn(row Writer, wishes map[string]Wish) Holder {
	held := maps.Clone(h.Held)
	for id, wish := range wishes {
		if drawn := row.Counters[id].Drawn - wish.Known.Drawn; drawn > 0 {
			held[id] += drawn
		}
	}
	return Holder{PerSecond: h.PerSecond, Held: held}
}

func (n *Node) adoptOne(shard int, id string, counter Counter, after *Shard) {
	p := n.purse(id)
	drawn, returned := p.adopt(counter)
	p.note(after.Budgets[id].Prepaid, after.Free(id), int(n.sharers(shard)), n.Now())
	p.elsewherePerSecond, p.heldElsewhere = after.holdersElsewhere(n.Name, id, n.Fleet.Counts)
	if drawn == 0 && returned == 0 {
		return
	}
	n.Observer.Moved(Movement{
		Budget: id, Drawn: drawn, Returned: returned, Left: p.left,
		Free: p.free, Reserved: p.reserved, Target: n.targetOf(p, shard), HeldElsewhere: p.heldElsewhere,
		PerSecond: int64(p.perSecond), ElsewherePerSecond: int64(p.elsewherePerSecond),
	})
}

// holder tells how this instance stands with those that it draws a shard for.
func (n *Node) holder(shard int) Holder {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := Holder{PerSecond: map[string]int64{}, Held: map[string]int64{}}
	for id, p := range n.purses {
		if n.ShardOf(id) != shard {
			continue
		}
		if p.drawnPerSecond >= 1 {
			h.PerSecond[id] = int64(p.drawnPerSecond)
		}
		if held := p.free + p.heldByAskers; held > 0 {
			h.Held[id] = held
		}
	}
	return h
}

// sharers is among how many what is free is shared: the regions if one instance draws
// for each, otherwise all instances; n.mu is held.
func (n *Node) sharers(shard int) int64 {
	if n.drawsForOthers(shard) {
		return int64(max(len(n.Fleet.OtherDrawers(shard))+1, 1))
	}
	return int64(max(n.Fleet.Known(), 1))
}
