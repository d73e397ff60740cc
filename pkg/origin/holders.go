package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Holder is another instance that may hold records.
type Holder struct {
	// Name stays the same when the instance restarts.
	Name string
	// Domain is the failure domain, unique among all regions.
	Domain string
	// Address is where the instance answers other instances.
	Address string
}

// rankHolders returns the first holders of a stream's record, at most count: the first of each failure
// domain, then the second of each, and so on, in the order of rendezvous hashing. Instances that know
// the same others agree on the order; when an instance joins or leaves, few records change their holders.
func rankHolders(key Key, holders []Holder, count int) []Holder {
	type candidate struct {
		Holder
		score uint64
		// round is the number of better candidates in the same failure domain.
		round int
	}
	candidates := make([]candidate, 0, len(holders))
	for _, h := range holders {
		candidates = append(candidates, candidate{Holder: h, score: rendezvousScore(key, h.Name)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	numInDomain := map[string]int{}
	for i := range candidates {
		c := &candidates[i]
		c.round = numInDomain[c.Domain]
		numInDomain[c.Domain]++
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.round, b.round) })
	ranked := make([]Holder, 0, count)
	for _, c := range candidates[:min(count, len(candidates))] {
		ranked = append(ranked, c.Holder)
	}
	return ranked
}

func rendezvousScore(key Key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(key[:]) // xxhash.Digest never returns an error
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}
