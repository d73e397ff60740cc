package prepaid

// The store may come back from a copy of itself that is some seconds old. The draws of these
// seconds are missing in the copy, and their tokens look free while callers spend them. What is
// missing is brought back by those that have seen it: each writer knows its own counters, who
// writes sees all rows, and what a drawer deals out carries its own count. Counters only grow, so
// the truth of each is the highest that anybody has seen, whoever brings it and how often.
//
// The ledger object of a new era is *unsettled* until all living instances have told what they
// have seen. Nothing is drawn from it until then.

// Begin makes a shard, which was copied from an older era's object, the one of an era.
func (s *Shard) Begin(era uint64) {
	s.Era, s.Unsettled, s.Told = era, true, nil
}

// Row is what is known of one writer's counters.
type Row struct {
	Counters map[string]Counter
	// Own says that the writer itself tells it. Raising what is returned makes tokens free, so
	// that is taken from the writer only; what others saw drawn is taken from anybody.
	Own bool
}

// Merge raises a writer's row to what has been seen of it, and the grants with it. What is lower
// changes nothing. It returns how many tokens it brought back.
func (s *Shard) Merge(writer string, seen Row) (tokens int64) {
	row := s.Writers[writer]
	counters := make(map[string]Counter, len(row.Counters))
	for id, counter := range row.Counters {
		counters[id] = counter
	}
	for id, counter := range seen.Counters {
		b, exists := s.Budgets[id]
		if !exists {
			continue
		}
		merged := counters[id]
		if drawn := counter.Drawn - merged.Drawn; drawn > 0 {
			merged.Drawn += drawn
			b.Granted += drawn
			tokens += drawn
		}
		if returned := counter.Returned - merged.Returned; seen.Own && returned > 0 {
			merged.Returned += returned
			b.Granted -= returned
		}
		counters[id], s.Budgets[id] = merged, b
	}
	if len(counters) > 0 {
		row.Counters = counters
		s.Writers[writer] = row
	}
	return tokens
}

// Tell notes that an incarnation has told what it has seen.
func (s *Shard) Tell(incarnation string) {
	if s.Told == nil {
		s.Told = map[string]bool{}
	}
	s.Told[incarnation] = true
}

// Settle lets tokens be drawn again. The reserves, by the name of an instance that has not told and
// by budget, stay undrawn: that instance may hold a draw that nobody else saw.
func (s *Shard) Settle(reserves map[string]map[string]int64) {
	s.Unsettled, s.Told = false, nil
	for name, reserve := range reserves {
		if len(reserve) == 0 {
			continue
		}
		if s.Reserves == nil {
			s.Reserves = map[string]map[string]int64{}
		}
		s.Reserves[name] = reserve
	}
}

// reservePart bounds what all reserves hold of what is free, as a divisor.
const reservePart = 2

// Free returns the tokens of a budget that may be drawn.
func (s *Shard) Free(id string) int64 {
	free := s.Budgets[id].Free()
	if free <= 0 {
		return free
	}
	var reserved int64
	for _, reserve := range s.Reserves {
		reserved += reserve[id]
	}
	return free - min(reserved, free/reservePart)
}
