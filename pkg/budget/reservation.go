package budget

// maxParts bounds the lots that one reservation may take tokens from.
const maxParts = 8

// reservationPart is the part of a reservation that is taken from one lot.
type reservationPart struct {
	lot    *lot
	tokens int64
}

// Reservation holds the tokens reserved for one request, until it is settled. Every
// reservation must be settled; settling it again changes nothing.
type Reservation struct {
	budget   string
	parts    [maxParts]reservationPart
	numParts int
	settled  bool
}

// Tokens returns the number of reserved tokens.
func (r *Reservation) Tokens() int64 {
	var tokens int64
	for i := 0; i < r.numParts; i++ {
		tokens += r.parts[i].tokens
	}
	return tokens
}

func (r *Reservation) add(l *lot, tokens int64) {
	if tokens == 0 {
		return
	}
	l.reserved += tokens
	r.parts[r.numParts] = reservationPart{lot: l, tokens: tokens}
	r.numParts++
}

func (r *Reservation) release() {
	for i := 0; i < r.numParts; i++ {
		r.parts[i].lot.reserved -= r.parts[i].tokens
	}
	r.numParts = 0
}
