package httpserve

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// isClosed reports whether a client's connection has been closed.
func isClosed(client net.Conn) bool {
	_, err := client.Read(make([]byte, 1))
	return err != nil
}

// Guards against clients that hold connections until the process has no descriptors left.
func TestConnectionThatWaitsLongestMakesRoom(t *testing.T) {
	const most = 4
	b := newBoundedServer(t, testBodyBytes, func(o *Options) { o.MaxConns = most })
	unused, half, answered := dial(t, b.Server), dial(t, b.Server), dial(t, b.Server)
	await(t, "three connections to be accepted", func() bool { return len(b.conns.all()) == 3 })
	send(t, half, wholeRequest[:8])
	if status, _, _ := exchange(t, answered, wholeRequest); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	for n := range 3 {
		client := dial(t, b.Server)
		if status, _, _ := exchange(t, client, wholeRequest); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		if n == 1 && !isClosed(unused) {
			t.Error("the connection that waits longest is open")
		}
	}
	if !isClosed(half) {
		t.Error("the connection with half a head is open")
	}
	send(t, answered, wholeRequest)
	checkAnswer(t, bufio.NewReader(answered), http.StatusOK, false)
	if got := b.Excess().ConnsClosed; got != 2 {
		t.Errorf("%d closed connections were counted, want 2", got)
	}
}

// Guards against requests in progress that are cut off for new connections.
func TestRequestsInProgressKeepTheirConnections(t *testing.T) {
	const most = 3
	b := newBoundedServer(t, testBodyBytes, func(o *Options) { o.MaxConns = most })
	b.hold = make(chan struct{})
	var working []net.Conn
	for range most {
		client := dial(t, b.Server)
		send(t, client, wholeRequest)
		working = append(working, client)
	}
	await(t, "the requests to be in progress", func() bool { return b.NumActive() == most })
	for range 2 * most {
		if !isClosed(dial(t, b.Server)) {
			t.Error("a connection beyond the bound is open")
		}
	}
	close(b.hold)
	for _, client := range working {
		checkAnswer(t, bufio.NewReader(client), http.StatusOK, false)
	}
	next := dial(t, b.Server)
	send(t, next, wholeRequest)
	checkAnswer(t, bufio.NewReader(next), http.StatusOK, false)
}

// Guards against a server that counts connections which have ended.
func TestEndedConnectionsLeaveRoom(t *testing.T) {
	const most = 2
	b := newBoundedServer(t, testBodyBytes, func(o *Options) { o.MaxConns = most })
	for range 10 * most {
		client := dial(t, b.Server)
		if status, _, _ := exchange(t, client, wholeRequest); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		_ = client.Close()
		await(t, "the connection to end", func() bool { return len(b.conns.all()) == 0 })
	}
	if got := b.Excess().ConnsClosed; got != 0 {
		t.Errorf("%d connections were closed", got)
	}
}

// Guards against a request that is passed on although its connection has just been closed for another: it would run, and
// its client get no answer.
func TestConnectionIsClosedOrItsRequestBegun(t *testing.T) {
	s, _ := newClosableServer(t)
	_, closed := accept(t, s)
	if !closed.cutIfWaiting() || !closed.isGone() {
		t.Error("a connection that was closed while it waited does not count as gone")
	}
	_, begun := accept(t, s)
	begun.serving = true // as beginServing notes it
	if begun.cutIfWaiting() || begun.isGone() {
		t.Error("a connection was closed while its request was being served")
	}
}
