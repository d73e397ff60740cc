package prepaid

// The store may be rolled back to a copy of itself that is some seconds old. The draws of these
// seconds are missing in the copy, and their tokens look free while clients are spending them.
// Instances that have seen these draws restore them: each writer knows its own counters, each
// writer sees all rows of the object, and a drawer sends its own drawn total with the tokens that it
// grants. Counters only grow, so the correct value of each is the highest that any instance has
// seen, no matter which instance reports it or how often.
//
// The ledger object of a new era is *unsettled* until all live instances have reported what they
// have seen. Nothing is drawn from it until then.

// BeginEra turns a shard that was copied from an older era's object into the shard of a new era.
func (s *Shard) BeginEra(era uint64) {
	s.Era, s.Unsettled, s.Reported = era, true, nil
}

// Row holds one writer's counters as far as an instance knows them.
type Row struct {
	Counters map[string]Counter
	// Own says that the writer itself reports the row. A higher returned count frees tokens, so it
	// is accepted from the writer only; a higher drawn count is accepted from any instance.
	Own bool
}

// Merge raises a writer's counters to those seen, and the budgets' granted totals with them. Lower
// counters change nothing. It returns how many drawn tokens were restored.
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

// MarkReported records that an incarnation has reported what it has seen.
func (s *Shard) MarkReported(incarnation string) {
	if s.Reported == nil {
		s.Reported = map[string]bool{}
	}
	s.Reported[incarnation] = true
}

// Settle allows draws again. The reserves, by the name of an instance that has not reported and by
// budget, stay undrawn, since that instance may hold a draw that no other instance has seen.
func (s *Shard) Settle(reserves map[string]map[string]int64) {
	s.Unsettled, s.Reported = false, nil
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

// reserveDivisor: all reserves together hold at most 1/reserveDivisor of the free tokens.
const reserveDivisor = 2

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
	return free - min(reserved, free/reserveDivisor)
}
