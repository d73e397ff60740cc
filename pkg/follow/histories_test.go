package follow

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Flags of a long run: go test ./pkg/follow -run TestDrawnHistories -histories 1000 -size 295.
var (
	histories = flag.Int("histories", 0, "how many histories to draw; 0 for the short run")
	size      = flag.Int("size", 295, "instances in each history, with -histories")
	first     = flag.Uint64("first", 1, "seed of the first history, with -histories")
	trace     = flag.Bool("trace", false, "print the course of the instance to which a change came last, if late")
)

// Bounds of a deployment of hundreds of instances.
const (
	worldBound   = 4 * time.Second
	worldContact = 5 * time.Second
	// worldPartly is what is added to the bound while the store refuses some.
	worldPartly = 8 * time.Second
	// worldSettled is how long after the last disturbance all copies are looked at.
	worldSettled = worldContact + worldBound
	// worldReaders is how many instances read the store most.
	worldReaders = 3
	// worldStart is when the first disturbance may come.
	worldStart = 5 * time.Second
)

// lateness is how late changes came into force at instances in touch.
type lateness struct {
	// calm holds each change and instance while the store was sound, partly while it refused some.
	calm, partly []time.Duration
	// worst tells of the latest one, latest is its instance.
	worst  string
	latest int
	// wrong tells of copies that are not what the store has at the end.
	wrong []string
	calls int
	// course is that of the latest instance, with -trace.
	course []string
}

// playHistory plays the history of a seed.
func playHistory(ctx context.Context, seed uint64, instances int) lateness {
	random := rand.New(rand.NewPCG(seed, uint64(instances)))
	w := newWorld(ctx, random, instances, worldBound)
	w.populate()
	w.start()
	pause.For(ctx, worldStart)
	w.disturb()
	pause.For(ctx, worldSettled)
	out := w.lateness()
	out.calls, out.course = w.store.count(), w.instances[out.latest].course
	for _, i := range w.instances {
		for kind, copied := range i.copies {
			if differs := copied.differs(); differs != "" {
				out.wrong = append(out.wrong, fmt.Sprintf("instance %d, %s: %s", i.place, kind, differs))
			}
		}
	}
	w.end()
	return out
}

// populate writes what stands before traffic starts.
func (w *world) populate() {
	w.write(worldRouting, "main", w.text(w.configBytes()))
	for n := range 100 {
		w.write(worldUpstreams, fmt.Sprint("u", n), w.text(25))
	}
}

// configBytes draws how large a configuration is, compressed: some are the largest that a store holds.
func (w *world) configBytes() int {
	return []int{2_000, 6_000, 20_000, 45_000, 100_000}[w.drawn(5)]
}

// text returns bytes that cannot be compressed.
func (w *world) text(size int) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := make([]byte, size)
	for n := range text {
		text[n] = byte(w.random.Uint32())
	}
	return text
}

// disturb plays two to four disturbances, one after the other or beside each other, while changes
// are made.
func (w *world) disturb() {
	ctx, cancel := context.WithCancel(w.ctx)
	w.running.Go(func() { w.changeRouting(ctx) })
	w.running.Go(func() { w.changeUpstreams(ctx) })
	w.running.Go(func() { w.changeEmptied(ctx) })
	ended := make(chan struct{})
	count := 2 + w.drawn(3)
	for range count {
		pause.For(ctx, w.between(0, 6*time.Second))
		disturb := worldDisturbances[w.drawn(len(worldDisturbances))]
		go func() {
			disturb(w)
			ended <- struct{}{}
		}()
	}
	for range count {
		<-ended
	}
	pause.For(ctx, worldContact+2*worldBound)
	cancel()
}

// changeRouting changes the configuration now and then, and in storms.
func (w *world) changeRouting(ctx context.Context) {
	size := w.configBytes()
	for pause.For(ctx, w.between(500*time.Millisecond, 4*time.Second)) {
		changes := 1
		if w.drawn(4) == 0 {
			changes = 15
		}
		for range changes {
			w.write(worldRouting, "main", w.text(size))
			if !pause.For(ctx, w.between(150*time.Millisecond, 400*time.Millisecond)+writeTime(size)) {
				return
			}
		}
	}
}

