package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// hookedCopy is a Copy that calls a function before it applies changes.
type hookedCopy struct {
	versionRecorder
	onApply func()
}

func (c *hookedCopy) Apply(changes store.Changes) {
	c.onApply()
	c.versionRecorder.Apply(changes)
}

// capturingPeers gives access to one other instance and captures the confirmations that are sent.
type capturingPeers struct {
	*servingPeers
	sent chan *followpb.Confirmation
}

func (p *capturingPeers) Addresses() []string { return []string{"other"} }

func (p *capturingPeers) Confirm(_ context.Context, _ string, confirmation *followpb.Confirmation) error {
	p.sent <- confirmation
	return nil
}

// newCapturingPublisher returns a publisher of the first rank whose peer is another instance.
func newCapturingPublisher(other *Publisher) (*Publisher, *capturingPeers) {
	_, serving := newServingPublisher(other)
	peers := &capturingPeers{servingPeers: serving, sent: make(chan *followpb.Confirmation, 1)}
	f := &Follower{Kind: "k", Copy: &versionRecorder{}}
	return NewPublisher("p", map[string]*Follower{"k": f}, peers, TimingFor(maxStaleness)), peers
}

// publishNow returns the confirmation that an instance sends now.
func publishNow(t *testing.T, p *Publisher, peers *capturingPeers) *followpb.Confirmation {
	t.Helper()
	confirmation, hasChange := p.confirmation()
	if confirmation == nil {
		t.Fatal("nothing to publish")
	}
	p.publish(t.Context(), confirmation, hasChange)
	return <-peers.sent
}

// mainAt returns a list at a position of an object that was written at another one.
func mainAt(position, written store.Version) store.Listing {
	return store.Listing{
		Position: store.At(position), Objects: []store.Object{{Key: "k/main", Position: store.At(written), Value: []byte("x")}},
	}
}

// changeTo returns the contents of an instance that has just been sent a change of the object.
func changeTo(since, version uint64) *followpb.Contents {
	return &followpb.Contents{
		Since: since, Version: version, LastChange: version, Objects: []*followpb.CopiedObject{{Key: "k/main", Version: version}},
	}
}

// applyBlocked makes an instance apply a change that it has been sent, and returns while it does.
func applyBlocked(f *Follower, change *followpb.Contents) (finish func()) {
	applying, release, applied := make(chan struct{}), make(chan struct{}), make(chan struct{})
	f.Copy = &hookedCopy{onApply: func() {
		close(applying)
		<-release
	}}
	go func() {
		f.ApplyContents(change)
		close(applied)
	}()
	<-applying
	return func() {
		close(release)
		<-applied
	}
}

// confirmed reports whether a copy at a position is complete according to a confirmation.
func confirmed(position store.Version, confirmation *followpb.Confirmation) bool {
	f := &Follower{Kind: "k", Copy: &versionRecorder{}}
	f.applyList(mainAt(position, position))
	state := confirmation.Copies[0]
	return f.Confirm(store.At(store.Version(state.LastChange)), 0)
}

// Guards against an instance that serves an old copy as confirmed: another one was handed a change
// by an instance that was still applying it, together with the position of the change before.
func TestCopyHandedOnWhileItIsAppliedConfirmsNoOlderOne(t *testing.T) {
	first, _ := newServingPublisher(nil)
	first.followers["k"].applyList(mainAt(5, 5))
	finish := applyBlocked(first.followers["k"], changeTo(5, 7))
	second, peers := newCapturingPublisher(first)
	f := second.followers["k"]
	f.applyList(mainAt(5, 5))
	if advanced, _, err := second.FetchFrom(t.Context(), "k", ""); err != nil || !advanced {
		t.Fatalf("advanced the copy: %t, error: %v", advanced, err)
	}
	finish()
	f.applyWatched(store.At(7), store.Changes{Position: store.At(9)})
	if confirmed(5, publishNow(t, second, peers)) {
		t.Error("a copy that lacks the change is confirmed")
	}
}

// Guards against the same mistake in a confirmation: the receiver gets a change that the sender is
// still applying, together with the position of the change before.
func TestChangePublishedWhileItIsAppliedConfirmsNoOlderOne(t *testing.T) {
	first, peers := newCapturingPublisher(nil)
	f := first.followers["k"]
	f.applyList(mainAt(5, 5))
	publishNow(t, first, peers)
	f.applyWatched(store.At(5), store.Changes{
		Position: store.At(6), Changes: []store.Change{{Object: store.Object{Key: "k/main", Position: store.At(6)}}},
	})
	finish := applyBlocked(f, changeTo(6, 8))
	published := publishNow(t, first, peers)
	finish()
	second, peers := newCapturingPublisher(first)
	f = second.followers["k"]
	f.applyList(mainAt(5, 5))
	second.HandleConfirmation(published)
	f.applyWatched(f.fresh.currentPosition(), store.Changes{Position: store.At(9)})
	if confirmed(6, publishNow(t, second, peers)) {
		t.Error("a copy that lacks the change is confirmed")
	}
}

// Guards against the same mistake of an instance of an earlier version, whose statement does not
// cover the objects that it sends.
func TestLastChangeBeforeTheObjectsIsNotTakenOver(t *testing.T) {
	p, peers := newCapturingPublisher(nil)
	f := p.followers["k"]
	f.applyList(mainAt(5, 5))
	change := changeTo(5, 7)
	change.LastChange = 5
	f.ApplyContents(change)
	f.applyWatched(store.At(7), store.Changes{Position: store.At(9)})
	if confirmed(5, publishNow(t, p, peers)) {
		t.Error("a copy that lacks the change is confirmed")
	}
}

