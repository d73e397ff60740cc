package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// Guards against a copy that counts as current although a change is known that it lacks, or although
// nothing has confirmed it for longer than a change may take.
func TestCopyIsCurrentOnlyIfConfirmedAndNotBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &Follower{Kind: "k", Copy: &versionRecorder{}}
		check := func(step string, want bool) {
			t.Helper()
			if got := f.CurrentWithin(maxStaleness); got != want {
				t.Errorf("%s: current %t, want %t", step, got, want)
			}
		}
		check("never read", false)
		f.applyList(mainAt(5, 5))
		check("just read", true)
		f.Confirm(store.At(7), 0)
		check("behind", false)
		f.applyList(mainAt(8, 7))
		check("no longer behind", true)
		time.Sleep(maxStaleness + time.Millisecond)
		check("not confirmed", false)
		f.Confirm(store.At(7), 0)
		check("confirmed again", true)
	})
}
