package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderring/lavenderring/pkg/follow/followpb"
	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// The kinds of a world, as the instances of the router follow them.
const (
	worldRouting   = "routing"
	worldUpstreams = "upstreams"
	worldEmptied   = "emptied"
)

var worldKinds = []string{worldRouting, worldUpstreams, worldEmptied}

// Figures of a world.
const (
	worldMessageTime = 1400 * time.Microsecond
	// worldObtain bounds a question for a first copy.
	worldObtain = 300 * time.Millisecond
	// worldTextFactor is how many bytes of the store's text one byte of a compressed copy stands for.
	worldTextFactor = 10
	// worldDecodeBytes and worldPackBytes are what a whole core decodes and compresses in a second.
	worldDecodeBytes = 40_000_000
	worldPackBytes   = 50_000_000
	// worldStoreRate is what the store's link carries in a second, in bytes, worldWriteRate what it
	// takes in of one writer's text.
	worldStoreRate = 125_000_000
	worldWriteRate = 350_000
	// worldStoreLoss is how many of a hundred answers a lossy store loses.
	worldStoreLoss = 30
	// worldSlowStore is the answer time of a store that is slow.
	worldSlowStore = 250 * time.Millisecond
)

// queue is something that serves one after the other: a link, or a processor.
type queue struct {
	mu   sync.Mutex
	free time.Time
}

// reserve returns how long work that takes so long has to wait and takes.
func (q *queue) reserve(work time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.free = later(q.free, now).Add(work)
	return q.free.Sub(now)
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// world is a fleet whose instances follow all kinds of one store in virtual time.
type world struct {
	ctx       context.Context
	store     *worldStore
	instances []*worldInstance
	bound     time.Duration
	running   sync.WaitGroup

	mu     sync.Mutex // guards what follows
	random *rand.Rand
	// unstable are the spans in which the store is disturbed for all, partial those in which it
	// is for some.
	unstable, partial []span
	// written holds when each change was acknowledged.
	written map[store.Position]time.Time
	inForce []arrival
}

// span is a time between two moments.
type span struct{ from, to time.Time }

// arrival is a change that came into force at an instance.
type arrival struct {
	kind     string
	instance int
	change   store.Position
	// born is when the process was started, at when it had the change, or ended without it.
	born, at time.Time
}

// worldInstance is one instance: its links, its processor and what it follows.
type worldInstance struct {
	store.Store
	world *world
	place int
	// linkRate is in bytes a second, share that of a core.
	linkRate float64
	share    float64
	in, out  queue
	cpu      queue

	mu sync.Mutex // guards what follows
	// cut says that it reaches nobody, refused how the store treats it alone, loss how many of a
	// hundred messages it loses.
	cut     bool
	refused manner
	loss    int
	// disturbed are the spans in which it is not in touch.
	disturbed []span
	diedAt    time.Time
	bornAt    time.Time
	publisher *Publisher
	copies    map[string]*worldCopy
	// course tells what it did and heard, with -trace.
	course []string
	// packed is what was handed on last of each kind: it is compressed once.
	packed map[string][]byte
	stop   context.CancelFunc
}

func newWorld(ctx context.Context, random *rand.Rand, size int, bound time.Duration) *world {
	w := &world{
		ctx: ctx, store: newWorldStore(), bound: bound, random: random, written: map[store.Position]time.Time{},
	}
	for place := range size {
		i := &worldInstance{world: w, place: place, linkRate: 2_500_000, share: 0.192}
		if w.drawn(2) == 0 {
			i.linkRate, i.share = 25_000_000, 0.8
		}
		w.instances = append(w.instances, i)
	}
	return w
}

func (w *world) drawn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// between draws a time.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.drawn(int(most-least)))
}

func (w *world) start() {
	for _, i := range w.instances {
		i.start()
	}
}

func (w *world) end() {
	for _, i := range w.instances {
		i.stop()
	}
	w.running.Wait()
	time.Sleep(2 * longestBehind) // who was catching up gives up by itself
}

// write changes an object of the store and notes when.
func (w *world) write(kind, name string, value []byte) {
	position := w.store.write(kind, name, value)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written[position] = time.Now()
}

func (i *worldInstance) start() {
	ctx, stop := context.WithCancel(i.world.ctx)
	copies, followers := map[string]*worldCopy{}, map[string]*Follower{}
	for _, kind := range worldKinds {
		copied := &worldCopy{instance: i, kind: kind, born: time.Now(), objects: map[string]store.Position{}}
		f := &Follower{Store: i, Kind: kind, Copy: copied}
		copies[kind], followers[kind] = copied, f
		f.Obtain = func(ctx context.Context) bool { return i.obtain(ctx, kind) }
	}
	publisher := NewPublisher(i.name(), followers, i, TimingFor(i.world.bound))
	for _, f := range followers {
		f.Lost = func(error) { publisher.AskAround(ctx) }
	}
	i.mu.Lock()
	i.publisher, i.copies, i.stop, i.diedAt, i.bornAt = publisher, copies, stop, time.Time{}, time.Now()
	i.packed = map[string][]byte{}
	i.mu.Unlock()
	for _, f := range followers {
		i.world.running.Go(func() { f.Run(ctx) })
	}
	i.world.running.Go(func() { publisher.Run(ctx) })
}

