package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/lavenderring/lavenderring/pkg/standin/loopback"
)

// Guards against whole answers that clients get only after the engine that was silent beside them has been asked
// what its attempt cost: it does not answer that either.
func TestWholeAnswerDoesNotWaitForASilentEngine(t *testing.T) {
	for _, stream := range []bool{true, false} {
		s := newSite(t, 2, shortIdle)
		s.allowRetries(maxSavedRetries)
		listener, err := net.Listen("tcp", loopback.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		var numGivenUp atomic.Int32
		go acceptSilently(listener, &numGivenUp)
		silent := s.preferred()
		s.doc.Pools[0].Upstreams[silent].Address = listener.Addr().String()
		s.apply(2)
		s.expectWhole(s.ask(stream), stream)
		if n := numGivenUp.Load(); n > 0 {
			t.Errorf("stream %t: the answer came after the silent engine had been waited for %d times", stream, n)
		}
		s.awaitIdle()
	}
}

// acceptSilently accepts requests and answers none. It counts the requests to cancel another one that were given up.
func acceptSilently(listener net.Listener, numGivenUp *atomic.Int32) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			received, _ := io.ReadAll(conn)
			if strings.HasPrefix(string(received), http.MethodPost+" /cancel/") {
				numGivenUp.Add(1)
			}
		}()
	}
}
