package test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// Figures of a fleet whose upstreams crash.
const (
	fatalBody = "ends what runs it"
	// downFor is how long a crashed upstream is away.
	downFor = 300 * time.Millisecond
	// betweenSendings is the pause of a caller that sends the same request again and again.
	betweenSendings = 100 * time.Millisecond
	// mostCrashes is how many upstreams a request may end: three until it is known, and three
	// that are allowed later.
	mostCrashes = 6
)

// crashes counts the upstreams that each request ended, by its body.
type crashes struct {
	mu     sync.Mutex
	bodies map[string]int
}

func (c *crashes) note(body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodies[body]++
}

func (c *crashes) of(body string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bodies[body]
}

// armUpstreams has the upstreams crash on fatal bodies and start again.
func (f *routed) armUpstreams() *crashes {
	c := &crashes{bodies: map[string]int{}}
	for n, u := range f.plain {
		f.arm(u, "jobs", n, c)
	}
	for n, u := range f.engines {
		f.arm(u, "models", n, c)
	}
	return c
}

func (f *routed) arm(u *standin.Upstream, service string, domain int, c *crashes) {
	u.SetFaults(standin.UpstreamFaults{Fatal: fatalBody})
	u.OnCrash = func(run standin.Run) {
		c.note(run.Body)
		if pause.For(f.t.Context(), downFor) {
			f.startAgain(u, service, domain, c)
		}
	}
}

// startAgain starts an upstream's next incarnation; a test that has ended needs none.
func (f *routed) startAgain(old *standin.Upstream, service string, domain int, c *crashes) {
	next, err := standin.StartUpstream(old.ID, old.Address, old.Events)
	if err != nil {
		f.t.Errorf("upstream %s: %v", old.ID, err)
		return
	}
	f.t.Cleanup(next.Close)
	next.Born = time.Now().UnixMilli()
	f.arm(next, service, domain, c)
	key := "servers/" + old.ID
	present, err := f.client.Get(f.t.Context(), key)
	if err == nil {
		_, err = f.client.Put(f.t.Context(), key, next.Entry(service, domainOf(domain), false), present.Position)
	}
	if err != nil && f.t.Context().Err() == nil {
		f.t.Errorf("entry of %s: %v", old.ID, err)
	}
}

// Guards against a request that ends every upstream that runs it, and that its caller sends
// again and again at any instance, for good.
func TestRequestThatCrashesUpstreamsIsSentOnAFewTimesOnly(t *testing.T) {
	f := newRouted(t, 3, 1_000_000)
	crashed := f.armUpstreams()
	for _, route := range []string{"safe", "once", "stream", "resumable"} {
		body := fatalBody + " on " + route
		var last sending
		for n := range 20 {
			last = f.send(f.instances[n%3], fmt.Sprintf("%s-%d", route, n), route, body)
			time.Sleep(betweenSendings)
		}
		if n := crashed.of(body); n == 0 || n > mostCrashes {
			t.Errorf("%s: %d upstreams ended", route, n)
		}
		if last.status != http.StatusServiceUnavailable || last.retryAfter != "" {
			t.Errorf("%s: the last sending got %d, to come back after %q", route, last.status, last.retryAfter)
		}
		sound := f.send(f.instances[0], "sound-"+route, route, "sound")
		if sound.status != http.StatusOK {
			t.Errorf("%s: a sound request got %d", route, sound.status)
		}
	}
}
