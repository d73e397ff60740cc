package reach

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/httpconn"
)

// Times of the simulated network.
const (
	roundTripTime  = 3 * time.Millisecond
	tunnelOpenTime = 8 * time.Millisecond
)

// errRefused is the error of a connection that is refused.
var errRefused = &net.OpError{Op: "dial", Net: "tcp4", Err: syscall.ECONNREFUSED}

// simulatedLink is an instance's link to the upstreams.
type simulatedLink struct {
	mu    sync.Mutex
	state string // "up", "silent" or "refused"
	dials int
}

func (l *simulatedLink) set(state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
}

func (l *simulatedLink) numDials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dials
}

func (l *simulatedLink) dial(ctx context.Context, _ string) (net.Conn, error) {
	l.mu.Lock()
	l.dials++
	state := l.state
	l.mu.Unlock()
	if state == "silent" {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: context.DeadlineExceeded}
	}
	time.Sleep(roundTripTime)
	if state == "refused" {
		return nil, errRefused
	}
	near, _ := net.Pipe()
	return near, nil
}

// finishedConn counts the connections that were left to the other instance.
type finishedConn struct {
	net.Conn
	finished *atomic.Int32
}

func (c finishedConn) Finish(time.Duration) { c.finished.Add(1) }

// simulatedTunnels opens connections through another instance, which reaches all upstreams or none.
type simulatedTunnels struct {
	reaches  bool
	opened   atomic.Int32
	finished atomic.Int32
}

// Open implements Tunnels.
func (s *simulatedTunnels) Open(_ context.Context, target Target) (*httpconn.Conn, string, error) {
	time.Sleep(tunnelOpenTime)
	if !s.reaches {
		return nil, "", errors.New("not reached")
	}
	s.opened.Add(1)
	near, _ := net.Pipe()
	return httpconn.NewConn(finishedConn{near, &s.finished}, target.Address), "other", nil
}

// simulation is an instance with its link and its tunnels.
type simulation struct {
	link      *simulatedLink
	tunnels   *simulatedTunnels
	connector *Connector
}

func newSimulation(state string, othersReach bool) *simulation {
	s := &simulation{link: &simulatedLink{state: state}, tunnels: &simulatedTunnels{reaches: othersReach}}
	direct := &Direct{Dial: s.link.dial, Pool: httpconn.NewPool(time.Now), Paths: NewPaths(time.Now, nil), Now: time.Now}
	s.connector = &Connector{Direct: direct, Tunnels: s.tunnels}
	return s
}

// connect opens a connection and returns it with the time that it took.
func (s *simulation) connect(address string) (Connection, time.Duration, error) {
	began := time.Now()
	c, err := s.connector.Connect(context.Background(), Target{Service: "s", Address: address})
	return c, time.Since(began), err
}

// Guards against requests that wait for upstreams which only this instance does not reach: they go through
// another instance within the hedge delay, and without it once the link is known to be lost.
func TestLostLinkIsBypassed(t *testing.T) {
	for _, state := range []string{"silent", "refused"} {
		t.Run(state, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Second) // connections in the background end
				s := newSimulation(state, true)
				for n, address := range []string{"a", "b", "a", "c", "d", "a"} {
					c, took, err := s.connect(address)
					most := hedgeDelay + tunnelOpenTime
					if n >= 2 {
						most = tunnelOpenTime
					}
					if err != nil || c.Via != "other" || took > most || c.DirectFailed != (n < 2) {
						t.Errorf("connection %d: via %q after %v, direct failed %v, %v", n, c.Via, took, c.DirectFailed, err)
					}
					time.Sleep(DialTimeout) // the direct connection fails
				}
			})
		})
	}
}

// Guards against tunnels that stay in use after the link is back.
func TestLinkThatIsBackIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // connections in the background end
		s := newSimulation("silent", true)
		for _, address := range []string{"a", "b"} {
			if _, _, err := s.connect(address); err != nil {
				t.Fatal(err)
			}
			time.Sleep(DialTimeout)
		}
		s.link.set("up")
		time.Sleep(checkInterval)
		for _, address := range []string{"a", "b", "c"} {
			if c, _, err := s.connect(address); err != nil || c.Via != "" {
				t.Errorf("%s: via %q, %v", address, c.Via, err)
			}
		}
	})
}

// Guards against lost connections and against ones that nobody closes: of two that are established the second
// is kept for the next request, here or at the other instance.
func TestSecondConnectionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // connections in the background end
		s := newSimulation("silent", true)
		for _, address := range []string{"a", "b"} {
			if _, _, err := s.connect(address); err != nil {
				t.Fatal(err)
			}
			time.Sleep(DialTimeout)
		}
		s.link.set("up")
		time.Sleep(checkInterval)
		c, _, err := s.connect("a") // a check of the link, beside a tunnel
		if err != nil || c.Via != "" {
			t.Fatalf("via %q, %v", c.Via, err)
		}
		time.Sleep(time.Second)
		if opened, finished := s.tunnels.opened.Load(), s.tunnels.finished.Load(); opened != 3 || finished != 1 {
			t.Errorf("%d tunnels, %d left to the other instance, want 3 and 1", opened, finished)
		}
	})
}

