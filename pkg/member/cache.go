package member

import "github.com/lavenderring/lavenderring/pkg/member/memberpb"

// viewCache caches what is derived from a table's entries until one of them changes. Callers need it
// for each request, and the copies of the store several times a second.
type viewCache struct {
	live   []*memberpb.Member
	ranks  map[string]int
	ranked map[rankedQuery][]*memberpb.Member
}

// rankedQuery holds the parameters of a ranking.
type rankedQuery struct {
	key                     string
	maxMembers, maxDistance int
}

// invalidateCache discards what was derived from the entries; t.mu is held.
func (t *Table) invalidateCache() {
	t.hashValid = false
	t.cache = viewCache{}
}

// canCache reports whether cached results stay valid until an entry changes. They do not if members
// become silent by the mere passing of time.
func (t *Table) canCache() bool { return t.silenceTimeout == 0 }
