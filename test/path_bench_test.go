package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxBenchTokens bounds the length of the benchmark's answers, in tokens.
const maxBenchTokens = 8

// measureLatency sends requests one after the other to an address and reports the
// median and the 99th percentile of the time to the whole answer.
func measureLatency(b *testing.B, address string) {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for n := 0; b.Loop(); n++ {
		before := time.Now()
		a := askWithID(address, fmt.Sprintf("bench-%d-%d", time.Now().UnixNano(), n))
		if !a.whole {
			b.Fatalf("a request to %s got %d %s %v", address, a.status, a.body, a.err)
		}
		_ = histogram.RecordValue(time.Since(before).Microseconds())
	}
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-µs")
}

// askWithID sends a model request with a request id, which an engine needs and an
// instance replaces.
func askWithID(address, id string) answer {
	body := fmt.Appendf(nil, `{"model":"leak-report","max_tokens":%d,"messages":[{"role":"user","content":"?"}]}`, maxBenchTokens)
	return callWithID(waitTimeout, address, crewKey, "POST", "/v1/chat/completions", "", id, body)
}

// BenchmarkPath compares, in one run, the latency of an engine that is queried
// directly with that of the same engine behind an instance of a fleet of three.
func BenchmarkPath(b *testing.B) {
	f := newFleet(b, options{instances: 3, engines: 1, prepaid: 1 << 40, tokenMillis: 1})
	for _, p := range f.instances {
		if a := askModel(p.address, crewKey, false, maxBenchTokens, samplePrompt); !a.whole {
			b.Fatalf("the warm-up request got %d %s", a.status, a.body)
		}
	}
	b.Run("direct", func(b *testing.B) { measureLatency(b, f.engines[0].address) })
	b.Run("through-an-instance", func(b *testing.B) { measureLatency(b, f.instances[0].address) })
}
