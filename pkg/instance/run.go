package instance

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
	"github.com/lavenderring/lavenderring/pkg/ledger"
	"github.com/lavenderring/lavenderring/pkg/pause"
)

// Intervals of the background tasks, and the delay before a failed step is retried.
const (
	budgetInterval    = time.Second
	billCopyInterval  = 200 * time.Millisecond
	billFlushInterval = 5 * time.Second
	discoverInterval  = 5 * time.Second
	excessLogInterval = time.Second
	registerInterval  = 30 * time.Second
	retryInterval     = 200 * time.Millisecond
)

// Run serves requests until ctx ends, then shuts down gracefully: it reports the
// instance as not ready, waits for requests in progress, returns tokens, and writes
// the remaining bills and outcomes.
func (i *Instance) Run(ctx context.Context) error {
	i.adminServer.Serve()
	i.startBackgroundTasks()
	if i.awaitConfig(ctx) {
		i.clientServer.Serve()
		i.lifecycle.Synced()
		<-ctx.Done()
	}
	return i.stop()
}

// awaitConfig waits until the configuration has been loaded from the store or,
// while the store is unavailable, from any reachable peer. It reports false if ctx ended
// first.
func (i *Instance) awaitConfig(ctx context.Context) bool {
	for ctx.Err() == nil {
		if i.loadConfigOnce(ctx) {
			return true
		}
		pause.For(ctx, retryInterval)
	}
	return false
}

func (i *Instance) loadConfigOnce(ctx context.Context) bool {
	i.readInstanceList(ctx)
	if err := i.quarantine.Recover(ctx); err != nil {
		i.log.Event(eventlog.QuarantineFault, "", eventlog.Fields{"step": "recover", "cause": err.Error()})
	}
	if i.configSyncer.Load(ctx) == nil {
		return true // also if the store holds no document yet
	}
	for _, seed := range i.settings.Seeds {
		_ = i.gossip.Join(ctx, seed) // retried by the next call
	}
	i.gossip.SendRound(ctx)
	return len(i.config.Snapshot().Services) > 0
}

// startBackgroundTasks starts a goroutine for each background task.
func (i *Instance) startBackgroundTasks() {
	i.runInBackground(func(ctx context.Context) { _ = i.peerServer.Serve(ctx) })
	i.runInBackground(i.configSyncer.Run)
	i.runInBackground(i.claims.Run)
	i.runInBackground(i.quarantine.Run)
	i.runInBackground(i.quarantine.Spread)
	i.runInBackground(i.runConfigFetches)
	i.runInBackground(i.entry.PollLoads)
	i.runInBackground(i.entry.PollIncarnations)
	i.runInBackground(i.runHeartbeats)
	i.runEvery(budgetInterval, i.budgets.Tick)
	i.runEvery(budgetInterval, i.syncLedger)
	i.runEvery(billCopyInterval, func(ctx context.Context) { _ = i.journal.Copy(ctx) })
	i.runEvery(billFlushInterval, i.flushBills)
	i.runEvery(discoverInterval, i.discover)
	i.runEvery(excessLogInterval, func(context.Context) { i.excessMonitor.Check(i.clientServer.Excess(), i.log) })
}

// discover registers this instance when registerInterval has passed, and reads the
// list of instances after that. With this order, of two instances that start at the
// same time at least one finds the other and sends it a heartbeat. In the reverse
// order, both could miss each other until they read the list again.
func (i *Instance) discover(ctx context.Context) {
	if time.Since(i.registeredAt) >= registerInterval && i.register(ctx) == nil {
		i.registeredAt = time.Now()
	}
	i.readInstanceList(ctx)
}

func (i *Instance) runInBackground(run func(context.Context)) {
	i.backgroundTasks.Add(1)
	go func() {
		defer i.backgroundTasks.Done()
		run(i.backgroundCtx)
	}()
}

