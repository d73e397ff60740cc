package forward

import (
	"context"
	"errors"
	"slices"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/placement"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
)

// stepQuarantine is the quarantine's check before anything is sent.
const stepQuarantine = "quarantine"

// refuseCondemned refuses a request that crashed the upstreams that ran it.
func (c *call) refuseCondemned() *Refusal {
	if err := c.f.Quarantine.Refuse(c, c.f.Now()); err != nil {
		return &Refusal{Reason: Quarantined, Step: stepQuarantine, Err: err}
	}
	return nil
}

// beginRun asks the quarantine whether the request may run now; it may have become suspected since
// it arrived.
func (c *call) beginRun() (quarantine.Run, *failure) {
	return quarantined(c.f.Quarantine.Begin(c, c.f.Now()))
}

// beginRunBeside asks the quarantine whether the request may run beside an attempt that is silent.
func (c *call) beginRunBeside() (quarantine.Run, *failure) {
	return quarantined(c.f.Quarantine.BeginBeside(c, c.f.Now()))
}

// quarantined returns a run, or the failure of one that the quarantine refuses.
func quarantined(run quarantine.Run, err error) (quarantine.Run, *failure) {
	if err != nil {
		return run, &failure{step: stepQuarantine, err: err, noRetry: true}
	}
	return run, nil
}

// confirmRun asks the quarantine once more before the request is sent: while the connection was set up, upstreams
// may have ended under equal requests.
func (a *attempt) confirmRun() *failure {
	f := a.c.f
	wasWatched := a.run.IsWatched()
	run, err := a.run.Confirm(f.Now())
	if err != nil && a.gate != nil {
		return &failure{step: stepBeforeSend, peer: a.lease.Address, err: err, neutral: true} // the other attempt goes on
	}
	if err != nil {
		return &failure{step: stepQuarantine, err: err, neutral: true, noRetry: true}
	}
	a.run = run
	if run.IsTrial() && !wasWatched && a.c.processMayHaveEnded(a.lease) {
		return &failure{step: stepBeforeSend, peer: a.lease.Address, err: errEnded, neutral: true}
	}
	return nil
}

// chooseForRun leases an upstream for a run. A request that may crash upstreams is not sent to one whose
// process may have ended, since that process could not be distinguished from the next one at its address. If
// there is no other upstream, a request that is not suspected yet is sent there all the same.
func (c *call) chooseForRun(run quarantine.Run) (*placement.Lease, *failure) {
	tried := c.tried
	lease, failed := c.chooseUpstream()
	for failed == nil && run.IsWatched() && c.processMayHaveEnded(lease) {
		lease.Done(placement.Neutral)
		c.tried = append(slices.Clone(c.tried), lease.ID)
		lease, failed = c.chooseUpstream()
	}
	if failed != nil && !run.IsTrial() && len(c.tried) > len(tried) {
		c.tried = tried
		return c.chooseUpstream()
	}
	return lease, failed
}

func (c *call) processMayHaveEnded(lease *placement.Lease) bool {
	q := c.f.Quarantine
	return q.HasUndecided(lease.Address) || q.HasCrashed(lease.Address, lease.Incarnation())
}

// concludeRun passes what the attempt showed about the request to the quarantine.
func (a *attempt) concludeRun(ctx context.Context, failed *failure) {
	f := a.c.f
	evidence := quarantine.NoEvidence
	switch {
	case failed == nil || failed.answered:
		evidence = quarantine.WholeAnswer
	case failed.connEnded && ctx.Err() == nil:
		evidence = quarantine.ConnectionEnded
	}
	ended := quarantine.Attempt{Evidence: evidence}
	if evidence == quarantine.ConnectionEnded { // the quarantine needs these only for this evidence
		ended.Origin = quarantine.Origin{Account: a.c.accountName(), Route: a.c.route.Name}
		ended.Upstream = quarantine.Upstream{ID: a.lease.ID, Address: a.lease.Address, Incarnation: a.lease.Incarnation()}
	}
	conclusion := a.run.Conclude(ctx, ended, func() bool { return a.probeUpstream(failed) == httpconn.Crashed }, f.Now)
	if conclusion.Cleared {
		f.meters.cleared.Inc(1)
		f.Log.Event(eventlog.RequestCleared, a.c.r.ID, eventlog.Fields{"fingerprint": a.c.Fingerprint().String()})
	}
	if conclusion.Crash != nil {
		a.noteCrash(conclusion.Crash)
	}
}

