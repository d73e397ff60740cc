package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// Guards against a copy that grows old while nothing tells operators so, and against a line for each look.
func TestAlarmTellsOnceOfAnOldCopyAndOnceOfItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []AgeReport
		alarm := &Alarm{Tell: func(r AgeReport) { told = append(told, r) }}
		f := &Follower{Kind: "k", Copy: &newest{}, Gate: &Gate{}, Timing: Timing{Last: time.Second}}
		alarm.Look("k", f) // it has not been read yet
		f.fresh.reach(store.At(1), store.At(1))
		f.Gate.Leave(false)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			alarm.Look("k", f)
		}
		f.fresh.reach(store.At(2), store.At(2))
		f.Gate.Leave(true)
		for range 5 {
			alarm.Look("k", f)
		}
		want := []AgeReport{
			{Copy: "k", Old: true, Age: 1100 * time.Millisecond},
			{Copy: "k", Age: 3 * time.Second, StoreAnswers: true},
		}
		if len(told) != len(want) || told[0] != want[0] || told[1] != want[1] {
			t.Errorf("told %+v", told)
		}
	})
}
