package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// Guards against a stale copy that is never reported, and against a report for every check instead
// of one at the start and one at the end.
func TestAlarmTellsOnceOfAnOldCopyAndOnceOfItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reports []AgeReport
		monitor := &AgeMonitor{Report: func(r AgeReport) { reports = append(reports, r) }}
		f := &Follower{Kind: "k", Copy: &versionRecorder{}, Breaker: &CircuitBreaker{}, Timing: Timing{LastTimeout: time.Second}}
		monitor.Check("k", f) // not read yet
		f.fresh.recordRead(store.At(1), store.At(1))
		f.Breaker.Record(false)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			monitor.Check("k", f)
		}
		f.fresh.recordRead(store.At(2), store.At(2))
		f.Breaker.Record(true)
		for range 5 {
			monitor.Check("k", f)
		}
		want := []AgeReport{
			{Copy: "k", Stale: true, Age: 1100 * time.Millisecond},
			{Copy: "k", Age: 3 * time.Second, StoreAnswers: true},
		}
		if len(reports) != len(want) || reports[0] != want[0] || reports[1] != want[1] {
			t.Errorf("unexpected reports: %+v", reports)
		}
	})
}