// writeTime is how long the store takes one writer's object in for, of its compressed size.
func writeTime(size int) time.Duration {
	return seconds(float64(size*worldTextFactor) / worldWriteRate)
}

// changeUpstreams has upstreams leave, start and fall silent.
func (w *world) changeUpstreams(ctx context.Context) {
	for n := 0; pause.For(ctx, w.between(50*time.Millisecond, 2*time.Second)); n++ {
		name := fmt.Sprint("u", w.drawn(100))
		w.write(worldUpstreams, name, w.text(25))
		if w.drawn(3) == 0 {
			w.write(worldUpstreams, name, nil)
			w.write(worldUpstreams, fmt.Sprint("v", n), w.text(25))
		}
	}
}

func (w *world) changeEmptied(ctx context.Context) {
	for pause.For(ctx, w.between(3*time.Second, 12*time.Second)) {
		w.write(worldEmptied, "a", w.text(1))
		pause.For(w.ctx, w.between(time.Second, 5*time.Second))
		w.write(worldEmptied, "a", nil)
	}
}

// worldDisturbances are what histories are drawn from.
var worldDisturbances = []func(*world){
	(*world).refuseSome, (*world).refuseSome,
	(*world).disturbStore, (*world).disturbStore,
	(*world).cutSome, (*world).cutAll,
	(*world).killSome, (*world).killFirst, (*world).killAll,
	(*world).loseSome, (*world).dropHistory,
}

// chosen draws a share of the instances, in a hundred; readers says that those that publish come first.
func (w *world) chosen(share int, readers bool) []*worldInstance {
	some := slices.Clone(w.instances)
	w.mu.Lock()
	w.random.Shuffle(len(some), func(a, b int) { some[a], some[b] = some[b], some[a] })
	w.mu.Unlock()
	if readers {
		slices.SortStableFunc(some, func(a, b *worldInstance) int {
			return min(a.place, worldReaders) - min(b.place, worldReaders)
		})
	}
	return some[:max(1, len(some)*share/100)]
}

// during plays a disturbance of some instances, in which they are not in touch.
func (w *world) during(some []*worldInstance, span time.Duration, set func(i *worldInstance, on bool)) {
	from := time.Now()
	for _, i := range some {
		i.mu.Lock()
		set(i, true)
		i.mu.Unlock()
	}
	pause.For(w.ctx, span)
	for _, i := range some {
		i.mu.Lock()
		set(i, false)
		i.mu.Unlock()
		i.disturb(from)
	}
}

// disturb notes that an instance was disturbed from a moment until now.
func (i *worldInstance) disturb(from time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbed = append(i.disturbed, span{from, time.Now()})
}

func (w *world) refuseSome() {
	some := w.chosen(30+w.drawn(45), w.drawn(3) > 0)
	how := []manner{storeRefuses, storeThrottles, storeResets, storeSilent}[w.drawn(4)]
	from := time.Now()
	for _, i := range some {
		i.mu.Lock()
		i.refused = how
		i.mu.Unlock()
	}
	pause.For(w.ctx, w.between(4*time.Second, 10*time.Second))
	for _, i := range some {
		i.mu.Lock()
		i.refused = storeAnswers
		i.mu.Unlock()
	}
	w.noteStore(&w.partial, from)
}

func (w *world) noteStore(spans *[]span, from time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*spans = append(*spans, span{from, time.Now()})
}

func (w *world) disturbStore() {
	from := time.Now()
	w.store.set([]manner{storeRefuses, storeThrottles, storeResets, storeSilent, storeSlow, storeLossy}[w.drawn(6)])
	pause.For(w.ctx, w.between(time.Second, 7*time.Second))
	w.store.set(storeAnswers)
	w.noteStore(&w.unstable, from)
}

func (w *world) dropHistory() {
	from := time.Now()
	w.store.dropHistory(w.ctx)
	w.noteStore(&w.unstable, from)
}

func (w *world) cutSome() {
	w.during(w.chosen(5+w.drawn(35), w.drawn(2) == 0), w.between(3*time.Second, 9*time.Second), setCut)
}

