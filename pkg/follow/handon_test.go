package follow

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

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

// halfSilentPeers reach the one who publishes; all others are asked in vain.
type halfSilentPeers struct{ *handingPeers }

func (p *halfSilentPeers) Addresses() []string     { return []string{"silent"} }
func (p *halfSilentPeers) AddressOf(string) string { return "publisher" }
func (p *halfSilentPeers) Rank() int               { return 1 }
func (p *halfSilentPeers) Fetch(
	ctx context.Context, address string, request *followpb.FetchRequest,
) (*followpb.FetchReply, error) {
	if address == "silent" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p.handingPeers.Fetch(ctx, address, request)
}

// Guards against a published change that is not fetched while an earlier question to another instance,
// which a cut has swallowed, waits for its answer.
func TestChangeIsFetchedBesideAQuestionInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, _ := newHanding(nil)
		first.followers["k"].applyList(store.Listing{
			Position: store.At(7), Objects: []store.Object{{Key: "k/main", Position: store.At(7), Value: []byte("7")}},
		})
		_, peers := newHanding(first)
		f := &Follower{Kind: "k", Copy: &newest{}}
		p := NewPublisher("p", map[string]*Follower{"k": f}, &halfSilentPeers{peers}, TimingFor(longestStaleness))
		f.applyList(store.Listing{Position: store.At(2), Objects: []store.Object{{Key: "k/main", Position: store.At(2)}}})
		p.AskAround(t.Context())
		p.Take(&followpb.Confirmation{From: "first", Copies: []*followpb.CopyState{{Name: "k", LastChange: 7}}})
		time.Sleep(longestStaleness / 10)
		if have := f.fresh.upTo(); have != store.At(7) {
			t.Errorf("the copy is at %v", have)
		}
		time.Sleep(fetchTimeout)
	})
}
