package origin

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRank measures the choice of the instances that hold copies of a record.
func BenchmarkRank(b *testing.B) {
	for _, size := range []int{9, 90, 330} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			members := make([]Member, size)
			for n := range members {
				members[n] = Member{Name: fmt.Sprint("edge-", n), Domain: fmt.Sprint(n % 8), Address: fmt.Sprint(n)}
			}
			for n := 0; b.Loop(); n++ {
				rankMembers(KeyOf("account", fmt.Sprint(n)), members, numCopies)
			}
		})
	}
}

// BenchmarkMemory measures the memory of a record.
func BenchmarkMemory(b *testing.B) {
	const records = 10_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := newTable(time.Now)
		for n := range records {
			t.merge(newRecord("account", fmt.Sprint(n), Origin{Service: "s", Version: "v"}, time.Now().Add(time.Minute)))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "bytes/record")
		runtime.KeepAlive(t)
	}
}
