package test

import (
	"fmt"
	"net/http"
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
	broken, resumed := 0, 0
	for n := range untilCloseRequests {
		id := fmt.Sprintf("stream-%d", n)
		a := f.send(f.instances[0], id, "stream", id)
		if a.err == nil && a.body != streamBody(1, streamEvents) {
			t.Errorf("%s looks whole: status %d, %q", id, a.status, a.body)
		}
		if a.err != nil {
			broken++
		}
		id = fmt.Sprintf("resumable-%d", n)
		a = f.send(f.instances[0], id, "resumable", id)
		if a.err == nil && a.body != streamBody(1, streamEvents) {
			t.Errorf("%s looks whole: status %d, %q", id, a.status, a.body)
		}
		if a.err == nil && len(f.runsOf(id)) > 1 {
			resumed++
		}
	}
	if broken == 0 || resumed == 0 {
		t.Errorf("%d streams were broken off and %d went on at another engine, expected some of each", broken, resumed)
	}
}
