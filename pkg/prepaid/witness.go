package prepaid

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
)

// A draw that the store forgets, since it comes back from a copy, is known to those that have seen
// it. So that a writer is never the only one, it tells a witness, in another failure domain where
// there is one, before any token of the draw is spent, lent or dealt out. A draw that no witness has
// is like one whose answer was lost: it stays in the ledger, and the next write finds it.

// How a writer has its draws witnessed.
const (
	// witnessesAsked is how many are asked at once; one that answers is enough.
	witnessesAsked = 2
	// witnessPatience is how long they are waited for before further ones are asked; all rounds fit
	// into the time that a request waits for a write.
	witnessPatience = 60 * time.Millisecond
	witnessRounds   = 3
	// witnessTimeout bounds one question. It goes on when another witness has answered: two know
	// more surely than one.
	witnessTimeout = time.Second
	// maxWitnessed bounds the writers whose draws are remembered here; the ledger remembers as many.
	maxWitnessed = maxWriters
)

// errUnseen means that no witness has a draw: its tokens are not spent. For requests it is as if
// the ledger did not answer.
var errUnseen = errors.New("no other instance has seen the draw")

// witnessed holds what writers have drawn as they told it, by writer and budget.
type witnessed map[string]*witnessedRow

// witnessedRow is one writer's; told orders the rows by when they were last told.
type witnessedRow struct {
	drawn map[string]int64
	told  time.Time
}

// note keeps the highest that was told of what a writer has drawn of a budget.
func (w witnessed) note(writer, budget string, drawn int64, now time.Time) {
	row := w[writer]
	if row == nil {
		w.makeRoom()
		row = &witnessedRow{drawn: map[string]int64{}}
		w[writer] = row
	}
	row.told = now
	row.drawn[budget] = max(row.drawn[budget], drawn)
}

// makeRoom forgets the row that was told longest ago if there are as many as there may be.
func (w witnessed) makeRoom() {
	if len(w) < maxWitnessed {
		return
	}
	oldest := ""
	for writer, row := range w {
		if oldest == "" || row.told.Before(w[oldest].told) {
			oldest = writer
		}
	}
	delete(w, oldest)
}

// Witness remembers what another instance has drawn.
func (n *Node) Witness(req *prepaidpb.WitnessRequest) *prepaidpb.WitnessReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	// What was seen of an era that is over has been told: nobody would hear of this draw.
	if max(req.Era, firstEra) < n.floor || req.Row.GetWriter() == "" {
		return &prepaidpb.WitnessReply{Declined: true}
	}
	for _, c := range req.Row.Counters {
		n.witnessed.note(req.Row.Writer, c.Budget, c.Drawn, n.Now())
	}
	return &prepaidpb.WitnessReply{}
}

// haveWitnessed has another instance remember what a write drew, and returns errUnseen if none does.
// An instance that knows no other living one is its own witness.
func (n *Node) haveWitnessed(ctx context.Context, shard int, after *Shard) error {
	row := n.drawnIn(after)
	if len(row.Counters) == 0 {
		return nil
	}
	witnesses := n.Fleet.Witnesses(shard)
	if len(witnesses) == 0 {
		return nil
	}
	question := witnessQuestion{
		req:     &prepaidpb.WitnessRequest{Era: after.Era, Row: row},
		answers: make(chan error, len(witnesses)),
	}
	err := errNoAnswer
	for round := 0; round < witnessRounds && len(witnesses) > 0; round++ {
		next := min(witnessesAsked, len(witnesses))
		for _, to := range witnesses[:next] {
			n.askWitness(to, &question)
		}
		witnesses = witnesses[next:]
		if err = question.await(ctx); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%w: %w", errUnseen, err)
}

// drawnIn is what this instance has drawn, of the budgets of which a write left more than it has taken
// over.
func (n *Node) drawnIn(after *Shard) *prepaidpb.SeenRow {
	n.mu.Lock()
	defer n.mu.Unlock()
	drawn := map[string]Counter{}
	for id, counter := range after.Writers[n.Self].Counters {
		if counter.Drawn > n.purse(id).counter.Drawn {
			drawn[id] = Counter{Drawn: counter.Drawn}
		}
	}
	return tellRow(n.Self, drawn)
}

// Why a witness does not have a draw.
var (
	errWitnessDeclined = errors.New("witness declined")
	errNoAnswer        = errors.New("no witness answered in time")
)

// witnessQuestion is one draw as witnesses are asked to remember it.
type witnessQuestion struct {
	req *prepaidpb.WitnessRequest
	// answers takes one of each witness, and has room for all; waiting counts those that lack.
	answers chan error
	waiting int
}

// await waits for the first witness that has the draw, until all that were asked have answered or
// patience ends.
func (q *witnessQuestion) await(ctx context.Context) error {
	patience := time.NewTimer(witnessPatience)
	defer patience.Stop()
	err := errNoAnswer
	for q.waiting > 0 {
		select {
		case err = <-q.answers:
			q.waiting--
			if err == nil {
				return nil
			}
		case <-patience.C:
			return errNoAnswer
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return err
}

// askWitness has one instance remember a draw; its answer goes to the question.
func (n *Node) askWitness(to string, q *witnessQuestion) {
	q.waiting++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
		defer cancel()
		reply, err := n.Peers.Witness(ctx, to, q.req)
		if err == nil && reply.Declined {
			err = errWitnessDeclined
		}
		q.answers <- err
	}()
}

// witnessedRows is what others have told this instance that they drew from a shard, also by what they
// dealt out to it; n.mu is held.
func (n *Node) witnessedRows(shard int) []seenRow {
	var rows []seenRow
	for writer, row := range n.witnessed {
		counters := map[string]Counter{}
		for id, drawn := range row.drawn {
			if n.ShardOf(id) == shard {
				counters[id] = Counter{Drawn: drawn}
			}
		}
		if len(counters) > 0 {
			rows = append(rows, seenRow{writer, Row{Counters: counters}})
		}
	}
	return rows
}
