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

// The kinds of objects in a simulation, as the instances of the router follow them.
const (
	simRouting   = "routing"
	simUpstreams = "upstreams"
	simEmptied   = "emptied"
)

var simKinds = []string{simRouting, simUpstreams, simEmptied}

// Parameters of a simulation.
const (
	simMessageTime = 1400 * time.Microsecond
	// simFetchTimeout bounds a request for a first copy.
	simFetchTimeout = 300 * time.Millisecond
	// simCompressionRatio is the number of bytes of the store's text for one byte of a compressed
	// copy.
	simCompressionRatio = 10
	// simDecodeRate and simCompressRate are the bytes that a whole core decodes and compresses per
	// second.
	simDecodeRate   = 40_000_000
	simCompressRate = 50_000_000
	// simStoreLinkRate is the capacity of the store's link in bytes per second, simWriteRate the
	// rate at which the store receives one writer's text.
	simStoreLinkRate = 125_000_000
	simWriteRate     = 350_000
	// simStoreLossPercent is the percentage of answers that a lossy store loses.
	simStoreLossPercent = 30
	// simSlowAnswerTime is the answer time of a slow store.
	simSlowAnswerTime = 250 * time.Millisecond
)

// queue is a resource that serves one job at a time: a link or a processor.
type queue struct {
	mu   sync.Mutex
	free time.Time
}

// reserve adds a job of a given duration and returns the time until it is done, including its wait.
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

// simulation is a fleet whose instances follow all kinds of one store in virtual time.
type simulation struct {
	ctx       context.Context
	store     *simStore
	instances []*simInstance
	bound     time.Duration
	running   sync.WaitGroup
	// stopWatching ends the checks of the copies.
	stopWatching context.CancelFunc

	mu     sync.Mutex // guards the fields below
	random *rand.Rand
	// storeDisturbed are the spans in which the store is disturbed for all instances, storeRefusing
	// those in which it refuses some.
	storeDisturbed, storeRefusing []span
	// writtenAt holds when each change was acknowledged.
	writtenAt map[store.Position]time.Time
	arrivals  []arrival
	// statements holds what was checked of the statements between instances.
	statements statementChecks
}

// span is the time between two moments.
type span struct{ from, to time.Time }

// arrival is a change that came into force at an instance.
type arrival struct {
	kind     string
	instance int
	change   store.Position
	// startedAt is when the process was started; appliedAt is when it applied the change, or when it
	// ended without having applied it.
	startedAt, appliedAt time.Time
}

// simInstance is one instance: its links, its processor and its copies.
type simInstance struct {
	store.Store
	sim   *simulation
	index int
	// linkRate is in bytes per second; cpuShare is the fraction of a core.
	linkRate float64
	cpuShare float64
	in, out  queue
	cpu      queue

	mu sync.Mutex // guards the fields below
	// partitioned is set while the instance reaches no other; refusal is how the store treats this
	// instance in particular; lossPercent is the percentage of messages that it loses.
	partitioned bool
	refusal     storeBehavior
	lossPercent int
	// delay is how long each message and each answer takes longer, in each direction, over a saturated link.
	delay time.Duration
	// disturbed are the spans in which the instance is not in contact.
	disturbed []span
	crashedAt time.Time
	startedAt time.Time
	publisher *Publisher
	hearing   *Hearing
	validity  *Validity
	copies    map[string]*simCopy
	// trace holds the calls and messages of the instance, with -trace.
	trace []string
	// lastServed is what was served last of each kind: it is compressed once.
	lastServed map[string][]byte
	stop       context.CancelFunc
}

func newSimulation(ctx context.Context, random *rand.Rand, size int, bound time.Duration) *simulation {
	sim := &simulation{
		ctx: ctx, store: newSimStore(), bound: bound, random: random, writtenAt: map[store.Position]time.Time{},
	}
	for index := range size {
		i := &simInstance{sim: sim, index: index, linkRate: 2_500_000, cpuShare: 0.192}
		if sim.randomIntN(2) == 0 {
			i.linkRate, i.cpuShare = 25_000_000, 0.8
		}
		sim.instances = append(sim.instances, i)
	}
	return sim
}

func (sim *simulation) randomIntN(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.IntN(n)
}