// note adds to an instance's course.
func (i *worldInstance) note(format string, args ...any) {
	if !*trace {
		return
	}
	line := time.Now().Format("05.000 ") + fmt.Sprintf(format, args...)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.course = append(i.course, line)
}

func (i *worldInstance) obtain(ctx context.Context, kind string) bool {
	for range 5 {
		for range 3 {
			if i.obtainFrom(ctx, kind, fmt.Sprint(i.world.drawn(len(i.world.instances)))) {
				return true
			}
		}
		pause.For(ctx, 100*time.Millisecond)
	}
	return false
}

func (i *worldInstance) obtainFrom(ctx context.Context, kind, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, worldObtain)
	defer cancel()
	_, publisher, _ := i.now()
	further, _, _ := publisher.FetchFrom(ctx, kind, address)
	return further
}

func (i *worldInstance) kill() {
	i.stop()
	i.mu.Lock()
	copies := i.copies
	i.diedAt = time.Now()
	i.mu.Unlock()
	for _, copied := range copies {
		copied.end()
	}
}

func (i *worldInstance) name() string { return fmt.Sprint(i.place) }

// now returns whether the instance is reached by others, its publisher, and its losses in a hundred.
func (i *worldInstance) now() (reached bool, publisher *Publisher, loss int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.cut && i.diedAt.IsZero(), i.publisher, i.loss
}

// takesFor holds a processor or a link for some work.
func takesFor(ctx context.Context, q *queue, work time.Duration) error {
	pause.For(ctx, q.reserve(work))
	return ctx.Err()
}

// receive has an instance take bytes over its link and decode the text that they stand for.
func (i *worldInstance) receive(ctx context.Context, bytes, text int) error {
	if err := takesFor(ctx, &i.in, seconds(float64(bytes)/i.linkRate)); err != nil {
		return err
	}
	return takesFor(ctx, &i.cpu, seconds(float64(text)/worldDecodeBytes/i.share))
}

func (i *worldInstance) send(ctx context.Context, bytes int) error {
	return takesFor(ctx, &i.out, seconds(float64(bytes)/i.linkRate))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// called returns how the store treats this instance's call.
func (i *worldInstance) called() manner {
	m := i.world.store.called()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cut {
		return storeSilent
	}
	if i.refused != storeAnswers {
		return i.refused
	}
	if m == storeLossy {
		if i.world.drawn(100) < worldStoreLoss {
			return storeSilent
		}
		return storeAnswers
	}
	return m
}

// ask makes one call to the store as far as its manner goes.
func (i *worldInstance) ask(ctx context.Context, wait time.Duration) error {
	m := i.called()
	if m != storeAnswers {
		i.note("call of the store, manner %d", m)
	}
	switch m {
	case storeRefuses:
		pause.For(ctx, answerTime)
		return store.ErrUnavailable
	case storeThrottles:
		pause.For(ctx, answerTime)
		return store.ErrThrottled
	case storeResets:
		pause.For(ctx, answerTime)
		return context.Canceled
	case storeSilent:
		return lost(ctx, wait)
	case storeSlow:
		pause.For(ctx, worldSlowStore)
	default:
		pause.For(ctx, answerTime)
	}
	return ctx.Err()
}

// List implements store.Watcher.
func (i *worldInstance) List(ctx context.Context, kind string) (store.Listing, error) {
	if err := i.ask(ctx, 0); err != nil {
		return store.Listing{}, err
	}
	list := i.world.store.list(kind)
	i.note("list of %s at %v", kind, list.Position)
	store.AnswerBegun(ctx)
	text := 0
	for _, object := range list.Objects {
		text += len(object.Value) * worldTextFactor
	}
	return list, i.receiveFromStore(ctx, text)
}

// receiveFromStore takes an answer's text over the store's link and the instance's own.
func (i *worldInstance) receiveFromStore(ctx context.Context, text int) error {
	if err := takesFor(ctx, &i.world.store.out, seconds(float64(text)/worldStoreRate)); err != nil {
		return err
	}
	return i.receive(ctx, text, text)
}

// Watch implements store.Watcher.
func (i *worldInstance) Watch(ctx context.Context, kind string, since store.Position, wait time.Duration) (store.Changes, error) {
	if err := i.ask(ctx, wait); err != nil {
		return store.Changes{}, err
	}
	changes, err := i.heard(ctx, kind, since, wait)
	if err != nil {
		return store.Changes{}, err
	}
	if m := i.called(); m != storeAnswers && m != storeSlow { // the answer is on its way into a disturbance
		return store.Changes{}, lost(ctx, 0)
	}
	i.note("watch of %s since %v: %d changes up to %v", kind, since, len(changes.Changes), changes.Position)
	text := 0
	for _, change := range changes.Changes {
		text += len(change.Object.Value) * worldTextFactor
	}
	if text > 0 {
		store.AnswerBegun(ctx)
	}
	return changes, i.receiveFromStore(ctx, text)
}

func (i *worldInstance) heard(ctx context.Context, kind string, since store.Position, wait time.Duration) (store.Changes, error) {
	deadline := time.After(wait)
	for {
		changes, woken, err := i.world.store.after(kind, since.Version)
		if err != nil || len(changes.Changes) > 0 {
			return changes, err
		}
		select {
		case <-woken:
		case <-deadline:
			return changes, nil
		case <-ctx.Done():
			return store.Changes{}, ctx.Err()
		}
	}
}

// Rank implements Peers. Another's death, cut or start is known after a time of each pair's own.
func (i *worldInstance) Rank() int {
	rank := 0
	for _, other := range i.world.instances[:i.place] {
		if other.knownAliveTo(i) {
			rank++
		}
	}
	return rank
}

// newsTime is how long it takes until one instance knows what became of another.
func newsTime(a, b *worldInstance) time.Duration {
	return time.Second + time.Duration((7919*a.place+104729*b.place)%2000)*time.Millisecond
}

func (i *worldInstance) knownAliveTo(other *worldInstance) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.diedAt.IsZero() {
		return time.Since(i.diedAt) < newsTime(i, other)
	}
	return time.Since(i.bornAt) > newsTime(i, other)/2
}

