package fingerprint

import "testing"

// Requests that differ in any part must have different fingerprints, also if only a byte moves
// from one part to the next.
func TestDifferentRequestsDiffer(t *testing.T) {
	seen := map[Fingerprint]string{}
	for name, f := range map[string]Fingerprint{
		"one":             Of("a", "h", Content("POST", "/x", []byte("body"))),
		"another body":    Of("a", "h", Content("POST", "/x", []byte("bodY"))),
		"another target":  Of("a", "h", Content("POST", "/xb", []byte("ody"))),
		"another method":  Of("a", "h", Content("PUT", "/x", []byte("body"))),
		"another account": Of("b", "h", Content("POST", "/x", []byte("body"))),
		"another host":    Of("a", "i", Content("POST", "/x", []byte("body"))),
		"a moved byte":    Of("ah", "", Content("POST", "/x", []byte("body"))),
	} {
		if other, taken := seen[f]; taken {
			t.Errorf("%s and %s have equal fingerprints", name, other)
		}
		seen[f] = name
	}
	again := Of("a", "h", Content("POST", "/x", []byte("body")))
	if seen[again] != "one" {
		t.Error("equal requests have different fingerprints")
	}
}