// runEvery starts a background task that calls run immediately and then
// repeatedly, with a pause of interval between calls.
func (i *Instance) runEvery(interval time.Duration, run func(context.Context)) {
	i.runInBackground(func(ctx context.Context) {
		for ctx.Err() == nil {
			run(ctx)
			pause.For(ctx, interval)
		}
	})
}

func (i *Instance) runConfigFetches(ctx context.Context) {
	for {
		select {
		case f := <-i.configFetches.Items():
			i.fetchConfig(ctx, f)
		case <-ctx.Done():
			return
		}
	}
}

// runHeartbeats sends a round of heartbeats at every interval, and immediately when
// heartbeatTrigger signals a change that the peers should learn.
func (i *Instance) runHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		i.gossip.SendRound(ctx)
		i.changeLogger.LogChanges(i.table, i.log)
		timer := time.NewTimer(i.settings.HeartbeatInterval())
		select {
		case <-i.heartbeatTrigger.Items():
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (i *Instance) flushBills(ctx context.Context) {
	_ = i.journal.Flush(ctx)
	_ = i.billKeeper.TakeOver(ctx, i.table.Silent)
}

// syncLedger writes changed prepaid amounts to the ledger shards for which this
// instance is the first holder, so that a reduction or a top-up takes effect even
// if no request uses the budget.
func (i *Instance) syncLedger(ctx context.Context) {
	generations := i.generationSum()
	if generations == i.syncedGenerations {
		return
	}
	for shard := 0; shard < i.settings.LedgerShards; shard++ {
		if !i.isFirstHolder(shard) {
			continue
		}
		if i.budgets.SyncPrepaid(ctx, shard) != nil {
			return // retried at the next interval
		}
	}
	i.syncedGenerations = generations
}

// isFirstHolder reports whether this instance has the lowest incarnation of all
// holders of a shard.
func (i *Instance) isFirstHolder(shard int) bool {
	winners := i.table.WinnersByDomain(ledger.ObjectKey(shard))
	first := ""
	for _, m := range winners {
		if first == "" || m.Incarnation < first {
			first = m.Incarnation
		}
	}
	return first == i.incarnation
}

// generationSum returns the sum of all generations in force, which changes with each
// document that comes into force.
func (i *Instance) generationSum() uint64 {
	var sum uint64
	for _, f := range i.config.Snapshot().Services {
		sum += f.Generation
	}
	return sum
}

func (i *Instance) stop() error {
	began := time.Now()
	i.lifecycle.Stop()
	i.clientServer.Drain()
	i.table.MarkLeaving()
	i.heartbeatTrigger.TryPut(struct{}{})
	pause.For(context.Background(), i.settings.DrainDelay())
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	i.clientServer.Refuse()
	err := i.clientServer.AwaitIdle(drainCtx)
	if settleErr := i.entry.AwaitSettled(drainCtx); err == nil {
		err = settleErr
	}
	i.log.Event(eventlog.InstanceClosing, "", eventlog.Fields{
		"after_ms": time.Since(began).Milliseconds(), "active": i.clientServer.NumActive(),
	})
	i.clientServer.CloseBy(time.Now().Add(httpserve.CloseTimeout))
	i.flushOnStop()
	i.cancelBackground()
	i.backgroundTasks.Wait()
	i.lifecycle.Done()
	i.adminServer.Close()
	i.peerClient.Close()
	return err
}

// flushOnStop returns tokens and writes bills and outcomes to the store, as far as
// the store and the peers can be reached within flushTimeout. What cannot be
// written is not lost, because the bill peer and the witness have a copy.
func (i *Instance) flushOnStop() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	i.claims.Flush(ctx)
	i.budgets.Stop(ctx)
	_ = i.journal.Copy(ctx)
	_ = i.billKeeper.TakeOver(ctx, i.table.Silent)
	for ctx.Err() == nil && i.journal.Flush(ctx) != nil {
		pause.For(ctx, retryInterval)
	}
	i.gossip.SendRound(ctx)
}
