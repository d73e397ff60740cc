package door

import "testing"

// Guards against request smuggling: two HTTP implementations see the end of a request at
// different places, and what lies between is read as another request. The framing of such
// a request must be rejected.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	cases := []struct {
		description, head string
		refused           bool
	}{
		{"a length", "Host: h\r\nContent-Length: 5\r\n\r\n", false},
		{"chunks", "Host: h\r\nTransfer-Encoding: Chunked\r\n\r\n", false},
		{"neither", "Host: h\r\n\r\n", false},
		{"both a length and chunks", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"two lengths", "Content-Length: 5\r\nContent-Length: 6\r\n\r\n", true},
		{"the same length twice", "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", true},
		{"a list of lengths", "Content-Length: 5, 5\r\n\r\n", true},
		{"a signed length", "Content-Length: +5\r\n\r\n", true},
		{"an empty length", "Content-Length:\r\n\r\n", true},
		{"two codings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"another coding", "Transfer-Encoding: gzip, chunked\r\n\r\n", true},
		{"a hidden coding", "Transfer-Encoding: xchunked\r\n\r\n", true},
		{"a bare line feed", "Host: h\nContent-Length: 5\r\n\r\n", true},
		{"a folded line", "Host: h\r\n Content-Length: 5\r\n\r\n", true},
		{"a blank before the colon", "Content-Length : 5\r\n\r\n", true},
		{"a line without a colon", "Host: h\r\nContent-Length\r\n\r\n", true},
		{"a carriage return within a line", "Host: h\rContent-Length: 5\r\n\r\n", true},
		{"a zero octet", "Host: h\x00\r\n\r\n", true},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			if err := checkFraming([]byte(c.head)); (err != nil) != c.refused {
				t.Errorf("checkFraming returned %v", err)
			}
		})
	}
}

// For any input, checkFraming must return and not panic.
func FuzzCheckFraming(f *testing.F) {
	f.Add([]byte("Host: h\r\n\r\n"))
	f.Add([]byte("\n:\r"))
	f.Fuzz(func(_ *testing.T, raw []byte) { _ = checkFraming(raw) })
}
