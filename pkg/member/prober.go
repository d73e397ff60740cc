package member

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/pause"
)

// Failure detection follows SWIM: each instance sends heartbeats to a few others per protocol
// period, whatever the fleet's size. A member that does not answer is probed indirectly through
// other members, so that a bad link between two instances does not count as silence. If that fails
// too, the member is suspected; the suspicion is disseminated to all, including the member itself,
// which has some time to refute it. An instance that reaches no other member suspects nobody before
// unconfirmedSilenceTimeout, since it is most likely cut off itself.
const (
	// protocolPeriod is the interval at which an instance sends heartbeats. At five periods a
	// second, each member receives five heartbeats a second on average, so that some instance
	// notices a crash within a fifth of a second.
	protocolPeriod = 200 * time.Millisecond
	// heartbeatsPerPeriod is how many members receive a heartbeat in each period.
	// extraHeartbeatsPerPeriod is how many more members, which answered their last heartbeats,
	// receive one while updates are pending.
	heartbeatsPerPeriod      = 1
	extraHeartbeatsPerPeriod = 5
	// numIndirectProbers is how many other members probe one that did not answer. With one message
	// in a hundred lost, all three fail for a live member once in fifty thousand times.
	numIndirectProbers = 3
	// indirectProbeDelay is how long a heartbeat may be unanswered before indirect probes are
	// sent. An instance with a fifth of a core answers in that time unless it is overloaded.
	indirectProbeDelay = 300 * time.Millisecond
	// suspicionTimeout is the time a member has to refute a suspicion: five periods, in which
	// several instances that know of the suspicion contact the member. With 0.2 s to the next
	// heartbeat, indirectProbeDelay, 0.4 s for the probes and 0.8 s to disseminate the update, a
	// crash is known to all within 3 s.
	suspicionTimeout = time.Second
	// unconfirmedSilenceTimeout is how long a member may be silent before it is suspected although
	// no indirect prober answered. An instance that reaches no other is most likely cut off
	// itself; if a network failure of the whole fleet made all instances regard each other as
	// silent, each would draw tokens and publish on its own. The timeout is longer than the
	// partitions that instances can bridge with the tokens they hold.
	unconfirmedSilenceTimeout = 30 * time.Second
	// periodsPerSilentHeartbeat is the average number of periods between two heartbeats to a
	// silent member: after a partition one side has to make the first contact.
	periodsPerSilentHeartbeat = 4
)

// Run sends heartbeats until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	for pause.For(ctx, protocolPeriod) {
		g.Table.expireSuspects()
		for _, m := range g.Table.NextHeartbeats(!g.settled.Load()) {
			go g.checkMember(ctx, m)
		}
	}
}

// checkMember sends one heartbeat to a member and starts indirect probes if it is not answered.
func (g *Gossip) checkMember(ctx context.Context, m *memberpb.Member) {
	answered := make(chan error, 1)
	go func() { answered <- g.SendHeartbeat(ctx, m.Incarnation, m.PeerAddress) }()
	select {
	case err := <-answered:
		if err == nil {
			return
		}
	case <-time.After(indirectProbeDelay):
	}
	// The heartbeat's error is not logged: if the failure lasts, the member's silence is.
	if ctx.Err() == nil {
		g.Table.ApplyProbeResult(m.Incarnation, g.probeIndirectly(ctx, g.Table.MarkMissed(m.Incarnation), m))
	}
}

// probeIndirectly asks all probers concurrently to probe a member, and summarizes their answers.
func (g *Gossip) probeIndirectly(ctx context.Context, probers []*memberpb.Member, m *memberpb.Member) IndirectProbeResult {
	type answer struct {
		reached bool
		err     error
	}
	answers := make(chan answer, len(probers))
	for _, prober := range probers {
		go func() {
			reached, err := g.Probe(ctx, prober.PeerAddress, m)
			answers <- answer{reached, err}
		}()
	}
	result := IndirectProbeResult{Requested: len(probers)}
	for range probers {
		a := <-answers
		if a.err == nil {
			result.Answered++
		}
		result.Reached = result.Reached || (a.err == nil && a.reached)
	}
	return result
}

// IndirectProbeResult summarizes the indirect probes of a member that did not answer a heartbeat.
type IndirectProbeResult struct {
	// Requested is the number of members that were requested to probe it, Answered the number of
	// those that replied.
	Requested, Answered int
	// Reached reports that the member answered at least one prober.
	Reached bool
}

// ApplyProbeResult applies the result of the indirect probes of a member that did not answer a
// heartbeat: the member counts as heard if a prober reached it, and otherwise becomes suspected. If no
// prober answered, it is suspected only after unconfirmedSilenceTimeout.
func (t *Table) ApplyProbeResult(incarnation string, result IndirectProbeResult) {
	switch {
	case result.Reached:
		t.MarkHeard(incarnation)
	case !t.hasMissedHeartbeat(incarnation): // it has answered in the meantime
	case result.Answered > 0 || result.Requested == 0 || t.timeSinceHeard(incarnation) > unconfirmedSilenceTimeout:
		t.Suspect(incarnation)
	}
}