// Guards against requests that are held although nobody reaches the upstream: while the link is known to be
// lost, they fail as soon as the others have declined.
func TestNobodyReachesIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // connections in the background end
		s := newSimulation("silent", false)
		for _, address := range []string{"a", "b"} {
			if _, _, err := s.connect(address); err == nil {
				t.Fatal("connected over a lost link")
			}
		}
		if _, took, err := s.connect("a"); !errors.Is(err, ErrUnreached) || took > tunnelOpenTime {
			t.Errorf("failed after %v: %v", took, err)
		}
	})
}

// Guards against requests that are held past their deadline by a connection that is not established.
func TestConnectionWaitsNoLongerThanTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // connections in the background end
		s := newSimulation("silent", false)
		s.connector.Tunnels = nil
		const remaining = 40 * time.Millisecond
		began := time.Now()
		_, err := s.connector.Connect(context.Background(), Target{Service: "s", Address: "a", Deadline: began.Add(remaining)})
		if took := time.Since(began); err == nil || took > remaining {
			t.Errorf("took %v, %v", took, err)
		}
	})
}

// Guards against more traffic over a link that is full: connections are slow there, not lost.
func TestSaturatedLinkOpensNoTunnels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // connections in the background end
		s := newSimulation("silent", true)
		s.connector.Saturated = func() bool { return true }
		if _, _, err := s.connect("a"); err == nil {
			t.Error("connected over a lost link")
		}
		if opened := s.tunnels.opened.Load(); opened != 0 {
			t.Errorf("%d tunnels opened over a full link", opened)
		}
	})
}

// Guards against the same waits again and again under load: an instance of which half of the upstreams are not
// reached, 200 connections a second for 10 s, serves all of them, and tries a lost link twice a second.
func TestLoadOverPartlyLostLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // connections in the background end
		s := newSimulation("up", true)
		lost := map[string]bool{"a": true, "b": true, "c": true}
		up, silent := s.link.dial, &simulatedLink{state: "silent"}
		s.connector.Direct.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			if lost[address] {
				return silent.dial(ctx, address)
			}
			return up(ctx, address)
		}
		const perSecond, seconds = 200, 10
		addresses := []string{"a", "b", "c", "d", "e", "f"}
		var running sync.WaitGroup
		var failed, slow atomic.Int32
		for n := range perSecond * seconds {
			time.Sleep(time.Second / perSecond)
			running.Go(func() {
				_, took, err := s.connect(addresses[n%len(addresses)])
				if err != nil {
					failed.Add(1)
				}
				if took > 2*tunnelOpenTime {
					slow.Add(1)
				}
			})
		}
		running.Wait()
		most := seconds * int(time.Second/checkInterval) * len(lost)
		dials := silent.numDials()
		if failed.Load() > 0 || slow.Load() > perSecond/2 || dials > most+perSecond/2 {
			t.Errorf("%d failed, %d slow, %d attempts over lost links (%d checks)", failed.Load(), slow.Load(), dials, most)
		}
	})
}

// connectingWith returns a call of Connect that is being made, with a connection that was established directly or
// through another instance.
func connectingWith(ctx context.Context, deadline time.Time, tunnelled bool) *connecting {
	a := &connecting{
		Connector: newSimulation("up", false).connector, ctx: ctx, target: Target{Service: "s", Address: "a", Deadline: deadline},
		directTried: true, tunnelTried: true,
	}
	near, _ := net.Pipe()
	results := make(chan attemptResult, 1)
	results <- attemptResult{connection: Connection{Conn: httpconn.NewConn(near, "a")}}
	if tunnelled {
		a.direct, a.tunnel = make(chan attemptResult), results
	} else {
		a.direct = results
	}
	return a
}

// Guards against requests that are refused although a connection was established in time: a busy process sees the
// connection and the end of the time at once.
func TestConnectionEstablishedInTimeIsTaken(t *testing.T) {
	expired, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	for _, tunnelled := range []bool{false, true} {
		for _, deadline := range []time.Time{{}, time.Now().Add(time.Hour)} {
			for range 100 { // of what is ready, Go chooses any
				if _, err := connectingWith(expired, deadline, tunnelled).run(); err != nil {
					t.Fatalf("tunnelled %t, deadline %v: %v", tunnelled, deadline, err)
				}
			}
		}
	}
}

// Guards against requests that are sent, and count as possibly run, although they are over.
func TestConnectionIsNotTakenForARequestThatIsOver(t *testing.T) {
	expired, cancelExpired := context.WithDeadline(t.Context(), time.Now())
	defer cancelExpired()
	if _, err := connectingWith(expired, time.Now(), false).takeEstablished(); err == nil {
		t.Error("taken after the request's deadline")
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := connectingWith(canceled, time.Time{}, false).takeEstablished(); err == nil {
		t.Error("taken for a client that is gone")
	}
}