// randomDuration draws a duration in [minDuration, maxDuration).
func (sim *simulation) randomDuration(minDuration, maxDuration time.Duration) time.Duration {
	return minDuration + time.Duration(sim.randomIntN(int(maxDuration-minDuration)))
}

func (sim *simulation) start() {
	for _, i := range sim.instances {
		i.start()
	}
	watched, stopWatching := context.WithCancel(sim.ctx)
	sim.stopWatching = stopWatching
	sim.running.Go(func() { sim.watchReliance(watched) })
}

func (sim *simulation) end() {
	sim.stopWatching()
	for _, i := range sim.instances {
		i.stop()
	}
	sim.running.Wait()
	time.Sleep(2 * maxBehindTimeout) // a catch-up in progress ends by itself
}

// write changes an object of the store and records when.
func (sim *simulation) write(kind, name string, value []byte) {
	position := sim.store.write(kind, name, value)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.writtenAt[position] = time.Now()
}

func (i *simInstance) start() {
	ctx, stop := context.WithCancel(i.sim.ctx)
	copies, followers := map[string]*simCopy{}, map[string]*Follower{}
	for _, kind := range simKinds {
		copied := &simCopy{instance: i, kind: kind, startedAt: time.Now(), objects: map[string]store.Position{}}
		f := &Follower{Store: i, Kind: kind, Copy: copied}
		if kind == simRouting {
			f.Key = simRouting + "/main"
		}
		copies[kind], followers[kind] = copied, f
		f.FetchInitial = func(ctx context.Context) bool { return i.fetchInitial(ctx, kind) }
	}
	publisher := NewPublisher(i.name(), followers, i, TimingFor(i.sim.bound))
	hearing := &Hearing{}
	bounds := map[string]time.Duration{}
	for kind, f := range followers {
		f.OnCallFailed = func(error) { publisher.QueryRandomPeer(ctx) }
		f.OnAnswer = hearing.HeardAfter
		bounds[kind] = i.sim.bound
	}
	validity := NewValidity(publisher, hearing, bounds)
	i.mu.Lock()
	i.hearing, i.validity = hearing, validity
	i.publisher, i.copies, i.stop, i.crashedAt, i.startedAt = publisher, copies, stop, time.Time{}, time.Now()
	i.lastServed = map[string][]byte{}
	i.mu.Unlock()
	for _, f := range followers {
		i.sim.running.Go(func() { f.Run(ctx) })
	}
	i.sim.running.Go(func() { publisher.Run(ctx) })
	i.sim.running.Go(func() { hearing.Run(ctx) })
}

// tracef adds a line to an instance's trace.
func (i *simInstance) tracef(format string, args ...any) {
	if !*trace {
		return
	}
	line := time.Now().Format("05.000 ") + fmt.Sprintf(format, args...)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.trace = append(i.trace, line)
}

func (i *simInstance) fetchInitial(ctx context.Context, kind string) bool {
	for range 5 {
		for range 3 {
			if i.fetchInitialFrom(ctx, kind, fmt.Sprint(i.sim.randomIntN(len(i.sim.instances)))) {
				return true
			}
		}
		pause.For(ctx, 100*time.Millisecond)
	}
	return false
}

func (i *simInstance) fetchInitialFrom(ctx context.Context, kind, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, simFetchTimeout)
	defer cancel()
	_, publisher, _ := i.state()
	further, _, _ := publisher.FetchFrom(ctx, kind, address)
	return further
}

func (i *simInstance) kill() {
	i.stop()
	i.mu.Lock()
	copies := i.copies
	i.crashedAt = time.Now()
	i.mu.Unlock()
	for _, copied := range copies {
		copied.recordMissing()
	}
}

func (i *simInstance) name() string { return fmt.Sprint(i.index) }

// state returns whether other instances reach this one, its publisher, and its loss percentage.
func (i *simInstance) state() (reached bool, publisher *Publisher, loss int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.partitioned && i.crashedAt.IsZero(), i.publisher, i.lossPercent
}

// occupy waits until a processor or a link has completed a job.
func occupy(ctx context.Context, q *queue, work time.Duration) error {
	pause.For(ctx, q.reserve(work))
	return ctx.Err()
}

