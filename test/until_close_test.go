package test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/lavenderring/lavenderring/platform/standin"
)

// untilCloseRequests is how many requests each test sends on each route.
const untilCloseRequests = 10

// Guards against whole answers that are taken for broken ones because they have neither a length nor chunks and
// end with their connection.
func TestAnswersThatEndWithTheirConnectionAreWhole(t *testing.T) {
	f := newRoutedFleet(t, 1, 1_000_000)
	f.setFaults(f.plainUpstreams, standin.UpstreamFaults{UntilClose: true})
	f.setFaults(f.engines, standin.UpstreamFaults{UntilClose: true})
	for _, route := range []string{"once", "safe", "stream", "resumable"} {
		for n := range untilCloseRequests {
			id := fmt.Sprintf("%s-%d", route, n)
			a := f.send(f.instances[0], id, route, id)
			isStream := route == "stream" || route == "resumable"
			if a.err != nil || a.status != http.StatusOK || len(f.runsOf(id)) != 1 || (isStream && a.body != streamBody(1, streamEvents)) {
				t.Errorf("%s: status %d, %q, %v", id, a.status, a.body, a.err)
			}
		}
	}
}

// Guards against a stream that ends with its connection inside an event and looks whole to its client.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	f := newRoutedFleet(t, 1, 1_000_000)
	f.retryExtra = 1000
	f.setFaults(f.engines[:2], standin.UpstreamFaults{UntilClose: true, CutAfter: 3})
	var broken, resumed atomic.Int32
	var running sync.WaitGroup
	for n := range untilCloseRequests {
		for _, route := range []string{"stream", "resumable"} {
			running.Go(func() {
				id := fmt.Sprintf("%s-%d", route, n)
				a := f.send(f.instances[0], id, route, id)
				switch {
				case a.err != nil:
					broken.Add(1)
				case a.body != streamBody(1, streamEvents):
					t.Errorf("%s looks whole: status %d, %q", id, a.status, a.body)
				case len(f.runsOf(id)) > 1:
					resumed.Add(1)
				}
			})
		}
	}
	running.Wait()
	if broken.Load() == 0 || resumed.Load() == 0 {
		t.Errorf("%d streams were broken off and %d went on at another engine, expected some of each", broken.Load(), resumed.Load())
	}
}
