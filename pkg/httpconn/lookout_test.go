package httpconn

import (
	"net"
	"testing"
	"time"
)

// Guards against requests that are blamed for a crash where only their connection was reset.
func TestLookoutTellsCrashedFromReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	now := time.Unix(0, 0)
	pool := NewPool(time.Now)
	l := NewLookout(pool, func() time.Time { return now })
	if state := l.Look(address); state != Answering {
		t.Errorf("a peer that listens is %q", state)
	}
	if pool.Take(address) == nil {
		t.Error("the connection of the look is not kept")
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if state := l.Look(address); state != Answering {
		t.Errorf("a second look within the time of the first says %q", state)
	}
	now = now.Add(lookHolds)
	if state := l.Look(address); state != Crashed {
		t.Errorf("a peer that refuses is %q", state)
	}
}