func (w *world) cutAll() {
	w.during(w.instances, w.between(3*time.Second, 9*time.Second), setCut)
}

func setCut(i *worldInstance, on bool) { i.cut = on }

func (w *world) loseSome() {
	w.during(w.chosen(20, false), w.between(3*time.Second, 6*time.Second), func(i *worldInstance, on bool) {
		i.loss = 0
		if on {
			i.loss = 3
		}
	})
}

func (w *world) killSome()  { w.kill(w.chosen(16, w.drawn(2) == 0)) }
func (w *world) killFirst() { w.kill(w.instances[:1]) }
func (w *world) killAll()   { w.kill(w.instances) }

func (w *world) kill(some []*worldInstance) {
	from := time.Now()
	var killed []*worldInstance
	for _, i := range some {
		if reached, _, _ := i.now(); reached {
			i.kill()
			killed = append(killed, i)
		}
	}
	pause.For(w.ctx, w.between(500*time.Millisecond, 4*time.Second))
	for _, i := range killed {
		i.start()
		i.disturb(from)
	}
}

// touched returns the last moment before one at which an instance was in touch, if there is one
// after the given time.
func touched(disturbed []span, from, until time.Time) (time.Time, bool) {
	// In touch is who was undisturbed for the whole contact time before: what is left of
	// [from, until) without the spans, each made longer by it.
	for moved := true; moved; {
		moved = false
		for _, s := range disturbed {
			if s.from.Before(until) && until.Before(s.to.Add(worldContact)) {
				until, moved = s.from, true
			}
		}
	}
	return until, from.Before(until)
}

// lateness returns how late changes were at instances in touch.
func (w *world) lateness() lateness {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out lateness
	worst := 0.0
	undone := w.undone()
	note := func(into *[]time.Duration, a arrival, disturbed []span, bound time.Duration) {
		written := w.written[a.change]
		until := a.at
		if gone, ok := undone[a.change]; ok && gone.Before(until) {
			until = gone
		}
		at, in := touched(disturbed, later(written, a.born), until)
		if !in {
			return
		}
		late := at.Sub(written)
		*into = append(*into, late)
		if part := late.Seconds() / bound.Seconds(); part > worst {
			worst, out.latest = part, a.instance
			out.worst = fmt.Sprintf("%s at instance %d, written at %v, in force %v later, %v in touch, bound %v",
				a.kind, a.instance, written.Format("05.000"), a.at.Sub(written), late, bound)
		}
	}
	for _, a := range w.inForce {
		own := w.instances[a.instance].disturbed
		note(&out.calm, a, slices.Concat(own, w.unstable, w.partial), w.bound)
		if len(w.partial) > 0 {
			note(&out.partly, a, slices.Concat(own, w.unstable), w.bound+worldPartly)
		}
	}
	return out
}

// undone returns when each object was gone again that a change had created: who lacked it lacks
// nothing from then on. w.mu is held.
func (w *world) undone() map[store.Position]time.Time {
	undone := map[store.Position]time.Time{}
	for _, changes := range w.store.changes {
		created, exists := map[string]store.Position{}, map[string]bool{}
		for _, change := range changes {
			key := change.Object.Key
			if at, fresh := created[key]; fresh && change.Deleted {
				undone[at] = w.written[change.Object.Position]
			}
			delete(created, key)
			if !change.Deleted && !exists[key] {
				created[key] = change.Object.Position
			}
			exists[key] = !change.Deleted
		}
	}
	return undone
}

