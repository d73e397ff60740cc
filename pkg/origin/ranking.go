package origin

import "github.com/cespare/xxhash/v2"

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
	candidates := newCandidates(key, members)
	ranked := make([]Member, 0, min(count, len(members)))
	for len(ranked) < cap(ranked) {
		best := nextCandidate(candidates)
		best.ranked = true
		*best.numInDomain++
		ranked = append(ranked, members[best.member])
	}
	return ranked
}

// candidate is a member while the members are ranked.
type candidate struct {
	member int
	score  uint64
	ranked bool
	// numInDomain is the number of ranked members in the candidate's failure domain; the candidates of a
	// domain share it.
	numInDomain *int
}

func newCandidates(key Key, members []Member) []candidate {
	numInDomain := map[string]*int{}
	candidates := make([]candidate, 0, len(members))
	for n, m := range members {
		if numInDomain[m.Domain] == nil {
			numInDomain[m.Domain] = new(int)
		}
		candidates = append(candidates, candidate{member: n, score: rendezvousScore(key, m.Name), numInDomain: numInDomain[m.Domain]})
	}
	return candidates
}

// nextCandidate returns the candidate with the highest score among those of the failure domains of which
// the fewest members are ranked. One candidate at least must not be ranked yet.
func nextCandidate(candidates []candidate) *candidate {
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.ranked:
		case best == nil || *c.numInDomain < *best.numInDomain:
			best = c
		case *c.numInDomain == *best.numInDomain && c.score > best.score:
			best = c
		}
	}
	return best
}

func rendezvousScore(key Key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(key[:]) // xxhash.Digest never returns an error
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}
