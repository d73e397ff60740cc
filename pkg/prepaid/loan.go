package prepaid

import (
	"context"
	"errors"
	"time"
)

// errNoLender means that no peer that answered had tokens to spare.
var errNoLender = errors.New("no peer had tokens to spare")

// borrow asks peers for the missing tokens, one after the other, until one lends.
func (n *Node) borrow(ctx context.Context, budget string, need int64) error {
	n.mu.Lock()
	b := n.balance(budget)
	need -= b.free
	ahead := int64(b.perSecond * loanAhead.Seconds())
	avoided := n.Now().Before(b.lendersAvoidedUntil)
	n.mu.Unlock()
	if avoided {
		return errNoLender
	}
	peers := n.Fleet.Others()
	for _, peer := range peers[:min(maxLoanPeers, len(peers))] {
		if n.requestLoan(ctx, peer, budget, need, ahead) == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	n.mu.Lock()
	b.lendersAvoidedUntil = n.Now().Add(lenderBackoff)
	n.mu.Unlock()
	return errNoLender
}

// requestLoan asks one peer for a loan and waits at most lenderTimeout.
func (n *Node) requestLoan(ctx context.Context, peer, budget string, need, ahead int64) error {
	answer := make(chan error, 1)
	go func() { answer <- n.callLend(peer, budget, need, ahead) }()
	select {
	case err := <-answer:
		return err
	case <-time.After(lenderTimeout):
		return errNoLender
	case <-ctx.Done():
		return ctx.Err()
	}
}

// lenderBackoff is how long no peer is asked for a budget after none had tokens or answered.
const lenderBackoff = 300 * time.Millisecond

// Bounds of one loan request.
const (
	// lenderTimeout is how long to wait for one peer before asking the next.
	lenderTimeout = 120 * time.Millisecond
	// loanTimeout bounds the call itself. It continues after the waiting request has given up: lent
	// tokens whose reply is not received are lost to the budget.
	loanTimeout = time.Second
)

func (n *Node) callLend(peer, budget string, need, ahead int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), loanTimeout)
	defer cancel()
	tokens, err := n.Peers.Lend(ctx, peer, budget, need, ahead)
	if err != nil {
		return err
	}
	if tokens <= 0 {
		return errNoLender
	}
	n.mu.Lock()
	n.balance(budget).free += tokens
	n.mu.Unlock()
	n.Observer.Borrowed(budget, peer, tokens)
	return nil
}

// Lend hands tokens over to another instance and returns how many: need, if the free tokens or the
// ledger can cover it, plus up to ahead from half of the remaining free tokens. If need is 0, it
// hands over free tokens only, up to ahead.
func (n *Node) Lend(ctx context.Context, budget string, need, ahead int64) int64 {
	switch {
	case n.isStopping() || need < 0 || ahead < 0:
		return 0
	case need == 0:
		return n.lendFree(budget, ahead)
	}
	if found, err := n.withdraw(ctx, budget, need); err != nil || !found {
		return 0 // the borrower asks another peer
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.balance(budget)
	more := max(min(ahead, b.free/2), 0)
	b.free -= more
	b.demand += need + more // makes this instance hold enough for its borrowers, too
	b.largest = max(b.largest, need)
	return need + more
}

func (n *Node) isStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping
}
