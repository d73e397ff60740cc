package follow

import (
	"testing"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Guards against a wrong statement of another instance that leaves no trace: an instance that holds
// the object in question must report it, once, and report nothing else.
func TestStatementThatTheCopyContradictsIsReported(t *testing.T) {
	p, _ := newServingPublisher(nil)
	var reported []Contradiction
	p.OnContradiction = func(found Contradiction) { reported = append(reported, found) }
	p.followers["k"].applyList(store.Listing{
		Position: store.At(9), Objects: []store.Object{{Key: "k/main", Position: store.At(7)}},
	})
	state := func(lastChange, version uint64) {
		p.HandleConfirmation(&followpb.Confirmation{
			From: "peer", Copies: []*followpb.CopyState{{Name: "k", LastChange: lastChange, Version: version}},
		})
	}
	state(7, 9) // true
	state(5, 6) // of the time before the object was written
	state(6, 0) // of a sender that does not say up to which version
	state(5, 8)
	state(5, 9)
	want := Contradiction{Copy: "k", Peer: "peer", LastChange: store.At(5), Position: store.At(8), Object: store.At(7)}
	if len(reported) != 1 || reported[0] != want {
		t.Errorf("reported %v, want only %v", reported, want)
	}
}
