package router

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/routing"
)

// Pace of the duties.
const (
	// tokenTick is the pace of drawing ahead and of returning.
	tokenTick = 500 * time.Millisecond
	// housekeeping is the pace of closing idle connections and of giving up
	// upstreams that did not come back.
	housekeeping = 200 * time.Millisecond
	// statusEvery is how often an instance tells what it did.
	statusEvery = 10 * time.Second
	// syncCheck is how often a starting instance looks whether it may serve.
	syncCheck = 20 * time.Millisecond
	// loadNoted is how often the log tells whether the instance is overloaded.
	loadNoted = 500 * time.Millisecond
	// membersNoted is how often the log tells which members have joined or gone.
	membersNoted = time.Second
)

// Bounds of a planned stop.
const (
	// unreadyFor is how long a stopping instance takes connections: the balancer
	// asks each second and turns away after two answers.
	unreadyFor = 3500 * time.Millisecond
	// handOver is the part of the time to stop that is kept for the return of
	// tokens.
	handOver = 700 * time.Millisecond
	// lastAnswers is the time that answers have to leave after their handlers have
	// returned, before connections are closed.
	lastAnswers = 100 * time.Millisecond
	// drainCheck is how often the requests in progress are counted.
	drainCheck = 20 * time.Millisecond
)

// Run serves until ctx ends, then stops in an orderly way: unready at once,
// requests in progress finish, tokens go back.
func (r *Router) Run(ctx context.Context) error {
	r.admin.Serve()
	r.ready.Serve()
	r.door.Serve()
	r.startDuties()
	if r.awaitSync(ctx) {
		r.life.Synced()
		<-ctx.Done()
	}
	r.stop()
	return nil
}

// awaitSync waits for a configuration, the upstreams and the emptied domains; it reports false if ctx
// ended first.
func (r *Router) awaitSync(ctx context.Context) bool {
	for r.config.Table() == nil || !r.registry.Synced() || !r.registry.SyncedEmptied() {
		if !pause.For(ctx, syncCheck) {
			return false
		}
	}
	close(r.synced)
	return r.awaitQuarantine(ctx)
}

// startDuties starts a goroutine for each duty.
func (r *Router) startDuties() {
	r.duty(func(ctx context.Context) { _ = r.server.Serve(ctx) })
	for _, copied := range r.copies {
		r.duty(copied.Run)
	}
	r.duty(r.publisher.Run)
	r.duty(r.meeting.Run)
	r.duty(r.gossip.Run)
	r.duty(r.quarantine.Run)
	r.duty(r.quarantine.Spread)
	r.duty(r.recoverVerdicts)
	r.every(membersNoted, r.noteMembers)
	r.every(loadNoted, r.noteLoad)
	r.every(tokenTick, r.tokens.Tick)
	r.every(housekeeping, r.housekeep)
	r.every(statusEvery, r.tellStatus)
}

func (r *Router) duty(run func(context.Context)) {
	r.duties.Add(1)
	go func() {
		defer r.duties.Done()
		run(r.background)
	}()
}

// every runs a duty again and again with a pause before each.
func (r *Router) every(interval time.Duration, run func(context.Context)) {
	r.duty(func(ctx context.Context) {
		for pause.For(ctx, interval) {
			run(ctx)
		}
	})
}

// applyConfig brings a configuration into force, if it is newer.
func (r *Router) applyConfig(config *routing.Config) {
	if !r.config.Apply(config, time.Now()) {
		return
	}
	r.forward.Update()
	r.log.Event(eventlog.ConfigInForce, "", eventlog.Fields{
		"version": config.Version, "routes": len(config.Routes), "accounts": len(config.Accounts),
	})
}

// upstreamsChanged brings the registry's upstreams to the pools.
func (r *Router) upstreamsChanged() {
	for _, address := range r.registry.TakeRestarted() {
		r.conns.Forget(address)
	}
	for _, before := range r.registry.TakeSuperseded() {
		r.quarantine.Table().Ended(before.Address, before.Incarnation, before.Gone)
	}
	r.forward.Update()
	r.tellUpstreamsLeft()
}

// mostNamed bounds the upstreams that one event names.
const mostNamed = 8

// tellUpstreamsLeft tells from when on upstreams get nothing new here: operators compare it with
// when the upstreams said so.
func (r *Router) tellUpstreamsLeft() {
	left := r.registry.TakeLeft()
	if len(left) == 0 {
		return
	}
	fields := eventlog.Fields{"count": len(left), "upstreams": left[:min(len(left), mostNamed)]}
	if age, read := r.copies[copyUpstreams].Age(); read {
		fields["copy_age_ms"] = age.Milliseconds()
	}
	r.log.Event(eventlog.UpstreamsLeft, "", fields)
}

func (r *Router) housekeep(context.Context) {
	r.cold.Observe()
	r.conns.Sweep()
	for name, copied := range r.copies {
		r.alarm.Look(name, copied)
	}
	if r.registry.ExpireEmptied() {
		r.domainsChanged()
	}
	if gone := r.registry.Expire(); len(gone) > 0 {
		for _, address := range gone {
			r.conns.Forget(address)
		}
		r.forward.Update()
		r.tellUpstreamsLeft()
	}
}

// tellStatus logs counters, so that the log alone shows a process's course.
func (r *Router) tellStatus(context.Context) {
	fields := eventlog.Fields{"active": r.door.Active(), "members": r.table.CountLive()}
	for name, value := range r.platform.StoreCalls(r.store) {
		fields["store_"+name] = value
	}
	for name, age := range r.copyAges() {
		fields[name+"_age_ms"] = age
	}
	if age, known := r.eraAge(); known {
		fields["store_era"], fields["store_era_age_s"] = r.storeEra.Load(), int64(age.Seconds())
	}
	if domains := r.registry.Emptied(); len(domains) > 0 {
		fields["emptied_domains"] = domains
	}
	if watched := r.quarantine.Summary(); watched.Suspected+watched.Condemned > 0 {
		fields["quarantine_suspected"], fields["quarantine_condemned"] = watched.Suspected, watched.Condemned
	}
	if table := r.config.Table(); table != nil {
		fields["config_version"] = table.Config.Version
	}
	r.log.Event(eventlog.InstanceStatus, "", fields)
}

// noteLoad tells in the log when the instance begins to be overloaded and when that is over.
func (r *Router) noteLoad(context.Context) {
	if overloaded := r.load.Overloaded(); overloaded != r.overloaded {
		r.overloaded = overloaded
		r.log.Event(eventlog.InstanceOverload, "", eventlog.Fields{"overloaded": overloaded, "active": r.door.Active()})
	}
}

func (r *Router) noteMembers(context.Context) { r.noted.Look(r.table, r.log) }

// stop ends the instance in the time that it has.
func (r *Router) stop() {
	began := time.Now()
	r.life.Stop()
	deadline := began.Add(r.settings.Grace() - handOver)
	r.forward.StopBy(deadline)
	r.door.Drain()
	r.table.MarkLeaving()
	for time.Now().Before(deadline) {
		if r.door.Active() == 0 && time.Since(began) >= unreadyFor {
			break
		}
		pause.For(context.Background(), drainCheck)
	}
	r.door.Refuse()
	for r.door.Active() > 0 && time.Now().Before(deadline) {
		pause.For(context.Background(), drainCheck)
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOver-lastAnswers)
	defer cancel()
	r.tokens.Stop(ctx)
	pause.For(context.Background(), lastAnswers)
	r.door.Close()
	r.end()
	r.life.Done()
	r.ready.Close()
	r.admin.Close()
	r.peers.Close()
}
