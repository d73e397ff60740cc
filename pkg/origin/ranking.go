package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is another instance that may hold records.
type Member struct {
	// Name stays the same when the instance restarts.
	Name string
	// Domain is the failure domain, unique among all regions.
	Domain string
	// Address is where the instance answers other instances.
	Address string
}

// rankMembers returns the members that hold copies of a stream's record first, at most count: the first of
// each failure domain, then the second of each, and so on, in the order of rendezvous hashing. Instances
// that know the same members agree on the order; a member that joins or leaves changes it for few records.
func rankMembers(key Key, members []Member, count int) []Member {
	type candidate struct {
		Member
		score uint64
		// round is the number of better candidates in the same failure domain.
		round int
	}
	candidates := make([]candidate, 0, len(members))
	for _, m := range members {
		candidates = append(candidates, candidate{Member: m, score: rendezvousScore(key, m.Name)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	numInDomain := map[string]int{}
	for i := range candidates {
		c := &candidates[i]
		c.round = numInDomain[c.Domain]
		numInDomain[c.Domain]++
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.round, b.round) })
	ranked := make([]Member, 0, count)
	for _, c := range candidates[:min(count, len(candidates))] {
		ranked = append(ranked, c.Member)
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
