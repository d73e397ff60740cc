package test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/follow"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// oddEntries are entries that another program may write among those of upstreams.
var oddEntries = map[string]string{
	"nested":            `{"x":` + strings.Repeat("[", 9_998) + strings.Repeat("]", 9_998) + `}`,
	"large-number":      `{"service":"jobs","address":"127.0.0.1:9","state":"ready","slots":123456789012345678901234567890}`,
	"cold-for-ever":     `{"service":"jobs","address":"127.0.0.1:9","state":"ready","cold_remaining_ms":1e300}`,
	"port-out-of-range": `{"service":"jobs","address":"127.0.0.1:70000","state":"ready"}`,
	"port-negative":     `{"service":"jobs","address":"127.0.0.1:-1","state":"ready"}`,
}

// Guards against instances that end, or that follow the upstreams no longer, because another program wrote odd entries
// among them: an upstream that leaves afterwards must get nothing, and instances that start afterwards must serve.
func TestOddEntriesDoNotStopTheFollowing(t *testing.T) {
	f := newRoutedFleet(t, 2, 1_000_000_000)
	for name, entry := range oddEntries {
		_, err := f.client.Put(t.Context(), "servers/"+name, []byte(entry), store.NoPosition)
		f.must(err)
	}
	f.instances = append(f.instances, f.startInstance(2))
	f.await("the last instance to be ready", func() bool { return f.instances[2].isReady() })
	leaving := f.plainUpstreams[0]
	f.markLeaving(leaving)
	time.Sleep(follow.DefaultBound)
	before, served := len(leaving.Runs()), 0
	const requests = 30
	for n := range requests {
		r := f.send(f.instances[n%3], fmt.Sprint("odd-", n), "safe", "x")
		if r.status == http.StatusOK {
			served++
		}
	}
	if late := len(leaving.Runs()) - before; late > 0 || served < requests*9/10 {
		t.Errorf("%d requests reached the upstream that had left, %d of %d were served", late, served, requests)
	}
	for n, i := range f.instances {
		if !i.isReady() {
			t.Errorf("instance %d is not ready", n)
		}
	}
}
