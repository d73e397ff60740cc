package follow

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

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
