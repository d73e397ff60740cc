package follow

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// HandleConfirmation applies another instance's confirmation.
func (p *Publisher) HandleConfirmation(confirmation *followpb.Confirmation) {
	transit, known, expired := p.transitOf(confirmation, p.clock())
	for _, state := range confirmation.Copies {
		if follower := p.followers[state.Name]; follower != nil {
			p.handleCopyState(confirmation.From, follower, state, transit)
		}
	}
	if known {
		p.confirmStates(confirmation, transit)
	}
	if expired && (known || !p.areConfirmed(confirmation.Copies)) {
		p.startComparison(confirmation)
	}
}

// transitOf returns the longest time that a confirmation may have been on its way, if it was received
// at a time of this instance's clock; known is false if the sender's clock is not known. expired
// reports whether the clocks should be compared (again).
func (p *Publisher) transitOf(confirmation *followpb.Confirmation, receivedAt time.Duration) (transit time.Duration, known, expired bool) {
	if confirmation.MadeAtMs == 0 {
		return 0, true, false
	}
	madeAt := time.Duration(confirmation.MadeAtMs-1) * time.Millisecond
	return p.clocks.transit(confirmation.From, madeAt, receivedAt)
}

// handleCopyState applies what one state in a confirmation says about an outage and about changes.
// The end of an outage is noted first: entries that lapsed in it are kept when they are deleted.
func (p *Publisher) handleCopyState(from string, f *Follower, state *followpb.CopyState, transit time.Duration) {
	if state.SinceOutageMs > 0 {
		f.handleOutageEnd(time.Duration(state.SinceOutageMs-1)*time.Millisecond + transit)
	}
	if state.Changes != nil {
		f.ApplyContents(state.Changes)
	}
	p.checkContradiction(from, f, state)
	lastChange := lastChangeStated(state)
	if !f.fresh.reaches(lastChange) && !f.fresh.currentPosition().IsZero() {
		p.startCatchUp(state.Name, from, lastChange)
	}
}

// startComparison compares this instance's clock with that of a confirmation's sender, and then
// confirms the copies as of the time of that confirmation. While the sender's clock is not known, it
// is not known how long the confirmation was on its way. Clocks are not compared with a sender that
// is not needed, since another one confirms the copies: when a fleet starts, many instances publish
// for a moment.
func (p *Publisher) startComparison(confirmation *followpb.Confirmation) {
	p.startOnce(p.comparing, confirmation.From, func() {
		if p.compareClocks(confirmation.From) {
			transit, _, _ := p.transitOf(confirmation, p.clock())
			p.confirmStates(confirmation, transit)
		}
	})
}

// areConfirmed reports whether all copies that the states are of have been confirmed lately.
func (p *Publisher) areConfirmed(states []*followpb.CopyState) bool {
	for _, state := range states {
		follower := p.followers[state.Name]
		if follower != nil && !follower.fresh.confirmedWithin(p.timing.WatchTimeout) {
			return false
		}
	}
	return true
}

// confirmStates confirms the copies as of the time of a confirmation that was on its way for a time.
func (p *Publisher) confirmStates(confirmation *followpb.Confirmation, transit time.Duration) {
	for _, state := range confirmation.Copies {
		if follower := p.followers[state.Name]; follower != nil {
			follower.Confirm(lastChangeStated(state), time.Duration(state.AgeMs)*time.Millisecond+transit)
		}
	}
}

// lastChangeStated returns the position of the last change that a state confirms.
func lastChangeStated(state *followpb.CopyState) store.Position {
	return store.Position{Era: store.Era(state.Era), Version: store.Version(state.LastChange)}
}

// compareClocks compares this instance's clock with that of another incarnation, and reports whether
// that one answered.
func (p *Publisher) compareClocks(incarnation string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	requestedAt := p.clock()
	reply, err := p.peers.Fetch(ctx, p.peers.AddressOf(incarnation), &followpb.FetchRequest{})
	if err != nil || reply.GetFrom() != incarnation {
		return false // the next confirmation compares again
	}
	p.clocks.compare(incarnation, time.Duration(reply.ClockMs-1)*time.Millisecond, requestedAt, p.clock())
	return true
}