// probeUpstream finds out whether the upstream crashed or only the connection to it ended.
func (a *attempt) probeUpstream(failed *failure) httpconn.PeerState {
	state := a.c.f.PeerProber.Probe(a.lease.Address)
	a.c.f.Log.Event(eventlog.RequestBrokeOff, a.c.r.ID, eventlog.Fields{
		"state": state, "upstream": a.lease.ID, "address": a.lease.Address, "step": failed.step,
		"fingerprint": a.c.Fingerprint().String(), "route": a.c.route.Name, "account": a.c.accountName(),
		"ran_ms": a.c.f.Now().Sub(a.sentAt).Milliseconds(), "sent": a.number,
		"prompt_parts": a.c.loggedParts(), "events": a.c.numEvents.Load(),
	})
	return state
}

// maxLoggedParts limits the prompt parts listed in one event.
const maxLoggedParts = 8

// loggedParts returns the IDs of the prompt's first parts in hexadecimal, as clients send them.
func (c *call) loggedParts() []string {
	var out []string
	for _, part := range c.r.Prompt[:min(len(c.r.Prompt), maxLoggedParts)] {
		out = append(out, quarantine.Part{ID: part.ID}.Name())
	}
	return out
}

func (a *attempt) noteCrash(record *quarantine.Record) {
	f := a.c.f
	f.meters.crashes.Inc(1)
	f.Log.Event(eventlog.RequestSuspected, a.c.r.ID, eventlog.Fields{
		"fingerprint": record.Fingerprint.String(), "crashes": record.ConsecutiveCrashes(), "upstream": a.lease.ID,
		"condemned": f.Quarantine.StateOf(record.Fingerprint) == quarantine.Condemned,
	})
}

// noteIncarnation tells the quarantine what an answer's head shows about the process that sent it.
func (a *attempt) noteIncarnation(head *AnswerHead) {
	switch {
	case !a.c.f.Quarantine.HasUndecided(a.lease.Address):
	case head.WrongIncarnation:
		a.c.f.Quarantine.NoteGone(a.lease.Address, a.lease.Incarnation(), a.sentAt)
	case head.NotRun || (head.Sealed && head.ID == a.c.r.ID):
		a.c.f.Quarantine.NoteAnswer(a.lease.Address, a.lease.Incarnation(), a.sentAt)
	}
}

// quarantineReason returns the reason for refusing a request that the quarantine does not let run;
// false for other errors.
func quarantineReason(err error) (Reason, bool) {
	switch {
	case errors.Is(err, quarantine.ErrCondemned):
		return Quarantined, true
	case errors.Is(err, quarantine.ErrTrialRuns):
		return Suspected, true
	}
	return "", false
}

// Fingerprint implements quarantine.Request.
func (c *call) Fingerprint() fingerprint.Fingerprint {
	if c.fingerprint == nil {
		fp := fingerprint.Of(c.accountName(), c.r.Host, fingerprint.Content(c.r.Method, c.r.Target, c.r.Body))
		c.fingerprint = &fp
	}
	return *c.fingerprint
}

// Prompt implements quarantine.Request.
func (c *call) Prompt() quarantine.Prompt {
	parts := make([]uint64, 0, len(c.r.Prompt))
	for _, part := range c.r.Prompt {
		parts = append(parts, part.ID)
	}
	return quarantine.NewPrompt(c.accountName(), c.target.Name, c.r.Model, parts)
}

// accountName returns the account's name; empty where no account is needed.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}
