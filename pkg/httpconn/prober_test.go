package httpconn

import (
	"net"
	"testing"
	"time"
)

// Guards against blaming a request for a crash of its upstream when only its connection was reset.
func TestLookoutTellsCrashedFromReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	now := time.Unix(0, 0)
	pool := NewPool(time.Now)
	prober := NewPeerProber(DialTCP, pool, func(string) PeerState { return Crashed }, func() time.Time { return now })
	if state := prober.Probe(address); state != Answering {
		t.Errorf("state of a listening peer is %q, want Answering", state)
	}
	if pool.Get(address) == nil {
		t.Error("the probe's connection was not put into the pool")
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if state := prober.Probe(address); state != Answering {
		t.Errorf("state is %q before the first probe's result expired", state)
	}
	now = now.Add(probeResultLifetime)
	if state := prober.Probe(address); state != Crashed {
		t.Errorf("state of a peer that refuses connections is %q, want Crashed", state)
	}
}
