package reach

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/httpconn"
)

// Parameters of the verification of a crash.
const (
	// verifyTimeout bounds the verification; instances and upstreams answer within milliseconds.
	verifyTimeout = 350 * time.Millisecond
	// observeTimeout bounds each connection that is made for a verification.
	observeTimeout = 150 * time.Millisecond
	// numWitnesses is the number of instances that are asked: so many that hardly ever all of them have
	// lost their links, too. numControls is the number of other upstreams that are connected to.
	numWitnesses = 8
	numControls  = 2
	// observationLifetime is how long what was observed of an upstream is used for all who ask.
	observationLifetime = 250 * time.Millisecond
	// crashedLifetime is how long an upstream that crashed is no control for others.
	crashedLifetime = 10 * time.Second
)

// Witness is what another instance found out about an upstream.
type Witness struct {
	// Accepts says that the upstream accepted a connection, Refuses that it refused one. Neither holds
	// if the instance does not know.
	Accepts, Refuses bool
	// ReachesOthers says that the instance has connected to another upstream meanwhile, or that it
	// knows none.
	ReachesOthers bool
}

// Witnesses asks other instances about an upstream.
type Witnesses interface {
	// Check asks up to count instances side by side and returns the replies that come before ctx ends.
	Check(ctx context.Context, target Target, count int) []Witness
}

// Verifier tells an upstream that has crashed from one that refuses connections only here, because the
// instance's own link fails. It is safe for concurrent use.
type Verifier struct {
	direct    *Direct
	witnesses Witnesses
	lookup    func(address string) (Target, bool)
	upstreams func() []Target

	mu sync.Mutex
	// crashedAt holds when upstreams were found crashed, by address.
	crashedAt    map[string]time.Time
	observations map[string]*observation // by address
}

// observation is what this instance observed of an upstream for others.
type observation struct {
	startedAt time.Time
	done      chan struct{}
	witness   Witness
}

// NewVerifier returns a verifier. witnesses may be nil if there are no other instances. lookup finds an
// upstream by its address, upstreams returns all upstreams in service in random order.
func NewVerifier(
	direct *Direct, witnesses Witnesses, lookup func(address string) (Target, bool), upstreams func() []Target,
) *Verifier {
	return &Verifier{
		direct: direct, witnesses: witnesses, lookup: lookup, upstreams: upstreams,
		crashedAt: map[string]time.Time{}, observations: map[string]*observation{},
	}
}

// Verify returns the state of the upstream at an address that has just refused a connection of this
// instance. It counts as crashed if an instance that reaches other upstreams confirms it; this instance is
// believed without another one's word only if it reaches others itself.
func (v *Verifier) Verify(address string) httpconn.PeerState {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	confirmed := false
	if target, listed := v.lookup(address); listed {
		v.direct.Paths.NoteFailed(target.Service, address, false)
		for _, w := range v.ask(ctx, target) {
			if w.Accepts {
				return httpconn.Answering
			}
			confirmed = confirmed || (w.Refuses && w.ReachesOthers)
		}
	}
	if !confirmed && !v.reachesOthers(address) {
		return httpconn.SilentPeer
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.crashedAt[address] = v.direct.Now()
	return httpconn.Crashed
}

func (v *Verifier) ask(ctx context.Context, target Target) []Witness {
	if v.witnesses == nil {
		return nil
	}
	return v.witnesses.Check(ctx, target, numWitnesses)
}

// reachesOthers reports whether this instance can connect to another upstream of the service of the one at
// an address. If there is no other, nothing speaks against the own link.
func (v *Verifier) reachesOthers(address string) bool {
	controls := v.controls(address)
	if len(controls) == 0 {
		return true
	}
	connected := make(chan bool, len(controls))
	for _, control := range controls {
		go func() {
			connected <- v.direct.Check(control.Service, control.Address, observeTimeout) == nil
		}()
	}
	for range controls {
		if <-connected {
			return true
		}
	}
	return false
}

// controls returns other upstreams that have not crashed lately, of the same service as the one at an
// address if there are any: the link may be cut to a single service.
func (v *Verifier) controls(address string) []Target {
	target, _ := v.lookup(address)
	var same, others []Target
	for _, u := range v.upstreams() {
		switch {
		case u.Address == address || v.crashedLately(u.Address):
		case u.Service == target.Service:
			same = append(same, u)
		default:
			others = append(others, u)
		}
	}
	if len(same) == 0 {
		same = others
	}
	return same[:min(len(same), numControls)]
}

func (v *Verifier) crashedLately(address string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	at, found := v.crashedAt[address]
	if found && v.direct.Now().Sub(at) >= crashedLifetime {
		delete(v.crashedAt, address)
		return false
	}
	return found
}

// Observe connects to an upstream on behalf of another instance and returns what this one finds. All who
// ask at about the same time share one observation.
func (v *Verifier) Observe(target Target) Witness {
	v.mu.Lock()
	now := v.direct.Now()
	for address, o := range v.observations {
		if now.Sub(o.startedAt) >= observationLifetime {
			delete(v.observations, address)
		}
	}
	shared := v.observations[target.Address]
	if shared != nil {
		v.mu.Unlock()
		<-shared.done
		return shared.witness
	}
	shared = &observation{startedAt: now, done: make(chan struct{})}
	v.observations[target.Address] = shared
	v.mu.Unlock()
	shared.witness = v.observe(target)
	close(shared.done)
	return shared.witness
}

func (v *Verifier) observe(target Target) Witness {
	err := v.direct.Check(target.Service, target.Address, observeTimeout)
	if err == nil {
		return Witness{Accepts: true, ReachesOthers: true}
	}
	if !IsRefused(err) {
		return Witness{}
	}
	return Witness{Refuses: true, ReachesOthers: v.reachesOthers(target.Address)}
}
