package reach

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/owndelay"
)

// lateDial returns a function that connects after a time.
func lateDial(after time.Duration) httpconn.DialFunc {
	return func(ctx context.Context, _ string) (net.Conn, error) {
		select {
		case <-time.After(after):
			near, _ := net.Pipe()
			return near, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Guards against requests that are refused, and links that count as lost, because an instance on a busy machine
// takes its own delay for one of the upstreams. Links that are silent are still noticed.
func TestOwnDelayIsNoLostLink(t *testing.T) {
	const busy = 40 * time.Millisecond
	cases := []struct {
		description    string
		delay, connect time.Duration
		reached        bool
		atMost         time.Duration
	}{
		{"busy, connected late", busy, DialTimeout + busy, true, DialTimeout + busy},
		{"busy, the link is silent", busy, time.Hour, false, 3 * DialTimeout},
		{"not busy, connected late", 0, DialTimeout + busy, false, DialTimeout},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				meter, began := &owndelay.Meter{}, time.Now()
				direct := &Direct{Dial: lateDial(c.connect), Paths: NewPaths(time.Now, nil), Now: time.Now, Delay: meter}
				connector := &Connector{Direct: direct}
				time.AfterFunc(DialTimeout/2, func() { meter.Observe(c.delay) })
				_, err := connector.Connect(t.Context(), Target{Service: "s", Address: "u"})
				if took := time.Since(began); (err == nil) != c.reached || took > c.atMost {
					t.Errorf("error %v after %s, want one: %t, after at most %s", err, took, !c.reached, c.atMost)
				}
				time.Sleep(time.Minute)
				synctest.Wait()
			})
		})
	}
}

// Guards against a late connection for which a client waits beyond its own deadline.
func TestOwnDelayExtendsNoDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const remaining = DialTimeout / 2
		meter, began := &owndelay.Meter{}, time.Now()
		meter.Observe(time.Second)
		direct := &Direct{Dial: lateDial(time.Hour), Paths: NewPaths(time.Now, nil), Now: time.Now, Delay: meter}
		target := Target{Service: "s", Address: "u", Deadline: began.Add(remaining)}
		if _, err := (&Connector{Direct: direct}).Connect(t.Context(), target); err == nil || time.Since(began) != remaining {
			t.Errorf("error %v after %s, want one after %s", err, time.Since(began), remaining)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// Guards against a connection that is given up although it was established before its deadline was noticed.
func TestConnectionThatHasArrivedIsUsed(t *testing.T) {
	for range 100 { // the end of the time and the connection are noticed in any order
		ctx, cancel := context.WithTimeout(t.Context(), 0)
		<-ctx.Done()
		a := &connecting{Connector: &Connector{Direct: &Direct{Paths: NewPaths(time.Now, nil)}}, ctx: ctx, tunnelTried: true, directTried: true}
		a.reached = true
		a.tunnel = make(chan attemptResult, 1)
		near, _ := net.Pipe()
		a.tunnel <- attemptResult{connection: Connection{Conn: httpconn.NewConn(near, "u"), Via: "other"}}
		if connection, err := a.await(); err != nil || connection.Via != "other" {
			t.Fatalf("got a connection through %q, error %v", connection.Via, err)
		}
		cancel()
	}
}
