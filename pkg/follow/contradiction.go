package follow

import (
	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Contradiction is a statement of another instance about a copy that this instance's copy
// contradicts. An instance that lacks the object takes its copy for complete because of such a
// statement.
type Contradiction struct {
	Copy string
	// Peer is the incarnation that made the statement.
	Peer string
	// LastChange and Position are the statement: nothing changed after LastChange up to Position.
	LastChange, Position store.Position
	// Object is the position of an object that this instance holds, between the two.
	Object store.Position
}

// contradictionIn returns the contradiction between another instance's statement and a copy's
// contents, and whether there is one.
func contradictionIn(from string, f *Follower, state *followpb.CopyState) (Contradiction, bool) {
	found := Contradiction{
		Copy:       state.Name,
		Peer:       from,
		LastChange: lastChangeStated(state),
		Position:   store.Position{Era: store.Era(state.Era), Version: store.Version(state.Version)},
		Object:     f.contents.newestObject(),
	}
	return found, found.LastChange.Before(found.Object) && !found.Position.Before(found.Object)
}

// checkContradiction reports a statement that contradicts this instance's copy, unless it was the
// last one reported.
func (p *Publisher) checkContradiction(from string, f *Follower, state *followpb.CopyState) {
	found, contradicted := contradictionIn(from, f, state)
	if !contradicted || p.OnContradiction == nil {
		return
	}
	p.mu.Lock()
	last := p.lastContradiction[found.Copy]
	p.lastContradiction[found.Copy] = found
	p.mu.Unlock()
	if last.Peer != found.Peer || last.Object != found.Object {
		p.OnContradiction(found)
	}
}
