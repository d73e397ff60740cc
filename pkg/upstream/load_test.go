package upstream

import "testing"

// Upstreams report their load as free text. Whatever they report, the choice of an
// upstream must get a number that is neither negative nor NaN, or -1 for no load.
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