// receive simulates the transfer of bytes over the instance's link and the decoding of the text
// that they stand for.
func (i *simInstance) receive(ctx context.Context, bytes, text int) error {
	if err := occupy(ctx, &i.in, seconds(float64(bytes)/i.linkRate)); err != nil {
		return err
	}
	return occupy(ctx, &i.cpu, i.decodeTime(text))
}

// decodeTime is how long the instance takes to decode text.
func (i *simInstance) decodeTime(text int) time.Duration {
	return seconds(float64(text) / simDecodeRate / i.cpuShare)
}

func (i *simInstance) send(ctx context.Context, bytes int) error {
	return occupy(ctx, &i.out, seconds(float64(bytes)/i.linkRate))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// storeBehavior returns how the store treats this instance's call.
func (i *simInstance) storeBehavior() storeBehavior {
	m := i.sim.store.recordCall()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.partitioned {
		return storeSilent
	}
	if i.refusal != storeAnswers {
		return i.refusal
	}
	if m == storeLossy {
		if i.sim.randomIntN(100) < simStoreLossPercent {
			return storeSilent
		}
		return storeAnswers
	}
	return m
}

// callStore makes one call to the store, up to the point where its behavior determines the outcome.
func (i *simInstance) callStore(ctx context.Context, wait time.Duration) error {
	if err := i.crossLink(ctx, i); err != nil {
		return err
	}
	m := i.storeBehavior()
	if m != storeAnswers {
		i.tracef("store call, behavior %d", m)
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
		return awaitLostAnswer(ctx, wait)
	case storeSlow:
		pause.For(ctx, simSlowAnswerTime)
	default:
		pause.For(ctx, answerTime)
	}
	return ctx.Err()
}

// List implements store.Watcher.
func (i *simInstance) List(ctx context.Context, kind string) (store.Listing, error) {
	return lateOverLink(ctx, i, 0, store.LateListing(ctx), func(ctx context.Context) (store.Listing, error) {
		return i.list(ctx, kind)
	})
}

func (i *simInstance) list(ctx context.Context, kind string) (store.Listing, error) {
	if err := i.callStore(ctx, 0); err != nil {
		return store.Listing{}, err
	}
	list := i.sim.store.list(kind)
	i.tracef("list of %s at %v", kind, list.Position)
	store.NotifyAnswerStarted(ctx)
	text := 0
	for _, object := range list.Objects {
		text += len(object.Value) * simCompressionRatio
	}
	return list, i.receiveFromStore(ctx, text)
}

// receiveFromStore simulates the transfer of an answer's text over the store's link and the
// instance's own.
func (i *simInstance) receiveFromStore(ctx context.Context, text int) error {
	if err := occupy(ctx, &i.sim.store.link, seconds(float64(text)/simStoreLinkRate)); err != nil {
		return err
	}
	return i.receive(ctx, text, text)
}

// Watch implements store.Watcher.
func (i *simInstance) Watch(ctx context.Context, kind string, since store.Position, wait time.Duration) (store.Changes, error) {
	return lateOverLink(ctx, i, wait, store.LateChanges(ctx), func(ctx context.Context) (store.Changes, error) {
		return i.watch(ctx, kind, since, wait)
	})
}

func (i *simInstance) watch(ctx context.Context, kind string, since store.Position, wait time.Duration) (store.Changes, error) {
	if err := i.callStore(ctx, wait); err != nil {
		return store.Changes{}, err
	}
	changes, err := i.awaitChanges(ctx, kind, since, wait)
	if err != nil {
		return store.Changes{}, err
	}
	if m := i.storeBehavior(); m != storeAnswers && m != storeSlow { // the answer is sent during a disturbance
		return store.Changes{}, awaitLostAnswer(ctx, 0)
	}
	i.tracef("watch of %s since %v: %d changes up to %v", kind, since, len(changes.Changes), changes.Position)
	text := 0
	for _, change := range changes.Changes {
		text += len(change.Object.Value) * simCompressionRatio
	}
	if text > 0 {
		store.NotifyAnswerStarted(ctx)
	}
	return changes, i.receiveFromStore(ctx, text)
}

func (i *simInstance) awaitChanges(ctx context.Context, kind string, since store.Position, wait time.Duration) (store.Changes, error) {
	deadline := time.After(wait)
	for {
		changes, woken, err := i.sim.store.changesAfter(kind, since.Version)
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

// Rank implements Peers. Another instance's crash, partition or start is known after a time that
// depends on the pair.
func (i *simInstance) Rank() int {
	rank := 0
	for _, other := range i.sim.instances[:i.index] {
		if other.knownAliveTo(i) {
			rank++
		}
	}
	return rank
}

// detectionTime is how long one instance takes to learn what happened to another.
func detectionTime(a, b *simInstance) time.Duration {
	return time.Second + time.Duration((7919*a.index+104729*b.index)%2000)*time.Millisecond
}

func (i *simInstance) knownAliveTo(other *simInstance) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.crashedAt.IsZero() {
		return time.Since(i.crashedAt) < detectionTime(i, other)
	}
	return time.Since(i.startedAt) > detectionTime(i, other)/2
}

// Addresses implements Peers.
func (i *simInstance) Addresses() []string {
	var addresses []string
	for _, other := range i.sim.instances {
		if other != i && other.knownAliveTo(i) {
			addresses = append(addresses, other.name())
		}
	}
	return addresses
}

// AddressOf implements Peers.
func (i *simInstance) AddressOf(incarnation string) string { return incarnation }

func (sim *simulation) instance(address string) *simInstance {
	var index int
	_, _ = fmt.Sscan(address, &index)
	return sim.instances[index]
}

// delivers reports whether a message between two instances arrives.
func (sim *simulation) delivers(from, to *simInstance) bool {
	sends, _, lossFrom := from.state()
	reached, _, lossTo := to.state()
	return sends && reached && sim.randomIntN(100) >= lossFrom+lossTo
}

// Fetch implements Peers.
func (i *simInstance) Fetch(ctx context.Context, address string, request *followpb.FetchRequest) (*followpb.FetchReply, error) {
	other := i.sim.instance(address)
	if !i.sim.delivers(i, other) {
		<-ctx.Done() // a message lost in a partition is awaited until the timeout
		return nil, ctx.Err()
	}
	request.Asker = i.name()
	pause.For(ctx, simMessageTime)
	if err := i.crossLink(ctx, other); err != nil {
		return nil, err
	}
	_, publisher, _ := other.state()
	reply, err := publisher.HandleFetch(request)
	if err != nil {
		return nil, err
	}
	i.tracef("fetch of %s since %d from %s: %d bytes, busy %t", request.Name, request.Since, address, len(reply.Packed), reply.Busy)
	text := len(reply.Packed) * simCompressionRatio
	if other.compressesAnew(request.Name, reply.Packed) {
		if err := occupy(ctx, &other.cpu, seconds(float64(text)/simCompressRate/other.cpuShare)); err != nil {
			return nil, err
		}
	}
	if err := other.send(ctx, len(reply.Packed)); err != nil {
		return nil, err
	}
	pause.For(ctx, simMessageTime)
	if err := other.crossLink(ctx, i); err != nil {
		return nil, err
	}
	i.heard()
	return reply, i.receive(ctx, len(reply.Packed), text)
}

// compressesAnew reports whether what is served differs from what was served last.
func (i *simInstance) compressesAnew(kind string, packed []byte) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	last := i.lastServed[kind]
	i.lastServed[kind] = packed
	return len(packed) > 0 && (len(last) == 0 || &last[0] != &packed[0])
}

// Confirm implements Peers.
func (i *simInstance) Confirm(ctx context.Context, address string, confirmation *followpb.Confirmation) error {
	i.checkConfirmation(confirmation)
	other := i.sim.instance(address)
	size := proto.Size(confirmation)
	if err := i.send(ctx, size); err != nil {
		return err
	}
	if !i.sim.delivers(i, other) {
		return awaitLostMessage(ctx)
	}
	pause.For(ctx, simMessageTime)
	if !i.acknowledgedInTime(other) {
		return awaitLostMessage(ctx)
	}
	if err := i.crossLink(ctx, other); err != nil {
		return err
	}
	if err := other.receive(ctx, size, size); err != nil {
		return err
	}
	other.heard()
	_, publisher, _ := other.state()
	other.tracef("confirmation: %v", confirmation)
	publisher.HandleConfirmation(confirmation)
	return nil
}

func awaitLostMessage(ctx context.Context) error {
	pause.For(ctx, lostConfirmTimeout)
	return context.DeadlineExceeded
}
