package document

import (
	"errors"
	"os"
	"strings"
	"testing"
)

const minimal = `service = "s"
[[accounts]]
name = "a"
key_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
prepaid_tokens = 10
[[pools]]
name = "p"
kind = "plain"
[[pools.upstreams]]
name = "u"
address = "127.0.0.1:1"
domain = "d"
`

// The error must list all invalid values of a document with their keys. If it
// listed only the first, the operator would need one attempt for each mistake.
func TestEveryFaultIsNamed(t *testing.T) {
	cases := []struct {
		description, from, to string
		keys                  []string
	}{
		{"nothing wrong", "", "", nil},
		{"negative prepaid", "prepaid_tokens = 10", "prepaid_tokens = -1", []string{"accounts[0].prepaid_tokens"}},
		{"no account's key", "key_sha256 = \"0", "key_sha256 = \"", []string{"accounts[0].key_sha256"}},
		{"an address by name", "127.0.0.1:1", "localhost:1", []string{"pools[0].upstreams[0].address"}},
		{"an unknown kind", `kind = "plain"`, `kind = "model"`, []string{"pools[0].model", "pools[0].max_output_tokens"}},
		{"an unknown key", "[[pools]]", "colour = 1\n[[pools]]", []string{"accounts.colour"}},
		{"two slips at once", "name = \"a\"\n", "name = \"A B\"\nweight = -3\n", []string{"accounts[0].name", "accounts[0].weight"}},
		{"no TOML", "[[pools]]", "[[pools", []string{"line"}},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(minimal, c.from, c.to, 1)))
			if len(c.keys) == 0 {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			var invalid *InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("Parse returned %v, want an *InvalidError", err)
			}
			for _, key := range c.keys {
				if !strings.Contains(err.Error(), key) {
					t.Errorf("%q does not name %s", err, key)
				}
			}
		})
	}
}

// New users copy the examples, so they must be valid documents.
func TestExamplesAreValid(t *testing.T) {
	for _, path := range []string{"../../examples/sirajganj.toml", "../../examples/betuwe-oost.toml"} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(text); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// Documents are written by hand, so no text may crash the instance that parses it.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("[[pools]]\nname=1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse(text)
		if (doc == nil) == (err == nil) {
			t.Errorf("Parse returned document %v and error %v, want exactly one of them", doc, err)
		}
	})
}
