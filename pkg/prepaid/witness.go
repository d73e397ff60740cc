package prepaid

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lavenderring/lavenderring/pkg/prepaid/prepaidpb"
)

// A draw that the store loses, in a rollback to an older copy of itself, is known to the instances
// that have seen it. The writer must not be the only one. Before any token of the draw is spent,
// lent or granted, the writer therefore reports it to a witness, in another failure domain if
// there is one. A draw without a witness is treated like one whose answer was lost: it stays in the
// ledger, and the next write finds it.

// Parameters of having draws witnessed.
const (
	// witnessesPerRound is how many witnesses are asked at once; one that accepts is enough.
	witnessesPerRound = 2
	// witnessRoundTimeout is how long to wait for them before asking others. All rounds fit into
	// the time that a request waits for a write.
	witnessRoundTimeout = 60 * time.Millisecond
	maxWitnessRounds    = 3
	// witnessTimeout bounds one call. The call continues after another witness has accepted: two
	// witnesses are safer than one.
	witnessTimeout = time.Second
	// maxWitnessed bounds the writers whose draws this instance remembers; the ledger keeps as
	// many.
	maxWitnessed = maxWriters
)

// errUnwitnessed means that no witness has accepted a draw, so its tokens are not spent. Requests
// treat it as if the ledger did not answer.
var errUnwitnessed = errors.New("no other instance has seen the draw")

// witnessedDraws holds the reported draws of other instances by writer.
type witnessedDraws map[string]*witnessedRow

// witnessedRow is one writer's total drawn by budget; reportedAt is the time of its last report.
type witnessedRow struct {
	drawn      map[string]int64
	reportedAt time.Time
}

// record keeps the highest reported total that a writer has drawn of a budget.
func (w witnessedDraws) record(writer, budget string, drawn int64, now time.Time) {
	row := w[writer]
	if row == nil {
		w.evictOldest()
		row = &witnessedRow{drawn: map[string]int64{}}
		w[writer] = row
	}
	row.reportedAt = now
	row.drawn[budget] = max(row.drawn[budget], drawn)
}

// evictOldest evicts the row whose last report is oldest if the maximum is reached.
func (w witnessedDraws) evictOldest() {
	if len(w) < maxWitnessed {
		return
	}
	oldest := ""
	for writer, row := range w {
		if oldest == "" || row.reportedAt.Before(w[oldest].reportedAt) {
			oldest = writer
		}
	}
	delete(w, oldest)
}

// Witness remembers what another instance has drawn.
func (n *Node) Witness(req *prepaidpb.WitnessRequest) *prepaidpb.WitnessReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	// This instance may have reported already what it saw of a past era, so it would not report
	// this draw any more.
	if max(req.Era, firstEra) < n.minEra || req.Row.GetWriter() == "" {
		return &prepaidpb.WitnessReply{Declined: true}
	}
	for _, c := range req.Row.Counters {
		n.witnessed.record(req.Row.Writer, c.Budget, c.Drawn, n.Now())
	}
	return &prepaidpb.WitnessReply{}
}

// ensureWitnessed has another instance remember what a write drew, and returns errUnwitnessed if
// none does. An instance that knows no other live one needs no witness.
func (n *Node) ensureWitnessed(ctx context.Context, shard int, after *Shard) error {
	row := n.newlyDrawn(after)
	if len(row.Counters) == 0 {
		return nil
	}
	witnesses := n.Fleet.Witnesses(shard)
	if len(witnesses) == 0 {
		return nil
	}
	query := witnessQuery{
		req:     &prepaidpb.WitnessRequest{Era: after.Era, Row: row},
		answers: make(chan error, len(witnesses)),
	}
	err := errWitnessTimeout
	for round := 0; round < maxWitnessRounds && len(witnesses) > 0; round++ {
		next := min(witnessesPerRound, len(witnesses))
		for _, to := range witnesses[:next] {
			n.queryWitness(to, &query)
		}
		witnesses = witnesses[next:]
		if err = query.await(ctx); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%w: %w", errUnwitnessed, err)
}

// newlyDrawn returns this instance's drawn totals of the budgets for which the written shard has
// more than this instance has applied.
func (n *Node) newlyDrawn(after *Shard) *prepaidpb.SeenRow {
	n.mu.Lock()
	defer n.mu.Unlock()
	drawn := map[string]Counter{}
	for id, counter := range after.Writers[n.Self].Counters {
		if counter.Drawn > n.balance(id).counter.Drawn {
			drawn[id] = Counter{Drawn: counter.Drawn}
		}
	}
	return newSeenRow(n.Self, drawn)
}

// Reasons why no witness has accepted a draw.
var (
	errWitnessDeclined = errors.New("witness declined")
	errWitnessTimeout  = errors.New("no witness answered in time")
)

// witnessQuery is the request to witnesses to remember one draw.
type witnessQuery struct {
	req *prepaidpb.WitnessRequest
	// answers has room for the answer of each witness; numPending counts the missing ones.
	answers    chan error
	numPending int
}

// await waits for the first witness that accepts the draw, until all that were asked have answered
// or witnessRoundTimeout has passed.
func (q *witnessQuery) await(ctx context.Context) error {
	timer := time.NewTimer(witnessRoundTimeout)
	defer timer.Stop()
	err := errWitnessTimeout
	for q.numPending > 0 {
		select {
		case err = <-q.answers:
			q.numPending--
			if err == nil {
				return nil
			}
		case <-timer.C:
			return errWitnessTimeout
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return err
}

// queryWitness asks one instance to remember a draw; its answer is sent to q.answers.
func (n *Node) queryWitness(to string, q *witnessQuery) {
	q.numPending++
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

// witnessedRows returns what other instances have drawn from a shard according to their witness
// requests and, for drawers, their refill replies; n.mu is held.
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
