package member

import "github.com/lavenderring/lavenderring/pkg/member/memberpb"

// views is what is derived from a table's entries. It is kept until one of them changes: it is asked for
// with each request, and several times a second by the copies.
type views struct {
	live   []*memberpb.Member
	ranks  map[string]int
	ranked map[rankedQuery][]*memberpb.Member
}

// rankedQuery is what a ranking is asked for.
type rankedQuery struct {
	key          string
	most, within int
}

// changed forgets what was derived from the entries; t.mu is held.
func (t *Table) changed() {
	t.hashed = false
	t.views = views{}
}

// keepsViews reports whether views hold until an entry changes: not where a member is silent as
// soon as some time has passed.
func (t *Table) keepsViews() bool { return t.bound == 0 }
