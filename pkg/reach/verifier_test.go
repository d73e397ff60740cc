package reach

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/httpconn"
)

// fixedWitnesses gives the same replies to every question.
type fixedWitnesses []Witness

// Check implements Witnesses.
func (w fixedWitnesses) Check(context.Context, Target, int) []Witness { return w }

// testUpstreams are those of two services.
var testUpstreams = []Target{
	{Service: "s", ID: "1", Address: "a"},
	{Service: "s", ID: "2", Address: "b"},
	{Service: "s", ID: "3", Address: "c"},
	{Service: "other", ID: "4", Address: "d"},
}

// newTestVerifier returns a verifier of an instance that reaches the given addresses; all others refuse.
func newTestVerifier(witnesses Witnesses, reached ...string) *Verifier {
	var mu sync.Mutex
	isReached := map[string]bool{}
	for _, address := range reached {
		isReached[address] = true
	}
	direct := &Direct{
		Dial: func(_ context.Context, address string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			if !isReached[address] {
				return nil, errRefused
			}
			near, _ := net.Pipe()
			return near, nil
		},
		Pool:  httpconn.NewPool(time.Now),
		Paths: NewPaths(time.Now, nil),
		Now:   time.Now,
	}
	lookup := func(address string) (Target, bool) {
		for _, u := range testUpstreams {
			if u.Address == address {
				return u, true
			}
		}
		return Target{}, false
	}
	return NewVerifier(direct, witnesses, lookup, func() []Target { return testUpstreams })
}

// Guards against requests that are suspected because their instance has lost its links, and against crashes that
// are not noticed.
func TestRefusalIsVerified(t *testing.T) {
	accepts := Witness{Accepts: true, ReachesOthers: true}
	refuses := Witness{Refuses: true, ReachesOthers: true}
	refusesAll := Witness{Refuses: true}
	silent := Witness{}
	cases := []struct {
		description string
		witnesses   Witnesses
		reached     []string
		want        httpconn.PeerState
	}{
		{"another instance connects", fixedWitnesses{refuses, accepts}, nil, httpconn.Answering},
		{"another one reaches other upstreams only", fixedWitnesses{refuses}, nil, httpconn.Crashed},
		{"nobody reaches any", fixedWitnesses{refusesAll, silent}, nil, httpconn.SilentPeer},
		{"the others know nothing, this one reaches others", fixedWitnesses{silent}, []string{"b"}, httpconn.Crashed},
		{"this one reaches another service only", fixedWitnesses{refusesAll}, []string{"d"}, httpconn.SilentPeer},
		{"there are no other instances", nil, []string{"b", "c"}, httpconn.Crashed},
		{"there are no others, and no link", nil, nil, httpconn.SilentPeer},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			if state := newTestVerifier(c.witnesses, c.reached...).Verify("a"); state != c.want {
				t.Errorf("state %q, want %q", state, c.want)
			}
		})
	}
}

// Guards against a request that crashes one upstream after the other and is suspected for the first only: upstreams
// that have crashed do not speak against the own link.
func TestCrashesOfAllUpstreamsAreNoticed(t *testing.T) {
	v := newTestVerifier(nil, "c", "d")
	for _, address := range []string{"a", "b", "c"} {
		if state := v.Verify(address); state != httpconn.Crashed {
			t.Errorf("%s: state %q", address, state)
		}
	}
}
