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

// servingPeers gives access to one other instance.
type servingPeers struct {
	*testInstance
	other *Publisher
	// packed is what that instance served last.
	packed []byte
}

func (p *servingPeers) Fetch(_ context.Context, _ string, request *followpb.FetchRequest) (*followpb.FetchReply, error) {
	reply, err := p.other.HandleFetch(request)
	if request.Name != "" {
		p.packed = reply.GetPacked()
	}
	return reply, err
}

func newServingPublisher(other *Publisher) (*Publisher, *servingPeers) {
	peers := &servingPeers{testInstance: &testInstance{fleet: &testFleet{}}, other: other}
	f := &Follower{Kind: "k", Copy: &versionRecorder{}}
	return NewPublisher("p", map[string]*Follower{"k": f}, peers, TimingFor(maxStaleness)), peers
}

// Guards against a large copy that is compressed again by each instance that serves it, and against
// one that is sent repeatedly to an instance which lacks nothing of it.
func TestCopyIsHandedOnAsItCameAndToThoseThatLackIt(t *testing.T) {
	first, _ := newServingPublisher(nil)
	f := first.followers["k"]
	f.applyList(store.Listing{
		Position: store.At(7), Objects: []store.Object{{Key: "k/main", Position: store.At(5), Value: make([]byte, 10_000)}},
	})
	second, fromFirst := newServingPublisher(first)
	third, fromSecond := newServingPublisher(second)
	for _, p := range []*Publisher{second, third} {
		if advanced, _, err := p.FetchFrom(t.Context(), "k", ""); err != nil || !advanced {
			t.Fatalf("advanced the copy: %t, error: %v", advanced, err)
		}
	}
	if !bytes.Equal(fromFirst.packed, fromSecond.packed) || &fromFirst.packed[0] != &fromSecond.packed[0] {
		t.Error("the copy was compressed again")
	}
	whole := len(fromFirst.packed)
	if _, _, err := third.FetchFrom(t.Context(), "k", ""); err != nil || len(fromSecond.packed) >= whole {
		t.Errorf("%d bytes sent to an instance that lacks nothing, whole copy %d bytes, error: %v", len(fromSecond.packed), whole, err)
	}
}

// halfSilentPeers reaches the publishing instance only; all others never reply.
type halfSilentPeers struct{ *servingPeers }

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
	return p.servingPeers.Fetch(ctx, address, request)
}

// Guards against a published change that is not fetched while an earlier request to another
// instance, lost in a network partition, waits for its reply.
func TestChangeIsFetchedBesideAQuestionInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, _ := newServingPublisher(nil)
		first.followers["k"].applyList(store.Listing{
			Position: store.At(7), Objects: []store.Object{{Key: "k/main", Position: store.At(7), Value: []byte("7")}},
		})
		_, peers := newServingPublisher(first)
		f := &Follower{Kind: "k", Copy: &versionRecorder{}}
		p := NewPublisher("p", map[string]*Follower{"k": f}, &halfSilentPeers{peers}, TimingFor(maxStaleness))
		f.applyList(store.Listing{Position: store.At(2), Objects: []store.Object{{Key: "k/main", Position: store.At(2)}}})
		p.QueryRandomPeer(t.Context())
		p.HandleConfirmation(&followpb.Confirmation{From: "first", Copies: []*followpb.CopyState{{Name: "k", LastChange: 7}}})
		time.Sleep(maxStaleness / 10)
		if have := f.fresh.currentPosition(); have != store.At(7) {
			t.Errorf("the copy is at %v, want 7", have)
		}
		time.Sleep(fetchTimeout)
	})
}
