package forward

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
	"github.com/lavenderring/lavenderring/pkg/routing"
)

// fixedProber finds every upstream in the same state.
type fixedProber httpconn.PeerState

// Probe implements PeerProber.
func (p fixedProber) Probe(string) httpconn.PeerState { return httpconn.PeerState(p) }

// equalRequest is the request of serveSilent, as the quarantine sees it.
type equalRequest struct{}

// Prompt implements quarantine.Request.
func (equalRequest) Prompt() quarantine.Prompt { return quarantine.Prompt{} }

// Fingerprint implements quarantine.Request.
func (equalRequest) Fingerprint() fingerprint.Fingerprint {
	return fingerprint.Of("", "h", fingerprint.Content("POST", "/", nil))
}

// Guards against a request that ends the upstreams which run it and runs at several of them at the same time: it
// gets no further attempt beside a silent one once an upstream has ended under it, or may have.
func TestWatchedRequestGetsNoAttemptBesideASilentOne(t *testing.T) {
	for _, state := range []httpconn.PeerState{httpconn.Crashed, httpconn.Answering} {
		for _, pauseBefore := range []int{0, 3} {
			t.Run(fmt.Sprintf("upstream %s, silent before event %d", state, pauseBefore), func(t *testing.T) {
				t.Parallel()
				others := []*silentUpstream{{}, {}, {}} // each breaks off at once
				numServed := func() (served int32) {
					for _, u := range others {
						served += u.served.Load()
					}
					return served
				}
				first := &silentUpstream{pauseBefore: pauseBefore, pause: silentTimeout / 2, until: someTimeAfter(numServed), breakAfter: -1}
				f := silentForwarder(t, routing.Stream, silentTimeout, manyRetries, first, others...)
				f.PeerProber = fixedProber(state)
				client, served := serveSilent(f, "1"), numServed()
				if !client.isWhole() || served != 1 {
					t.Errorf("sent to %d others beside the first, want 1; whole %t, refusal %v", served, client.isWhole(), client.refusal)
				}
			})
		}
	}
}

// someTimeAfter returns a function that reports whether a count was above zero some time ago.
func someTimeAfter(count func() int32) func() bool {
	var since time.Time
	return func() bool {
		if count() > 0 && since.IsZero() {
			since = time.Now()
		}
		return !since.IsZero() && time.Since(since) > silentFor
	}
}

// Guards against a request that runs at a silent upstream and at another one although its record has an ending
// that is undecided: one by another client or at another instance.
func TestEndingElsewhereKeepsARequestAtItsSilentUpstream(t *testing.T) {
	first, second := &silentUpstream{pause: silentFor, breakAfter: -1}, soundUpstream()
	f := silentForwarder(t, routing.Stream, silentTimeout, manyRetries, first, second)
	run, err := f.Quarantine.Begin(equalRequest{}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	run.NoteConnectionEnd(quarantine.Origin{}, quarantine.Upstream{ID: "u", Address: "at u", Incarnation: "u"}, time.Now())
	client := serveSilent(f, "1")
	if !client.isWhole() || second.served.Load() != 0 {
		t.Errorf("sent elsewhere %d times, want none; whole %t, refusal %v", second.served.Load(), client.isWhole(), client.refusal)
	}
}

// Guards against a request that is sent although, while its connection was set up, it was condemned or the one
// trial of it began at another instance.
func TestRequestThatBecameSuspectedIsNotSent(t *testing.T) {
	u := soundUpstream()
	f := silentForwarder(t, routing.Stream, silentTimeout, manyRetries, u)
	dialWith(f, func(ctx context.Context, to string) (net.Conn, error) {
		run, err := f.Quarantine.Begin(equalRequest{}, time.Now())
		if err != nil {
			t.Error(err)
			return nil, err
		}
		crash := run.NoteCrash(quarantine.Origin{}, quarantine.Upstream{ID: "u", Address: "at u", Incarnation: "u"}, time.Now())
		crash.Judge()
		if _, err := f.Quarantine.Begin(equalRequest{}, time.Now()); err != nil {
			t.Error(err)
		}
		return httpconn.DialTCP(ctx, to)
	})
	client := serveSilent(f, "1")
	if client.refusal == nil || client.refusal.Reason != Suspected || u.served.Load() != 0 {
		t.Errorf("sent %d times, refusal %+v; want none, suspected", u.served.Load(), client.refusal)
	}
}

// Guards against an attempt beside a silent one that is sent after an upstream ended under an equal request.
func TestHedgeIsNotSentAfterAnEnding(t *testing.T) {
	first, second := &silentUpstream{pause: silentFor, breakAfter: -1}, soundUpstream()
	f := silentForwarder(t, routing.Stream, silentTimeout, manyRetries, first, second)
	dialWith(f, func(ctx context.Context, to string) (net.Conn, error) {
		if to == second.address {
			run, err := f.Quarantine.Begin(equalRequest{}, time.Now())
			if err == nil {
				run.NoteConnectionEnd(quarantine.Origin{}, quarantine.Upstream{ID: "u", Address: "at u", Incarnation: "u"}, time.Now())
			}
		}
		return httpconn.DialTCP(ctx, to)
	})
	client := serveSilent(f, "1")
	if !client.isWhole() || second.served.Load() != 0 {
		t.Errorf("sent elsewhere %d times, want none; whole %t, refusal %v", second.served.Load(), client.isWhole(), client.refusal)
	}
}
