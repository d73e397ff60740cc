package test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/lavenderring/lavenderring/platform/standin"
)

// Guards against an instance that refuses what it has read when most new connections come to it: its shares of the
// retries, of the connections to upstreams and of the account's tokens are those of one instance among many.
func TestOneInstanceServesWhatComesToAll(t *testing.T) {
	const (
		instances, clients, requestsPerClient = 7, 24, 20
		// minServed is the number of requests that must be served at the first attempt: three quarters.
		minServed = clients * requestsPerClient * 3 / 4
	)
	f := newRoutedFleet(t, instances, 10_000_000)
	for n := range 5 {
		u := f.startUpstream(fmt.Sprintf("more-%d", n), "models", streamEvents, n)
		f.engines = append(f.engines, u)
	}
	f.setFaults(f.engines, standin.UpstreamFaults{Delay: eventInterval})
	for n, i := range f.instances { // each instance holds some of the account's tokens
		f.await("an answer of each instance", func() bool {
			return f.send(i, fmt.Sprintf("before-%d", n), "stream", "x").status == http.StatusOK
		})
	}
	var mu sync.Mutex
	statuses := map[int]int{}
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() {
			for n := range requestsPerClient {
				id := fmt.Sprintf("c%d-%d", client, n)
				a := f.send(f.instances[0], id, []string{"stream", "safe"}[n%2], id)
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
			}
		})
	}
	running.Wait()
	if statuses[http.StatusOK] < minServed {
		t.Errorf("statuses %v, expected at least %d of %d served", statuses, minServed, clients*requestsPerClient)
	}
}
