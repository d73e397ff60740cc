package outcome

import "testing"

// NotRun is a guarantee to the client: it must never be reported once a
// connection may have sent a byte.
func TestWordFollowsFacts(t *testing.T) {
	cases := []struct {
		description string
		mark        func(*Tracker)
		want        Outcome
	}{
		{"nothing was dispatched", func(*Tracker) {}, NotRun},
		{"handed, no answer", func(f *Tracker) { f.MarkSending() }, Unknown},
		{"handed on one attempt of two", func(f *Tracker) { f.MarkSending(); f.MarkSending() }, Unknown},
		{"answered whole", func(f *Tracker) { f.MarkSending(); f.MarkAnswered() }, Ran},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			var f Tracker
			c.mark(&f)
			if got := f.Outcome(); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}
