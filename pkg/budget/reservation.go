package budget

// maxParts bounds the lots that one reservation may take tokens from.
const maxParts = 8

// part is a reservation's share of one lot.
type part struct {
	lot    *lot
	tokens int64
}

// Reservation sets tokens aside for one request. It must be settled exactly
// once; settling again changes nothing.
type Reservation struct {
	budget string
	parts  [maxParts]part
	count  int
	done   bool
}

// Tokens returns how many tokens are set aside.
func (r *Reservation) Tokens() int64 {
	var tokens int64
	for i := 0; i < r.count; i++ {
		tokens += r.parts[i].tokens
	}
	return tokens
}

func (r *Reservation) add(l *lot, tokens int64) {
	if tokens == 0 {
		return
	}
	l.reserved += tokens
	r.parts[r.count] = part{lot: l, tokens: tokens}
	r.count++
}

func (r *Reservation) release() {
	for i := 0; i < r.count; i++ {
		r.parts[i].lot.reserved -= r.parts[i].tokens
	}
	r.count = 0
}
