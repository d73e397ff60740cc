package httpconn

import (
	"net"
	"testing"
	"time"
)

// peer accepts connections and hands them over.
func peer(t *testing.T) (address string, accepted chan net.Conn) {
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

func dial(t *testing.T, p *Pool, address string) *Conn {
	t.Helper()
	conn, err := Dial(t.Context(), address, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	p.Opened(address)
	return conn
}

// await waits until a condition holds that the network brings about.
func await(t *testing.T, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("gave up waiting")
}

// An upstream closes a kept connection, or sends an answer that nobody asked for
// on it. The next caller's request must not go out there: it would be lost, or
// get another's answer.
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
			address, accepted := peer(t)
			p := NewPool(time.Now)
			conn := dial(t, p, address)
			c.spoil(<-accepted)
			await(t, func() bool { return !conn.alive() })
			p.Keep(conn, time.Minute)
			if p.Take(address) != nil {
				t.Error("a spoiled connection was handed out")
			}
			if p.Open(address) != 0 {
				t.Error("it still counts as open")
			}
		})
	}
}

// A good connection is handed out again while it is young enough: well before the
// peer's own limit, since a request that crosses its close may or may not have run.
func TestKeptConnectionIsReusedInTime(t *testing.T) {
	address, accepted := peer(t)
	now := time.Now()
	p := NewPool(func() time.Time { return now })
	conn := dial(t, p, address)
	defer func() { _ = (<-accepted).Close() }()
	p.Keep(conn, 10*time.Second)
	now = now.Add(5 * time.Second)
	if p.Take(address) != conn {
		t.Fatal("a good connection was not handed out")
	}
	p.Keep(conn, 10*time.Second)
	now = now.Add(7 * time.Second)
	if p.Take(address) != nil {
		t.Error("an old connection was handed out")
	}
}
