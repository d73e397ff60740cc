package upstream

import "testing"

// A load comes from outside; whatever it says, the choice of an upstream must
// see a plain number or none.
func FuzzParseLoad(f *testing.F) {
	for _, text := range []string{"", "1/2", "NaN/1", "-1/2", "1e309/0", "/", "1/2/3"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if load := parseLoad(text); load != load || (load < 0 && load != -1) {
			t.Errorf("parseLoad(%q) = %v", text, load)
		}
	})
}
