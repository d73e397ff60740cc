package member

import "github.com/lavenderring/lavenderring/pkg/member/memberpb"

// viewCache caches lists and ranks that are derived from a table's entries, until an entry changes. They
// are needed for each request, and several times a second by the copies of the store.
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

// invalidateCache discards the table's hash and the cached lists and ranks; t.mu is held.
func (t *Table) invalidateCache() {
	t.hashValid = false
	t.cache = viewCache{}
}

// canCache reports whether cached results stay valid until an entry changes. They do not if members
// become silent by the mere passing of time.
func (t *Table) canCache() bool { return t.silenceTimeout == 0 }
