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

// Figures of single faults.
const (
	// delayMillis delays each piece that a relay passes on; slowMillis each call of the
	// store.
	delayMillis, slowMillis = 150, 300
	// struckAnswers is how many of an upstream's next answers go wrong, struckWrites how
	// many of the store's next writes.
	struckAnswers, struckWrites = 12, 4
	lateMillis                  = 900
	// drainTime is how long an upstream serves after it is marked as leaving; after it
	// nothing new may reach it.
	drainTime = 2500 * time.Millisecond
	// lingerTime is how long it stays after its entry is gone.
	lingerTime = time.Second
)

// strike lets one fault happen and ends it; it returns when the fault is over.
func (r *run) strike(ctx context.Context, f Fault) {
	if r.strikeInstance(ctx, f, r.fleet.instances[f.Target%len(r.fleet.instances)]) {
		return
	}
	if r.strikeUpstream(ctx, f) {
		return
	}
	r.strikeStore(ctx, f)
}

// disturb sets a relay's faults for a time.
func disturb(ctx context.Context, l *relay.Relay, faults relay.Faults, lasts time.Duration) {
	l.SetFaults(faults)
	pause.For(ctx, lasts)
	l.SetFaults(relay.Faults{})
}

// strikeInstance reports whether the fault is one of an instance.
func (r *run) strikeInstance(ctx context.Context, f Fault, i *instance) bool {
	link := func(l *relay.Relay, faults relay.Faults) { disturb(ctx, l, faults, f.For) }
	switch f.Kind {
	case Kill:
		r.restart(i, func() { i.signal(syscall.SIGKILL) }, f.For/2)
	case KillAll:
		r.restartAll(f.For / 2)
	case Pause:
		i.signal(syscall.SIGSTOP)
		pause.For(ctx, f.For)
		i.signal(syscall.SIGCONT)
	case Stop:
		r.restart(i, func() { i.signal(syscall.SIGTERM) }, 0)
	case Reload:
		i.signal(syscall.SIGHUP)
	case StoreReset:
		link(i.toStore, relay.Faults{Cut: true})
	case StoreSilence:
		i.toStore.SetFaults(relay.Faults{Freeze: true})
		i.toStore.SetFaults(relay.Faults{})
	case StoreHold:
		link(i.toStore, relay.Faults{Hold: true})
	case StoreDelay:
		link(i.toStore, relay.Faults{DelayMillis: delayMillis})
	case ClientReset:
		i.toClients.SetFaults(relay.Faults{Cut: true})
		i.toClients.SetFaults(relay.Faults{})
	default:
		return false
	}
	return true
}

// restart ends a process in a way and starts it again. A paused one is woken first, or
// it could not end.
func (r *run) restart(i *instance, end func(), after time.Duration) {
	i.restarting.Lock()
	defer i.restarting.Unlock()
	i.signal(syscall.SIGCONT)
	end()
	i.wait(grace)
	time.Sleep(after)
	if err := i.start(); err != nil {
		r.violate("a process did not start again: %v", err)
	}
}

// restartAll kills all instances at once and starts them again together: they know nobody, and
// all need the store.
func (r *run) restartAll(after time.Duration) {
	var restarting sync.WaitGroup
	for _, i := range r.fleet.instances {
		restarting.Go(func() { r.restart(i, func() { i.signal(syscall.SIGKILL) }, after) })
	}
	restarting.Wait()
}

// strikeUpstream reports whether the fault is one of an upstream.
func (r *run) strikeUpstream(ctx context.Context, f Fault) bool {
	u := r.fleet.upstream(f.Target)
	link := func(faults relay.Faults) { disturb(ctx, u.relay, faults, f.For) }
	answers := func(faults standin.UpstreamFaults) {
		faults.Delay, faults.Fatal = workTime, fatalMark
		u.SetFaults(faults)
		pause.For(ctx, f.For)
		u.SetFaults(standin.UpstreamFaults{Delay: workTime, Fatal: fatalMark})
	}
	switch f.Kind {
	case UpstreamReset:
		link(relay.Faults{Cut: true})
	case UpstreamSilence:
		u.relay.SetFaults(relay.Faults{Freeze: true})
		u.relay.SetFaults(relay.Faults{})
	case UpstreamHold:
		link(relay.Faults{Hold: true})
	case UpstreamDelay:
		link(relay.Faults{DelayMillis: delayMillis})
	case AnswersLost:
		answers(standin.UpstreamFaults{Drop: struckAnswers})
	case AnswersRefused:
		answers(standin.UpstreamFaults{Refuse: struckAnswers})
	case AnswersFailed:
		answers(standin.UpstreamFaults{Fail: struckAnswers})
	case AnswersCrossed:
		answers(standin.UpstreamFaults{WrongID: struckAnswers})
	case AnswersExtra:
		answers(standin.UpstreamFaults{Extra: struckAnswers})
	case StreamsCut:
		answers(standin.UpstreamFaults{CutAfter: streamEvents / 2})
	case Replaced:
		r.replace(ctx, f)
	default:
		return false
	}
	return true
}

// replace has an upstream leave as planned and another take its place. Nothing new may
// reach the old one once the store has told of it for long enough, unless a failure
// kept instances from hearing of it.
func (r *run) replace(ctx context.Context, f Fault) {
	u := r.fleet.takeUpstream(f.Target)
	if u == nil {
		return
	}
	if err := r.fleet.addUpstream(u.service, u.domain); err != nil {
		r.violate("an upstream did not start: %v", err)
		return
	}
	told := time.Now()
	r.fleet.setLeaving(u, true)
	r.fleet.store.Announce(u.Upstream, u.service, u.domain, u.relayAddress, true)
	pause.For(ctx, drainTime)
	before := len(u.Runs())
	r.fleet.setLeaving(u, false)
	r.fleet.store.Withdraw(u.Upstream)
	pause.For(ctx, lingerTime)
	if late := len(u.Runs()) - before; late > 0 && !r.troubled(told.Add(-settleTime), time.Now()) {
		r.violate("%d requests reached %s after it had left", late, u.ID)
	}
	u.relay.SetFaults(relay.Faults{Cut: true})
}

func (r *run) strikeStore(ctx context.Context, f Fault) {
	faults := standin.Faults{}
	switch f.Kind {
	case Outage:
		faults.Outage = true
	case Throttle:
		faults.Throttle = true
	case Slow:
		faults.SlowMillis = slowMillis
	case WritesLost:
		faults.LoseAnswers = struckWrites
	case WritesLate:
		faults.LateWrites, faults.LateMillis = struckWrites, lateMillis
	case WatchesLost:
		faults.LoseWatches = true
	case WentBack:
		r.goBack(f)
		return
	case HistoryGone:
		r.fleet.store.CompactHistory()
		return
	case Change:
		if err := r.fleet.operator.change(); err != nil {
			r.violate("a change was not written: %v", err)
		}
		return
	}
	r.fleet.store.SetFaults(faults)
	pause.For(ctx, f.For)
	r.fleet.store.SetFaults(standin.Faults{})
}
