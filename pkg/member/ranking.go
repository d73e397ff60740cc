package member

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

// rendezvousScore returns the score of a member for a key. The member with the highest score wins
// (rendezvous hashing), so that a member that joins or leaves moves only the keys that it wins.
func rendezvousScore(key string, m *memberpb.Member) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(m.Name)
	return digest.Sum64()
}

// WinnersByDomain returns, for a key, the winning live member of each failure domain: first that of
// this instance's own domain, then those of its region, then the others.
func (t *Table) WinnersByDomain(key string) []*memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := map[string]*memberpb.Member{}
	for _, m := range t.live() {
		domain := m.Region + "/" + m.Domain
		if best[domain] == nil || rendezvousScore(key, m) > rendezvousScore(key, best[domain]) {
			best[domain] = m
		}
	}
	winners := make([]*memberpb.Member, 0, len(best))
	for _, m := range best {
		winners = append(winners, m)
	}
	sort.Slice(winners, func(i, j int) bool {
		a, b := t.distance(winners[i]), t.distance(winners[j])
		if a != b {
			return a < b
		}
		return rendezvousScore(key, winners[i]) > rendezvousScore(key, winners[j])
	})
	return winners
}

// Distances between instances, the closest first.
const (
	sameDomain = iota
	sameRegion
	otherRegion
)

func (t *Table) distance(m *memberpb.Member) int {
	switch {
	case m.Region == t.identity.Region && m.Domain == t.identity.Domain:
		return sameDomain
	case m.Region == t.identity.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// WinnersInOtherRegions returns, for a key, the winning live member of each other region.
func (t *Table) WinnersInOtherRegions(key string) []*memberpb.Member {
	best := map[string]*memberpb.Member{}
	for _, m := range t.Live() {
		if t.distance(m) < otherRegion {
			continue
		}
		if best[m.Region] == nil || rendezvousScore(key, m) > rendezvousScore(key, best[m.Region]) {
			best[m.Region] = m
		}
	}
	winners := make([]*memberpb.Member, 0, len(best))
	for _, m := range best {
		winners = append(winners, m)
	}
	return winners
}

// maxRankedSilence is how long a member may be silent and still be ranked. After a network failure
// of the whole fleet the instances have last heard from each other at different times; if silent
// members lost their rank as early as in Live, the instances would disagree on the order, each
// ranking itself first.
const maxRankedSilence = 30 * time.Second

// RankedInRegion returns up to maxMembers members of this instance's region, ordered by their score
// for a key. Some may be silent: callers skip those that do not answer.
func (t *Table) RankedInRegion(key string, maxMembers int) []*memberpb.Member {
	return t.rankedWithin(key, maxMembers, sameRegion)
}

// RankedInDomain is like RankedInRegion for this instance's failure domain.
func (t *Table) RankedInDomain(key string, maxMembers int) []*memberpb.Member {
	return t.rankedWithin(key, maxMembers, sameDomain)
}

// candidate is a member with its score for a key.
type candidate struct {
	member *memberpb.Member
	score  uint64
}

func (t *Table) rankedWithin(key string, maxMembers, maxDistance int) []*memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	query := rankedQuery{key, maxMembers, maxDistance}
	if ranked, kept := t.cache.ranked[query]; kept && t.canCache() {
		return slices.Clone(ranked)
	}
	candidates := make([]candidate, 0, len(t.entries))
	for incarnation, e := range t.entries {
		replaced := t.byName[e.member.Name] != incarnation
		if replaced || e.member.Leaving || t.distance(e.member) > maxDistance {
			continue
		}
		if incarnation == t.identity.Incarnation || t.isRanked(e) {
			candidates = append(candidates, candidate{e.member, e.score(key)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]*memberpb.Member, 0, maxMembers)
	for _, c := range candidates[:min(maxMembers, len(candidates))] {
		ranked = append(ranked, c.member)
	}
	if t.cache.ranked == nil {
		t.cache.ranked = map[rankedQuery][]*memberpb.Member{}
	}
	t.cache.ranked[query] = ranked
	return slices.Clone(ranked)
}

// score returns the member's score for a key. It is cached, since ranks are computed many times a
// second; the table's mu is held.
func (e *entry) score(key string) uint64 {
	if known, ok := e.scores[key]; ok {
		return known
	}
	if e.scores == nil {
		e.scores = map[string]uint64{}
	}
	e.scores[key] = rendezvousScore(key, e.member)
	return e.scores[key]
}

// isRanked reports whether a member takes part in rankings. With a silence timeout, a member still does
// until it has sent no message for maxRankedSilence. Where silence is a disseminated state, a member
// that is declared silent is excluded at once: a network failure of the whole fleet does not make
// instances declare each other silent.
func (t *Table) isRanked(e *entry) bool {
	if t.silenceTimeout == 0 {
		return !t.isDeclaredSilent(e)
	}
	return t.now().Sub(e.lastHeard) <= maxRankedSilence
}

// RankInRegion returns how many live members of this instance's region have a higher score for a
// key than this instance. Members that leave or are silent do not count. Instances with different
// tables may disagree briefly.
func (t *Table) RankInRegion(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rank, kept := t.cache.ranks[key]; kept && t.canCache() {
		return rank
	}
	own := t.entries[t.identity.Incarnation].score(key)
	rank := 0
	for incarnation, e := range t.entries {
		if e.score(key) > own && !e.member.Leaving && t.distance(e.member) <= sameRegion && !t.silent(incarnation) {
			rank++
		}
	}
	if t.cache.ranks == nil {
		t.cache.ranks = map[string]int{}
	}
	t.cache.ranks[key] = rank
	return rank
}

// OthersInRegion returns the live members of this instance's region except this instance.
func (t *Table) OthersInRegion() []*memberpb.Member {
	return slices.DeleteFunc(t.Others(), func(m *memberpb.Member) bool {
		return t.distance(m) > sameRegion
	})
}

// Partner returns the incarnation of the live member that should store this instance's records for a
// key. The member is in another failure domain, preferably of the same region, and is never the
// incarnation except. Partner returns an empty string if there is no such member.
func (t *Table) Partner(key, except string) string {
	for _, m := range t.WinnersByDomain(key + t.identity.Name) {
		if t.distance(m) > 0 && m.Incarnation != except {
			return m.Incarnation
		}
	}
	return ""
}