// slowPeers delays each reply on its way.
type slowPeers struct {
	*servingPeers
	delay time.Duration
}

func (p *slowPeers) Fetch(ctx context.Context, address string, request *followpb.FetchRequest) (*followpb.FetchReply, error) {
	reply, err := p.servingPeers.Fetch(ctx, address, request)
	pause.For(ctx, p.delay)
	return reply, err
}

// Guards against a copy that counts as confirmed as of now by a reply that was long on its way.
func TestReplyIsAsOldAsItsRequest(t *testing.T) {
	const delay = 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		first, _ := newServingPublisher(nil)
		first.followers["k"].applyList(mainAt(7, 7))
		_, serving := newServingPublisher(first)
		f := &Follower{Kind: "k", Copy: &versionRecorder{}}
		p := NewPublisher("p", map[string]*Follower{"k": f}, &slowPeers{serving, delay}, TimingFor(maxStaleness))
		if _, _, err := p.FetchFrom(t.Context(), "k", ""); err != nil {
			t.Fatal(err)
		}
		if age, _ := f.Age(); age < delay {
			t.Errorf("the copy counts as %v old, the reply took %v", age, delay)
		}
	})
}

// delayedStore is a store whose answers are a while on their way. Watches return nothing when their
// wait is over, or a change halfway through it.
type delayedStore struct {
	store.Store
	delay   time.Duration
	changes []store.Change
}

// List implements store.Watcher.
func (s *delayedStore) List(ctx context.Context, _ string) (store.Listing, error) {
	pause.For(ctx, s.delay)
	return mainAt(7, 7), ctx.Err()
}

// Watch implements store.Watcher.
func (s *delayedStore) Watch(ctx context.Context, _ string, _ store.Position, wait time.Duration) (store.Changes, error) {
	if len(s.changes) > 0 {
		wait /= 2
	}
	pause.For(ctx, wait+s.delay)
	return store.Changes{Position: store.At(8), Changes: s.changes}, ctx.Err()
}

// Guards against a copy that counts as read just now, at this instance and at all that it confirms,
// by an answer of the store that was long on its way.
func TestReadIsAsOldAsTheStoresAnswer(t *testing.T) {
	const delay = 900 * time.Millisecond
	cases := []struct {
		description string
		call        func(ctx context.Context, f *Follower) error
		changes     []store.Change
	}{
		{"list", func(ctx context.Context, f *Follower) error { return f.list(ctx) }, nil},
		{"watch without a wait", func(ctx context.Context, f *Follower) error {
			time.Sleep(maxStaleness)
			return f.watch(ctx, store.At(7))
		}, nil},
		{"watch that waits in vain", func(ctx context.Context, f *Follower) error { return f.watch(ctx, store.At(7)) }, nil},
		{"watch that returns a change", func(ctx context.Context, f *Follower) error { return f.watch(ctx, store.At(7)) },
			[]store.Change{{Object: store.Object{Key: "k/main", Position: store.At(8)}}}},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &delayedStore{changes: c.changes}
				f := &Follower{Store: s, Kind: "k", Copy: &versionRecorder{}}
				if err := f.list(t.Context()); err != nil {
					t.Fatal(err)
				}
				s.delay = delay
				var age time.Duration
				f.OnCallAnswered = func(bool) { _, age, _ = f.LastChange() }
				if err := c.call(t.Context(), f); err != nil {
					t.Fatal(err)
				}
				if age < delay {
					t.Errorf("the copy counts as read %v ago, the answer was on its way for %v", age, delay)
				}
			})
		})
	}
}

// Guards against an object that is used although it was deleted: the publishing instance missed its
// creation and its deletion, and its list of the other objects confirms a copy that has it.
func TestListConfirmsNoCopyWithAnObjectThatCameAndWent(t *testing.T) {
	p, peers := newCapturingPublisher(nil)
	f := p.followers["k"]
	f.applyList(mainAt(102, 102))
	publishNow(t, p, peers)
	f.applyList(mainAt(128, 102)) // an object created at 119 was deleted at 127
	if confirmed(120, publishNow(t, p, peers)) {
		t.Error("a copy of the time between creation and deletion is confirmed")
	}
}

// Guards against a copy that counts as confirmed as of now by a confirmation that was long on its
// way, or whose sender was suspended before it sent it.
func TestConfirmationIsAsOldAsItsReading(t *testing.T) {
	const delay = 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		sender, peers := newCapturingPublisher(nil)
		sender.followers["k"].applyList(mainAt(7, 7))
		receiver, _ := newServingPublisher(sender)
		f := receiver.followers["k"]
		f.applyList(mainAt(7, 7))
		f.fresh.lastRead = time.Time{}
		receiver.HandleConfirmation(publishNow(t, sender, peers))
		time.Sleep(5 * time.Second)
		sender.followers["k"].applyList(mainAt(9, 7))
		held := publishNow(t, sender, peers)
		time.Sleep(delay)
		receiver.HandleConfirmation(held)
		if age, _ := f.Age(); age < delay {
			t.Errorf("the copy counts as confirmed %v ago, the confirmation was on its way for %v", age, delay)
		}
	})
}
