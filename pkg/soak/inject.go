package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/standin/relay"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// Parameters of single faults.
const (
	// relayDelayMillis delays each chunk that a relay forwards, storeDelayMillis each call
	// to the store.
	relayDelayMillis, storeDelayMillis = 150, 300
	// numFaultyAnswers is how many of an upstream's next answers are faulty, numFaultyWrites
	// how many of the store's next writes are. lateWriteMillis is the delay of late writes.
	numFaultyAnswers, numFaultyWrites = 12, 4
	lateWriteMillis                   = 900
	// drainDuration is how long an upstream serves after it was announced as leaving or its
	// domain was emptied; after that, no new request may reach it.
	drainDuration = 2500 * time.Millisecond
	// lingerDuration is how long a leaving upstream runs after its entry was withdrawn.
	lingerDuration = time.Second
)

// inject starts a fault and ends it after its duration; it returns when the fault is over.
func (r *runner) inject(ctx context.Context, f Fault) {
	if r.injectInstanceFault(ctx, f, r.fleet.instances[f.Target%len(r.fleet.instances)]) {
		return
	}
	if r.injectUpstreamFault(ctx, f) {
		return
	}
	r.injectStoreFault(ctx, f)
}

// setRelayFaultsFor sets a relay's faults for a duration.
func setRelayFaultsFor(ctx context.Context, link *relay.Relay, faults relay.Faults, duration time.Duration) {
	link.SetFaults(faults)
	pause.For(ctx, duration)
	link.SetFaults(relay.Faults{})
}

// injectInstanceFault injects a fault of an instance; it returns false for other kinds.
func (r *runner) injectInstanceFault(ctx context.Context, f Fault, i *instance) bool {
	setFaults := func(l *relay.Relay, faults relay.Faults) { setRelayFaultsFor(ctx, l, faults, f.Duration) }
	switch f.Kind {
	case Kill:
		r.restart(i, func() { i.signal(syscall.SIGKILL) }, f.Duration/2)
	case KillAll:
		r.restartAll(f.Duration / 2)
	case Pause:
		i.signal(syscall.SIGSTOP)
		pause.For(ctx, f.Duration)
		i.signal(syscall.SIGCONT)
	case Stop:
		r.restart(i, func() { i.signal(syscall.SIGTERM) }, 0)
	case Reload:
		i.signal(syscall.SIGHUP)
	case StoreReset:
		setFaults(i.storeRelay, relay.Faults{Cut: true})
	case StoreSilence:
		i.storeRelay.SetFaults(relay.Faults{Freeze: true})
		i.storeRelay.SetFaults(relay.Faults{})
	case StoreHold:
		setFaults(i.storeRelay, relay.Faults{Hold: true})
	case StoreDelay:
		setFaults(i.storeRelay, relay.Faults{DelayMillis: relayDelayMillis})
	case ClientReset:
		i.clientRelay.SetFaults(relay.Faults{Cut: true})
		i.clientRelay.SetFaults(relay.Faults{})
	default:
		return false
	}
	return true
}

// restart ends an instance's process by calling stop and starts it again after a delay. It sends
// SIGCONT first, because a paused process does not act on SIGTERM.
func (r *runner) restart(i *instance, stop func(), delay time.Duration) {
	i.restartMu.Lock()
	defer i.restartMu.Unlock()
	i.signal(syscall.SIGCONT)
	stop()
	i.wait(stopTimeout)
	time.Sleep(delay)
	if err := i.start(); err != nil {
		r.reportViolation("a process did not start again: %v", err)
	}
}

// restartAll kills all instances at once and restarts them together: none can fetch its copies
// from another, and all need the store.
func (r *runner) restartAll(delay time.Duration) {
	var restarting sync.WaitGroup
	for _, i := range r.fleet.instances {
		restarting.Go(func() { r.restart(i, func() { i.signal(syscall.SIGKILL) }, delay) })
	}
	restarting.Wait()
}

