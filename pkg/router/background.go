package router

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/routing"
)

// Intervals of the background tasks.
const (
	// tokenTickInterval is how often tokens are drawn ahead and returned.
	tokenTickInterval = 500 * time.Millisecond
	// housekeepInterval is how often expired idle connections are closed, and upstreams that
	// did not come back are removed.
	housekeepInterval = 200 * time.Millisecond
	// statusInterval is how often an instance logs its counters.
	statusInterval = 10 * time.Second
	// syncCheckInterval is how often a starting instance checks whether it can serve.
	syncCheckInterval = 20 * time.Millisecond
	// loadLogInterval is how often the overload state is checked; a change is logged.
	loadLogInterval = 500 * time.Millisecond
	// excessLogInterval is how often it is checked whether clients reached a bound.
	excessLogInterval = time.Second
	// memberLogInterval is how often members that joined or left are logged.
	memberLogInterval = time.Second
)

// Run serves until ctx ends, then shuts down gracefully: the instance is unready at once,
// requests in progress finish, and tokens are returned.
func (r *Router) Run(ctx context.Context) error {
	r.adminServer.Serve()
	r.readyServer.Serve()
	r.clientServer.Serve()
	r.startBackgroundTasks()
	if r.awaitSync(ctx) {
		r.lifecycle.Synced()
		<-ctx.Done()
	}
	r.stop()
	return nil
}

// awaitSync waits for a configuration, the upstreams and the emptied domains; it reports false if ctx
// ended first.
func (r *Router) awaitSync(ctx context.Context) bool {
	for r.config.Table() == nil || !r.registry.Synced() || !r.registry.SyncedEmptiedDomains() {
		if !pause.For(ctx, syncCheckInterval) {
			return false
		}
	}
	close(r.synced)
	return r.awaitQuarantine(ctx)
}

// startBackgroundTasks starts a goroutine for each background task.
func (r *Router) startBackgroundTasks() {
	r.runInBackground(func(ctx context.Context) { _ = r.peerServer.Serve(ctx) })
	for _, follower := range r.followers {
		r.runInBackground(follower.Run)
	}
	r.runInBackground(r.ownDelay.Run)
	r.runInBackground(r.publisher.Run)
	r.runInBackground(r.hearing.Run)
	r.runInBackground(r.discovery.Run)
	r.runInBackground(r.gossip.Run)
	r.runInBackground(r.quarantine.Run)
	r.runInBackground(r.quarantine.Spread)
	r.runInBackground(r.origins.Run)
	r.runInBackground(r.origins.RunArchive)
	r.runInBackground(r.recoverVerdicts)
	r.runEvery(memberLogInterval, r.logMemberChanges)
	r.runEvery(loadLogInterval, r.logOverload)
	r.runEvery(excessLogInterval, r.logExcess)
	r.runEvery(tokenTickInterval, r.tokens.Tick)
	r.runEvery(housekeepInterval, r.housekeep)
	r.runEvery(statusInterval, r.logStatus)
}

func (r *Router) runInBackground(run func(context.Context)) {
	r.backgroundTasks.Add(1)
	go func() {
		defer r.backgroundTasks.Done()
		run(r.backgroundCtx)
	}()
}

// runEvery runs a background task repeatedly, with a pause before each run.
func (r *Router) runEvery(interval time.Duration, run func(context.Context)) {
	r.runInBackground(func(ctx context.Context) {
		for pause.For(ctx, interval) {
			run(ctx)
		}
	})
}

// onConfig puts a configuration into force if it is newer.
func (r *Router) onConfig(config *routing.Config) {
	if !r.config.Apply(config, time.Now()) {
		return
	}
	r.forward.Update()
	r.log.Event(eventlog.ConfigInForce, "", eventlog.Fields{
		"version": config.Version, "routes": len(config.Routes), "accounts": len(config.Accounts),
	})
}

// onUpstreams passes the registry's upstreams on to the pools.
func (r *Router) onUpstreams() {
	for _, address := range r.registry.TakeRestarted() {
		r.conns.CloseIdle(address)
	}
	for _, before := range r.registry.TakeSuperseded() {
		r.quarantine.Table().NoteGone(before.Address, before.Incarnation, before.Gone)
	}
	r.forward.Update()
	r.logUpstreamsLeft()
}

// maxNamedUpstreams bounds the upstreams that one log event names.
const maxNamedUpstreams = 8

// logUpstreamsLeft logs which upstreams have left, at the time from which this instance sends them
// no new requests. Operators compare it with the time at which the upstreams announced that they
// leave.
func (r *Router) logUpstreamsLeft() {
	left := r.registry.TakeLeft()
	if len(left) == 0 {
		return
	}
	fields := eventlog.Fields{"count": len(left), "upstreams": left[:min(len(left), maxNamedUpstreams)]}
	if age, read := r.followers[copyUpstreams].Age(); read {
		fields["copy_age_ms"] = age.Milliseconds()
	}
	if delay := r.ownDelay.Delay(); delay > 0 {
		fields["own_delay_ms"] = delay.Milliseconds()
	}
	r.log.Event(eventlog.UpstreamsLeft, "", fields)
}

func (r *Router) housekeep(context.Context) {
	r.coldLimit.Observe()
	r.conns.CloseExpired()
	for name, follower := range r.followers {
		r.ageMonitor.Check(name, follower)
	}
	if r.registry.ExpireEmptiedDomains() {
		r.onEmptiedDomains()
	}
	if gone := r.registry.Expire(); len(gone) > 0 {
		for _, address := range gone {
			r.conns.CloseIdle(address)
		}
		r.forward.Update()
		r.logUpstreamsLeft()
	}
}

// logStatus logs counters, so that the log alone shows how a process has fared.
func (r *Router) logStatus(context.Context) {
	fields := eventlog.Fields{"active": r.clientServer.NumActive(), "members": r.table.CountLive()}
	for name, value := range r.platform.CountStoreCalls(r.store) {
		fields["store_"+name] = value
	}
	for name, age := range r.copyAges() {
		fields[name+"_age_ms"] = age
	}
	if age, known := r.eraAge(); known {
		fields["store_era"], fields["store_era_age_s"] = r.storeEra.Load(), int64(age.Seconds())
	}
	if domains := r.registry.EmptiedDomains(); len(domains) > 0 {
		fields["emptied_domains"] = domains
	}
	if services := r.links.Direct.Paths.Unreached(); len(services) > 0 {
		fields["unreached"] = services
	}
	if watched := r.quarantine.Summary(); watched.Suspected+watched.Condemned > 0 {
		fields["quarantine_suspected"], fields["quarantine_condemned"] = watched.Suspected, watched.Condemned
	}
	if table := r.config.Table(); table != nil {
		fields["config_version"] = table.Config.Version
	}
	r.log.Event(eventlog.InstanceStatus, "", fields)
}

// logOverload logs when the instance becomes overloaded and when the overload ends.
func (r *Router) logOverload(context.Context) {
	if overloaded := r.overloadLimit.Overloaded(); overloaded != r.loggedOverloaded {
		r.loggedOverloaded = overloaded
		r.log.Event(eventlog.InstanceOverload, "", eventlog.Fields{"overloaded": overloaded, "active": r.clientServer.NumActive()})
	}
}

func (r *Router) logExcess(context.Context) { r.excessMonitor.Check(r.clientServer.Excess(), r.log) }

func (r *Router) logMemberChanges(context.Context) { r.memberLogger.LogChanges(r.table, r.log) }
