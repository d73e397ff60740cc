package httpconn

import (
	"net"
	"testing"
	"time"
)

// startPeer starts a listener and returns its address and a channel of the accepted connections.
func startPeer(t *testing.T) (address string, accepted chan net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	accepted = make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return listener.Addr().String(), accepted
}

func dialPeer(t *testing.T, p *Pool, address string) *Conn {
	t.Helper()
	conn, err := DialStore(t.Context(), address, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	p.CountOpened(address)
	return conn
}

// waitUntil waits for a condition that becomes true once data has arrived over the network.
func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition not met after 1000 checks")
}

// Guards against reusing an idle connection that an upstream has closed or has sent an
// unsolicited answer on. The next client's request would be lost, or get an answer that
// belongs to another request.
func TestSpoiledConnectionIsNotReused(t *testing.T) {
	cases := []struct {
		description string
		spoil       func(net.Conn)
	}{
		{"closed by the peer", func(c net.Conn) { _ = c.Close() }},
		{"reset by the peer", func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}},
		{"an answer too many", func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) }},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			address, accepted := startPeer(t)
			p := NewPool(time.Now)
			conn := dialPeer(t, p, address)
			c.spoil(<-accepted)
			waitUntil(t, func() bool { return !conn.isReusable() })
			p.Put(conn, time.Minute)
			if p.Get(address) != nil {
				t.Error("Get returned an unusable connection")
			}
			if p.NumOpen(address) != 0 {
				t.Error("the unusable connection still counts as open")
			}
		})
	}
}

// Guards against reusing an idle connection shortly before the peer's idle timeout: a request
// that crosses the peer's close may or may not have run. Until idleTimeoutFraction of the
// timeout, the connection must be reused.
func TestKeptConnectionIsReusedInTime(t *testing.T) {
	address, accepted := startPeer(t)
	now := time.Now()
	p := NewPool(func() time.Time { return now })
	conn := dialPeer(t, p, address)
	defer func() { _ = (<-accepted).Close() }()
	p.Put(conn, 10*time.Second)
	now = now.Add(5 * time.Second)
	if p.Get(address) != conn {
		t.Fatal("Get did not return a usable connection")
	}
	p.Put(conn, 10*time.Second)
	now = now.Add(7 * time.Second)
	if p.Get(address) != nil {
		t.Error("Get returned a connection that was idle for too long")
	}
}