// Addresses implements Peers.
func (i *worldInstance) Addresses() []string {
	var addresses []string
	for _, other := range i.world.instances {
		if other != i && other.knownAliveTo(i) {
			addresses = append(addresses, other.name())
		}
	}
	return addresses
}

// AddressOf implements Peers.
func (i *worldInstance) AddressOf(incarnation string) string { return incarnation }

func (w *world) at(address string) *worldInstance {
	var place int
	_, _ = fmt.Sscan(address, &place)
	return w.instances[place]
}

// arrives reports whether a message between two instances does.
func (w *world) arrives(from, to *worldInstance) bool {
	sends, _, lossFrom := from.now()
	reached, _, lossTo := to.now()
	return sends && reached && w.drawn(100) >= lossFrom+lossTo
}

// Fetch implements Peers.
func (i *worldInstance) Fetch(ctx context.Context, address string, request *followpb.FetchRequest) (*followpb.FetchReply, error) {
	other := i.world.at(address)
	if !i.world.arrives(i, other) {
		<-ctx.Done() // what a cut swallows is waited for to the end
		return nil, ctx.Err()
	}
	request.Asker = i.name()
	pause.For(ctx, worldMessageTime)
	_, publisher, _ := other.now()
	reply, err := publisher.HandOn(request)
	if err != nil {
		return nil, err
	}
	i.note("fetch of %s since %d from %s: %d bytes, busy %t", request.Name, request.Since, address, len(reply.Packed), reply.Busy)
	defer func() {
	}()
	text := len(reply.Packed) * worldTextFactor
	if other.packsAnew(request.Name, reply.Packed) {
		if err := takesFor(ctx, &other.cpu, seconds(float64(text)/worldPackBytes/other.share)); err != nil {
			return nil, err
		}
	}
	if err := other.send(ctx, len(reply.Packed)); err != nil {
		return nil, err
	}
	pause.For(ctx, worldMessageTime)
	return reply, i.receive(ctx, len(reply.Packed), text)
}

// packsAnew reports whether what is handed on is not what was handed on last.
func (i *worldInstance) packsAnew(kind string, packed []byte) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	last := i.packed[kind]
	i.packed[kind] = packed
	return len(packed) > 0 && (len(last) == 0 || &last[0] != &packed[0])
}

// Confirm implements Peers.
func (i *worldInstance) Confirm(ctx context.Context, address string, confirmation *followpb.Confirmation) error {
	other := i.world.at(address)
	size := proto.Size(confirmation)
	if err := i.send(ctx, size); err != nil {
		return err
	}
	if !i.world.arrives(i, other) {
		return lostMessage(ctx)
	}
	pause.For(ctx, worldMessageTime)
	if err := other.receive(ctx, size, size); err != nil {
		return err
	}
	_, publisher, _ := other.now()
	other.note("confirmation: %v", confirmation)
	publisher.Take(confirmation)
	return nil
}

func lostMessage(ctx context.Context) error {
	pause.For(ctx, confirmTimeout)
	return context.DeadlineExceeded
}
