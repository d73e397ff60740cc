package prepaid

// Tokens that an instance holds when it fails are lost to the budget: nobody can tell afterwards whether
// they were spent. All instances may fail at once, so what all of them hold together is bounded by the
// write that draws, where the ledger object shows what each drawer and its requesters hold.

// lossDivisor: no write draws ahead of demand while all instances together hold 1/lossDivisor or more of the
// tokens of a budget that are neither spent nor set aside for a request.
const lossDivisor = 3

// Stranded is what an earlier process of an instance held of one shard when it last wrote.
type Stranded struct {
	// Instance is the instance's name, Incarnation the process that has ended.
	Instance, Incarnation string
	// Held is the number of free tokens by budget, at the process and at those that it drew for.
	Held map[string]int64
}

// limitAhead returns the transfers with what they draw ahead of demand bounded, so that all instances
// together hold at most 1/lossDivisor of what is left. As much as requests wait for may always be
// drawn for those that arrive during the write.
func (n *Node) limitAhead(s *Shard, own Holder, transfers map[string]Transfer) map[string]Transfer {
	limited := make(map[string]Transfer, len(transfers))
	for id, transfer := range transfers {
		_, elsewhere := s.demandElsewhere(n.Name, id, n.sharesBudgets)
		held := own.Held[id] + elsewhere
		left := max(s.Free(id), 0) + held
		allowed := max(left/lossDivisor-held, transfer.Need+transfer.More)
		transfer.Ahead = min(transfer.Ahead, allowed)
		limited[id] = transfer
	}
	return limited
}

// sharesBudgets reports whether a holder's state still counts: its instance shares the budgets and the
// process that wrote it has not been replaced.
func (n *Node) sharesBudgets(name string, h Holder) bool {
	return n.Fleet.SharesBudgets(name) && !n.isReplaced(name, h)
}

// isReplaced reports whether a later process runs under a holder's name.
func (n *Node) isReplaced(name string, h Holder) bool {
	live, _ := n.Fleet.Live(name)
	if name == n.Name {
		live = n.Self
	}
	return h.Incarnation != "" && live != "" && live != h.Incarnation
}

// removeReplacedHolders removes the state of processes that have been replaced by later ones under their
// names, and returns what they held. An unsettled shard keeps it, since it shows who may have drawn unseen.
func (n *Node) removeReplacedHolders(s *Shard) (stranded []Stranded) {
	if s.Unsettled {
		return nil
	}
	for name, h := range s.Holders {
		if !n.isReplaced(name, h) {
			continue
		}
		delete(s.Holders, name)
		if len(h.Held) > 0 {
			stranded = append(stranded, Stranded{Instance: name, Incarnation: h.Incarnation, Held: h.Held})
		}
	}
	return stranded
}
