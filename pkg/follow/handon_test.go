package follow

import (
	"bytes"
	"context"
	"testing"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// handingPeers reach one other instance.
type handingPeers struct {
	*copyMember
	other *Publisher
	// packed is what it handed on last.
	packed []byte
}

func (p *handingPeers) Fetch(_ context.Context, _ string, request *followpb.FetchRequest) (*followpb.FetchReply, error) {
	reply, err := p.other.HandOn(request)
	p.packed = reply.GetPacked()
	return reply, err
}

func newHanding(other *Publisher) (*Publisher, *handingPeers) {
	peers := &handingPeers{copyMember: &copyMember{fleet: &fleetOfCopies{}}, other: other}
	f := &Follower{Kind: "k", Copy: &newest{}}
	return NewPublisher("p", map[string]*Follower{"k": f}, peers, TimingFor(longestStaleness)), peers
}

// Guards against a large copy that is compressed anew by each instance that hands it on, and against
// one that is sent again and again to who lacks nothing of it.
func TestCopyIsHandedOnAsItCameAndToThoseThatLackIt(t *testing.T) {
	first, _ := newHanding(nil)
	f := first.followers["k"]
	f.applyList(store.Listing{
		Position: store.At(7), Objects: []store.Object{{Key: "k/main", Position: store.At(5), Value: make([]byte, 10_000)}},
	})
	second, fromFirst := newHanding(first)
	third, fromSecond := newHanding(second)
	for _, p := range []*Publisher{second, third} {
		if further, _, err := p.FetchFrom(t.Context(), "k", ""); err != nil || !further {
			t.Fatalf("brought further: %t, %v", further, err)
		}
	}
	if !bytes.Equal(fromFirst.packed, fromSecond.packed) || &fromFirst.packed[0] != &fromSecond.packed[0] {
		t.Error("the copy was compressed anew")
	}
	whole := len(fromFirst.packed)
	if _, _, err := third.FetchFrom(t.Context(), "k", ""); err != nil || len(fromSecond.packed) >= whole {
		t.Errorf("%d bytes were sent to who lacks nothing of %d, %v", len(fromSecond.packed), whole, err)
	}
}
