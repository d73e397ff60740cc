package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// benchTokens is how long the benchmark's answers are at most.
const benchTokens = 8

// measurePath sends whole answers one after the other to an address and reports
// the time of each at the median and the 99th percentile.
func measurePath(b *testing.B, address string) {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for n := 0; b.Loop(); n++ {
		before := time.Now()
		a := askDirect(address, fmt.Sprintf("bench-%d-%d", time.Now().UnixNano(), n))
		if !a.whole {
			b.Fatalf("got %d %s %v", a.status, a.body, a.err)
		}
		_ = histogram.RecordValue(time.Since(before).Microseconds())
	}
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-µs")
}

// askDirect asks with a request id of its own, which an engine needs and an
// instance replaces.
func askDirect(address, id string) answer {
	body := fmt.Appendf(nil, `{"model":"leak-report","max_tokens":%d,"messages":[{"role":"user","content":"?"}]}`, benchTokens)
	return callWithID(giveUpAfter, address, crewKey, "POST", "/v1/chat/completions", "", id, body)
}

// BenchmarkPath compares, in one run, an engine asked directly with the same
// engine asked through an instance of a fleet of three.
func BenchmarkPath(b *testing.B) {
	f := newFleet(b, options{instances: 3, engines: 1, prepaid: 1 << 40, tokenMillis: 1})
	for _, p := range f.instances {
		if a := ask(p.address, crewKey, false, benchTokens, question); !a.whole {
			b.Fatalf("got %d %s", a.status, a.body)
		}
	}
	b.Run("direct", func(b *testing.B) { measurePath(b, f.engines[0].address) })
	b.Run("through-an-instance", func(b *testing.B) { measurePath(b, f.instances[0].address) })
}
