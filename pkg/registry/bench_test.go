package registry

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStartOfAll measures adding the entries of thousands of upstreams that start together.
func BenchmarkStartOfAll(b *testing.B) {
	for b.Loop() {
		r := New(time.Now)
		for n := range 3000 {
			r.Put(Upstream{ID: fmt.Sprint("u", n), Service: "s", Address: fmt.Sprint("a", n)})
		}
		r.InService("s")
	}
}
