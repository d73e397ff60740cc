package member

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
)

// score ranks members for a key; the highest wins (rendezvous hashing), so that
// a member's coming or going moves only what it wins itself.
func score(key string, m *memberpb.Member) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(m.Name)
	return digest.Sum64()
}

// WinnersByDomain returns, for a key, the winning live member of each failure
// domain, this instance's own domain first, then its region, then the others.
func (t *Table) WinnersByDomain(key string) []*memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := map[string]*memberpb.Member{}
	for _, m := range t.live() {
		place := m.Region + "/" + m.Domain
		if best[place] == nil || score(key, m) > score(key, best[place]) {
			best[place] = m
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
		return score(key, winners[i]) > score(key, winners[j])
	})
	return winners
}

// Distances between instances.
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

// WinnersElsewhere returns, for a key, the winning live member of each other region.
func (t *Table) WinnersElsewhere(key string) []*memberpb.Member {
	best := map[string]*memberpb.Member{}
	for _, m := range t.Live() {
		if t.distance(m) < otherRegion {
			continue
		}
		if best[m.Region] == nil || score(key, m) > score(key, best[m.Region]) {
			best[m.Region] = m
		}
	}
	winners := make([]*memberpb.Member, 0, len(best))
	for _, m := range best {
		winners = append(winners, m)
	}
	return winners
}

// rankedSilence is how long a member may be silent and still be ranked. After a cut
// of a whole fleet each instance has heard of others for a different time; if silence
// counted as soon as in Live, they would disagree on the order, each naming itself.
const rankedSilence = 30 * time.Second

// RankedInRegion returns the members of the own region in a key's order, at most so many.
// Some may be silent: whoever asks them passes those over that do not answer.
func (t *Table) RankedInRegion(key string, most int) []*memberpb.Member {
	return t.ranked(key, most, sameRegion)
}

// RankedInDomain is RankedInRegion for the own failure domain.
func (t *Table) RankedInDomain(key string, most int) []*memberpb.Member {
	return t.ranked(key, most, sameDomain)
}

// candidate is a member with its score for a key.
type candidate struct {
	member *memberpb.Member
	score  uint64
}

func (t *Table) ranked(key string, most, within int) []*memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	query := rankedQuery{key, most, within}
	if ranked, kept := t.views.ranked[query]; kept && t.keepsViews() {
		return slices.Clone(ranked)
	}
	candidates := make([]candidate, 0, len(t.entries))
	for incarnation, e := range t.entries {
		replaced := t.byName[e.member.Name] != incarnation
		if replaced || e.member.Leaving || t.distance(e.member) > within {
			continue
		}
		if incarnation == t.identity.Incarnation || t.stillRanked(e) {
			candidates = append(candidates, candidate{e.member, e.score(key)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]*memberpb.Member, 0, most)
	for _, c := range candidates[:min(most, len(candidates))] {
		ranked = append(ranked, c.member)
	}
	if t.views.ranked == nil {
		t.views.ranked = map[rankedQuery][]*memberpb.Member{}
	}
	t.views.ranked[query] = ranked
	return slices.Clone(ranked)
}

// score is the member's score for a key. It is kept, since ranks are asked for many times a second. The
// table's lock is held.
func (e *entry) score(key string) uint64 {
	if known, ok := e.scores[key]; ok {
		return known
	}
	if e.scores == nil {
		e.scores = map[string]uint64{}
	}
	e.scores[key] = score(key, e.member)
	return e.scores[key]
}

// stillRanked reports whether a member keeps its place though it may be silent. Members that
// all take for silent need no such time: a cut makes nobody say so.
func (t *Table) stillRanked(e *entry) bool {
	if t.bound == 0 {
		return !t.statedSilent(e)
	}
	return t.now().Sub(e.heard) <= rankedSilence
}

// RankInRegion returns how many live members of the own region come before this instance
// in a key's order; a member that leaves, or has just gone silent, is none. Instances that
// know different members may disagree for a moment.
func (t *Table) RankInRegion(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rank, kept := t.views.ranks[key]; kept && t.keepsViews() {
		return rank
	}
	own := t.entries[t.identity.Incarnation].score(key)
	rank := 0
	for incarnation, e := range t.entries {
		if e.score(key) > own && !e.member.Leaving && t.distance(e.member) <= sameRegion && !t.silent(incarnation) {
			rank++
		}
	}
	if t.views.ranks == nil {
		t.views.ranks = map[string]int{}
	}
	t.views.ranks[key] = rank
	return rank
}

// OthersInRegion returns the live members of the own region but for this one.
func (t *Table) OthersInRegion() []*memberpb.Member {
	return slices.DeleteFunc(t.Others(), func(m *memberpb.Member) bool {
		return t.distance(m) > sameRegion
	})
}

// Partner returns the live member of another failure domain that this instance
// should trust its records to, the same region first, other than the incarnation
// named; empty if there is none.
func (t *Table) Partner(key, except string) string {
	for _, m := range t.WinnersByDomain(key + t.identity.Name) {
		if t.distance(m) > 0 && m.Incarnation != except {
			return m.Incarnation
		}
	}
	return ""
}
