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