// A change is in force at all but a few of hundreds of instances, which serve a dropped route or
// use an upstream that has left. Guards against each way in which the last instance to know knows
// late: the store refuses those that read it first, changes are superseded before they have spread,
// instances start, die and are cut off meanwhile.
func TestDrawnHistoriesBringEachChangeInTime(t *testing.T) {
	count, instances, from := 6, min(63, largeFleet), uint64(1)
	if *histories > 0 {
		count, instances, from = *histories, *size, *first
	}
	var calm, partly []time.Duration
	calls := 0
	for seed := from; seed < from+uint64(count); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				played := playHistory(t.Context(), seed, instances)
				calm, partly = append(calm, played.calm...), append(partly, played.partly...)
				calls += played.calls
				if late := greatest(played.calm); late > worldBound {
					t.Errorf("a change came into force %v late: %s", late, played.worst)
				}
				if late := greatest(played.partly); late > worldBound+worldPartly {
					t.Errorf("beside refusals a change came into force %v late: %s", late, played.worst)
				}
				if t.Failed() {
					for _, line := range played.course {
						t.Log(line)
					}
				}
				for _, wrong := range played.wrong[:min(3, len(played.wrong))] {
					t.Errorf("at the end of seed %d: %s (%d in all)", seed, wrong, len(played.wrong))
				}
			})
		})
	}
	t.Logf("%d histories of %d instances, %d calls each; while the store serves all: %s; while it refuses some: %s",
		count, instances, calls/count, spread(calm), spread(partly))
}

func greatest(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return slices.Max(times)
}

// spread tells the distribution of some times.
func spread(times []time.Duration) string {
	if len(times) == 0 {
		return "none"
	}
	slices.Sort(times)
	at := func(share float64) time.Duration {
		return times[int(share*float64(len(times)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("median %v, 99th %v, 99.9th %v, worst %v", at(0.5), at(0.99), at(0.999), at(1))
}

// A cut of a whole large fleet ends, and instances work by the configuration from before it for many
// seconds. Guards against each of them reading, from the store, every version that was written
// meanwhile: together more than the store's link carries in time.
func TestVersionsOfACutAreNotReadByEachInstance(t *testing.T) {
	const instances, versions, configBytes, cut = largeFleet, 8, 100_000, 24 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t.Context(), rand.New(rand.NewPCG(1, instances)), instances, worldBound)
		w.write(worldRouting, "main", w.text(configBytes))
		w.start()
		pause.For(t.Context(), worldStart)
		go func() {
			for range versions {
				w.write(worldRouting, "main", w.text(configBytes))
				pause.For(t.Context(), writeTime(configBytes))
			}
		}()
		w.during(w.instances, cut, setCut)
		pause.For(t.Context(), worldContact+worldBound)
		if late := greatest(w.lateness().calm); late > worldBound {
			t.Errorf("a change came into force %v late", late)
		}
		ended := w.instances[0].disturbed[0].to
		slowest := time.Duration(0)
		for _, a := range w.inForce {
			slowest = max(slowest, a.at.Sub(ended))
		}
		t.Logf("all versions in force %v after the cut, %d calls", slowest, w.store.count())
		w.end()
	})
}

// A store refuses those that read it, and hundreds that it serves ask it each for itself, for each copy
// and again and again. Guards against ranks that keep the publishing to themselves: another one takes it
// over, each change is in force everywhere in time, also at those that are refused, and the store has
// a few times the calls of a calm fleet.
func TestStoreThatRefusesItsReadersIsReadByAnother(t *testing.T) {
	const instances, refusedFor, changeEvery, timesCalm = largeFleet, 10 * time.Second, time.Second, 6
	for _, how := range []manner{storeRefuses, storeThrottles, storeResets, storeSilent} {
		t.Run(fmt.Sprint("manner ", how), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t.Context(), rand.New(rand.NewPCG(1, instances)), instances, worldBound)
				w.populate()
				w.start()
				pause.For(t.Context(), worldStart)
				for _, i := range w.chosen(35, true) {
					i.mu.Lock()
					i.refused = how
					i.mu.Unlock()
				}
				before := w.store.count()
				for range int(refusedFor / changeEvery) {
					w.write(worldRouting, "main", w.text(200))
					pause.For(t.Context(), changeEvery)
				}
				calls := w.store.count() - before
				pause.For(t.Context(), worldBound)
				if late := greatest(w.lateness().calm); late > worldBound {
					t.Errorf("a change came into force %v late", late)
				}
				calm := len(worldKinds) * int(refusedFor/longestWait)
				if calls > timesCalm*calm {
					t.Errorf("%d calls in %v, %d in a calm fleet", calls, refusedFor, calm)
				}
				t.Logf("%d calls in %v, worst %v", calls, refusedFor, greatest(w.lateness().calm))
				w.end()
			})
		})
	}
}
