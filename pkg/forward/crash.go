package forward

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
)

// How an upstream is looked at whose connection ended.
const (
	// lookTimeout bounds the look; a process that has ended refuses within a round trip.
	lookTimeout = 150 * time.Millisecond
	// lookHolds is how long one look stands for all connections that ended together. The
	// next incarnation may listen at the same address after that.
	lookHolds = 250 * time.Millisecond
)

// upstreamState is what a look at an upstream showed.
type upstreamState string

const (
	// stateCrashed means that nothing listens at its address any more.
	stateCrashed upstreamState = "crashed"
	// stateAnswers means that it takes connections: only this one ended.
	stateAnswers upstreamState = "answers"
	// stateSilent means that it could not be told in time.
	stateSilent upstreamState = "silent"
)

// lookout looks at upstreams whose connections ended, once for all that end together.
type lookout struct {
	mu    sync.Mutex
	looks map[string]*look // by address
}

type look struct {
	began time.Time
	done  chan struct{}
	state upstreamState
}

// lookAt tells what became of the upstream at an address.
func (f *Forwarder) lookAt(address string) upstreamState {
	l := &f.lookout
	l.mu.Lock()
	present := l.looks[address]
	if present != nil && f.Now().Sub(present.began) < lookHolds {
		l.mu.Unlock()
		<-present.done
		return present.state
	}
	present = &look{began: f.Now(), done: make(chan struct{})}
	l.looks[address] = present
	l.mu.Unlock()
	present.state = f.dialed(address)
	close(present.done)
	return present.state
}

// dialed opens a connection to tell whether anything listens, and keeps it for a request.
func (f *Forwarder) dialed(address string) upstreamState {
	conn, err := httpconn.Dial(context.Background(), address, lookTimeout)
	switch {
	case err == nil:
		f.meters.newConns.Inc(1)
		f.Conns.Opened(address)
		f.Conns.Keep(conn, 0)
		return stateAnswers
	case errors.Is(err, syscall.ECONNREFUSED):
		return stateCrashed
	default:
		return stateSilent
	}
}

// Sweep drops what stands for nothing any more; it is called now and then.
func (f *Forwarder) Sweep() {
	l := &f.lookout
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, look := range l.looks {
		if f.Now().Sub(look.began) >= lookHolds {
			delete(l.looks, address)
		}
	}
}

// brokeOff finds out what ended an attempt whose connection ended before the whole answer.
func (a *attempt) brokeOff(failed *failure) {
	state := a.c.f.lookAt(a.place.Address)
	a.c.f.Log.Event(eventlog.RequestBrokeOff, a.c.r.ID, eventlog.Fields{
		"state": state, "upstream": a.place.ID, "address": a.place.Address, "step": failed.step,
		"fingerprint": a.c.fingerprint().String(), "route": a.c.route.Name, "account": a.c.accountName(),
		"ran_ms": a.c.f.Now().Sub(a.sentAt).Milliseconds(), "sent": a.c.sent,
	})
}

// fingerprint recognizes the request when it is sent again.
func (c *call) fingerprint() fingerprint.Fingerprint {
	if c.print == nil {
		print := fingerprint.Of(c.accountName(), c.r.Host, fingerprint.Content(c.r.Method, c.r.Target, c.r.Body))
		c.print = &print
	}
	return *c.print
}

// accountName is empty where no account is needed.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}
