package outcome

import "testing"

// "Not run" is a promise: once a connection may have taken a byte it is never
// said, whatever else happens.
func TestWordFollowsFacts(t *testing.T) {
	cases := []struct {
		description string
		mark        func(*Facts)
		want        Word
	}{
		{"nothing was dispatched", func(*Facts) {}, NotRun},
		{"handed, no answer", func(f *Facts) { f.MarkHanded() }, Unknown},
		{"handed on one attempt of two", func(f *Facts) { f.MarkHanded(); f.MarkHanded() }, Unknown},
		{"answered whole", func(f *Facts) { f.MarkHanded(); f.MarkAnswered() }, Ran},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			var f Facts
			c.mark(&f)
			if got := f.Word(); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}