// injectUpstreamFault injects a fault of an upstream; it returns false for other kinds.
func (r *runner) injectUpstreamFault(ctx context.Context, f Fault) bool {
	u := r.fleet.upstreamAt(f.Target)
	setRelayFaults := func(faults relay.Faults) { setRelayFaultsFor(ctx, u.relay, faults, f.Duration) }
	setAnswerFaults := func(faults standin.UpstreamFaults) {
		faults.Delay, faults.Fatal = answerDelay, crashMarker
		u.SetFaults(faults)
		pause.For(ctx, f.Duration)
		u.SetFaults(standin.UpstreamFaults{Delay: answerDelay, Fatal: crashMarker})
	}
	switch f.Kind {
	case UpstreamReset:
		setRelayFaults(relay.Faults{Cut: true})
	case UpstreamSilence:
		u.relay.SetFaults(relay.Faults{Freeze: true})
		u.relay.SetFaults(relay.Faults{})
	case UpstreamHold:
		setRelayFaults(relay.Faults{Hold: true})
	case UpstreamDelay:
		setRelayFaults(relay.Faults{DelayMillis: relayDelayMillis})
	case UpstreamPause:
		setRelayFaults(relay.Faults{Hold: true})
	case AnswersEndless:
		setAnswerFaults(endlessAnswers(f.Target))
	case AnswersLost:
		setAnswerFaults(standin.UpstreamFaults{Drop: numFaultyAnswers})
	case AnswersRefused:
		setAnswerFaults(standin.UpstreamFaults{Refuse: numFaultyAnswers})
	case AnswersFailed:
		setAnswerFaults(standin.UpstreamFaults{Fail: numFaultyAnswers})
	case AnswersCrossed:
		setAnswerFaults(standin.UpstreamFaults{WrongID: numFaultyAnswers})
	case AnswersExtra:
		setAnswerFaults(standin.UpstreamFaults{Extra: numFaultyAnswers})
	case StreamsCut:
		setAnswerFaults(standin.UpstreamFaults{CutAfter: streamEvents / 2})
	case Replaced:
		r.replaceUpstream(ctx, f)
	default:
		return false
	}
	return true
}

// replaceUpstream starts a new upstream and takes an old one out of service as planned. No new
// request may reach the old one after it has been announced as leaving for drainDuration, unless
// a failure kept instances from receiving the announcement.
func (r *runner) replaceUpstream(ctx context.Context, f Fault) {
	u := r.fleet.removeUpstream(f.Target)
	if u == nil {
		return
	}
	if err := r.fleet.addUpstream(u.service, u.domain); err != nil {
		r.reportViolation("replace upstream %s: %v", u.ID, err)
		return
	}
	announced := time.Now()
	r.fleet.setLeaving(u, true)
	r.fleet.store.Announce(u.Upstream, u.service, u.domain, u.relayAddress, true)
	pause.For(ctx, drainDuration)
	before := len(u.Runs())
	r.fleet.setLeaving(u, false)
	r.fleet.store.Withdraw(u.Upstream)
	pause.For(ctx, lingerDuration)
	if late := len(u.Runs()) - before; late > 0 && !r.failureBetween(announced.Add(-faultEffectDuration), time.Now()) {
		r.reportViolation("%d requests reached %s after it had left", late, u.ID)
	}
	u.relay.SetFaults(relay.Faults{Cut: true})
}

// injectStoreFault injects a fault of the store, or a change of the configuration.
func (r *runner) injectStoreFault(ctx context.Context, f Fault) {
	faults := standin.Faults{}
	switch f.Kind {
	case Outage:
		faults.Outage = true
	case Throttle:
		faults.Throttle = true
	case Slow:
		faults.SlowMillis = storeDelayMillis
	case WritesLost:
		faults.LoseAnswers = numFaultyWrites
	case WritesLate:
		faults.LateWrites, faults.LateMillis = numFaultyWrites, lateWriteMillis
	case WatchesLost:
		faults.LoseWatches = true
	case StoreRollback:
		r.rollBackStore(f)
		return
	case HistoryGone:
		r.fleet.store.CompactHistory()
		return
	case Change:
		if err := r.fleet.operator.change(); err != nil {
			r.reportViolation("write a configuration change: %v", err)
		}
		return
	}
	r.fleet.store.SetFaults(faults)
	pause.For(ctx, f.Duration)
	r.fleet.store.SetFaults(standin.Faults{})
}
