package test

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/standin/relay"
)

// linkState is the state of an instance's links to the upstreams.
type linkState string

// States of the links.
const (
	linksUp linkState = "up"
	// linksSilent lose all packets.
	linksSilent linkState = "silent"
	// linksReset close open connections and refuse new ones.
	linksReset linkState = "reset"
	// linksRefusing refuse new connections, while the open ones stay.
	linksRefusing linkState = "refusing"
	// linksSettingUp set up no new connection until the state changes, while the open ones work.
	linksSettingUp linkState = "setting up"
)

// upstreamLinks are the links of one instance to the upstreams. They can be cut while the upstreams are
// reached by all others.
type upstreamLinks struct {
	mu     sync.Mutex
	state  linkState
	relays map[string]*relay.Relay // by the upstream's address
	paths  map[string]string       // relay addresses by the upstream's address
}

func newUpstreamLinks() *upstreamLinks {
	return &upstreamLinks{state: linksUp, relays: map[string]*relay.Relay{}, paths: map[string]string{}}
}

// set changes the state of all links.
func (l *upstreamLinks) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	for _, r := range l.relays {
		r.SetFaults(relay.Faults{Freeze: state == linksSilent, Cut: state == linksReset})
	}
}

// dial is the instance's httpconn.DialFunc.
func (l *upstreamLinks) dial(ctx context.Context, address string) (net.Conn, error) {
	state, path, err := l.path(address)
	if err != nil {
		return nil, err
	}
	switch state {
	case linksSilent:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: context.DeadlineExceeded}
	case linksReset, linksRefusing:
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: syscall.ECONNREFUSED}
	case linksSettingUp:
		if err := l.awaitSetUp(ctx); err != nil {
			return nil, err
		}
	}
	return httpconn.DialTCP(ctx, path)
}

// awaitSetUp waits until the links set up connections again or ctx ends.
func (l *upstreamLinks) awaitSetUp(ctx context.Context) error {
	for l.current() == linksSettingUp {
		select {
		case <-ctx.Done():
			return &net.OpError{Op: "dial", Net: "tcp4", Err: context.DeadlineExceeded}
		case <-time.After(linkPollInterval):
		}
	}
	return nil
}

// linkPollInterval is the pause between two checks of the links' state.
const linkPollInterval = 10 * time.Millisecond

func (l *upstreamLinks) current() linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// path returns the state of the links and the address of the relay to an upstream. An upstream at which
// nothing listens has no relay, so that connections to it are refused.
func (l *upstreamLinks) path(address string) (linkState, string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.relays[address] == nil {
		path := freeAddress()
		started, err := relay.Start(path, "", address)
		if err != nil {
			return l.state, "", err
		}
		l.relays[address], l.paths[address] = started, path
	}
	if l.state == linksUp && !accepts(address) {
		return l.state, address, nil
	}
	return l.state, l.paths[address], nil
}

func accepts(address string) bool {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (l *upstreamLinks) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.relays {
		r.Close()
	}
}