func (t *Table) hasMissedHeartbeat(incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[incarnation]
	return e != nil && e.missedHeartbeat
}

// timeSinceHeard returns the time since the last message from a member, 0 for an unknown one.
func (t *Table) timeSinceHeard(incarnation string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[incarnation]
	if e == nil {
		return 0
	}
	return t.now().Sub(e.lastHeard)
}

// NextHeartbeats returns the members to send heartbeats to in this period. They come from a queue of all
// members that are not silent, in random order; when it is empty, it is filled again in a new order.
// While updates are pending, or this instance is joining and knows few others, further members are
// added, so that updates do not wait for their receivers' turns in the queue.
func (t *Table) NextHeartbeats(joining bool) []*memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	due := make([]*memberpb.Member, 0, heartbeatsPerPeriod+extraHeartbeatsPerPeriod+1)
	for range 2 { // the rest of the current queue, then the start of the next
		due = t.dequeueHeartbeats(due, heartbeatsPerPeriod)
		if len(due) < heartbeatsPerPeriod && len(t.heartbeatQueue) == 0 {
			t.heartbeatQueue = t.newHeartbeatQueue()
		}
	}
	if joining || len(t.updates) > 0 {
		due = t.addResponsive(due)
	}
	if t.randIntN(periodsPerSilentHeartbeat) == 0 {
		due = append(due, t.sampleSilent()...)
	}
	return due
}

// addResponsive adds randomly chosen members that answered their last heartbeats; t.mu is held.
func (t *Table) addResponsive(due []*memberpb.Member) []*memberpb.Member {
	var answering []string
	for incarnation, e := range t.entries {
		if incarnation != t.identity.Incarnation && !e.missedHeartbeat && !t.silent(incarnation) && !slices.Contains(due, e.member) {
			answering = append(answering, incarnation)
		}
	}
	for _, incarnation := range t.sample(answering, extraHeartbeatsPerPeriod) {
		due = append(due, t.entries[incarnation].member)
	}
	return due
}

func (t *Table) dequeueHeartbeats(due []*memberpb.Member, size int) []*memberpb.Member {
	for len(due) < size && len(t.heartbeatQueue) > 0 {
		incarnation := t.heartbeatQueue[0]
		t.heartbeatQueue = t.heartbeatQueue[1:]
		e := t.entries[incarnation]
		if e != nil && !t.silent(incarnation) && !slices.Contains(due, e.member) {
			due = append(due, e.member)
		}
	}
	return due
}

func (t *Table) newHeartbeatQueue() []string {
	t.forgetExpired()
	queue := make([]string, 0, len(t.entries))
	for incarnation := range t.entries {
		if incarnation != t.identity.Incarnation && !t.silent(incarnation) {
			queue = append(queue, incarnation)
		}
	}
	return t.sample(queue, len(queue))
}

// sample returns up to maxSize random incarnations of a list, in random order. The list is sorted
// first: map iteration order is random, but does not come from the table's random source, which
// tests seed.
func (t *Table) sample(from []string, maxSize int) []string {
	sort.Strings(from)
	maxSize = min(maxSize, len(from))
	for i := range maxSize {
		j := i + t.randIntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:maxSize]
}

func (t *Table) sampleSilent() []*memberpb.Member {
	var silent []string
	for incarnation, e := range t.entries {
		if t.silent(incarnation) && !e.member.Leaving && t.byName[e.member.Name] == incarnation {
			silent = append(silent, incarnation)
		}
	}
	var one []*memberpb.Member
	for _, incarnation := range t.sample(silent, 1) {
		one = append(one, t.entries[incarnation].member)
	}
	return one
}

// MarkMissed records that a member has not answered a heartbeat in time, and returns the members
// to send indirect probes through: those heard from most recently, since many may have crashed at
// once.
func (t *Table) MarkMissed(incarnation string) []*memberpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[incarnation]; e != nil {
		e.missedHeartbeat = true
	}
	var candidates []*entry
	for other, e := range t.entries {
		if other != incarnation && other != t.identity.Incarnation && !t.silent(other) {
			candidates = append(candidates, e)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].missedHeartbeat != candidates[j].missedHeartbeat {
			return candidates[j].missedHeartbeat
		}
		if !candidates[i].lastHeard.Equal(candidates[j].lastHeard) {
			return candidates[i].lastHeard.After(candidates[j].lastHeard)
		}
		return candidates[i].member.Incarnation < candidates[j].member.Incarnation
	})
	probers := make([]*memberpb.Member, 0, numIndirectProbers)
	for _, e := range candidates[:min(numIndirectProbers, len(candidates))] {
		probers = append(probers, e.member)
	}
	return probers
}
