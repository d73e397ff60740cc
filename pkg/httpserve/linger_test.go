package httpserve

import (
	"bufio"
	"net/http"
	"testing"
)

// lastRequest is a request that asks for the end of its connection, with bytes behind it that are not read.
const lastRequest = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nunread"

// lingering returns how many connections are read on after their end.
func (s *connSet) lingering() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.numLingering
}

// Guards against clients that keep their connections open after the last answer and take all file descriptors.
func TestFewEndedConnectionsAreReadOn(t *testing.T) {
	s, _ := newClosableServer(t)
	s.Serve()
	most := 0
	for range 2 * maxLingering {
		client := dial(t, s)
		send(t, client, lastRequest)
		checkAnswer(t, bufio.NewReader(client), http.StatusOK, true)
		most = max(most, s.conns.lingering())
	}
	if most > maxLingering {
		t.Errorf("%d ended connections were read on at once, want %d at most", most, maxLingering)
	}
	await(t, "the ended connections to be closed", func() bool { return s.conns.lingering() == 0 && len(s.conns.all()) == 0 })
}
