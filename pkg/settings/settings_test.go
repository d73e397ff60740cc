package settings

import (
	"errors"
	"strings"
	"testing"
)

const minimal = `name = "i"
domain = "a"
caller_address = "127.0.0.1:1"
peer_address = "127.0.0.1:2"
admin_address = "127.0.0.1:3"
platform_address = "127.0.0.1:4"
`

func TestFaultsNameFileKeyValueAndAllowed(t *testing.T) {
	cases := []struct{ description, add, key string }{
		{"nothing wrong", "", ""},
		{"an unknown key", "colour = 1", "colour"},
		{"too many shards", "ledger_shards = 5000", "ledger_shards"},
		{"silent below two heartbeats", "heartbeat_millis = 2000", "peer_silent_millis"},
		{"a seed by name", `seeds = ["peer:1"]`, "seeds[0]"},
		{"a short token hash", `admin_token_sha256 = "00"`, "admin_token_sha256"},
		{"the wrong type", `ahead_seconds = "two"`, "(file)"},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			_, err := Parse("i.toml", []byte(minimal+c.add))
			if c.key == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			var invalid *InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("got %v, want an InvalidError", err)
			}
			text := err.Error()
			if !strings.Contains(text, "i.toml: "+c.key) || !strings.Contains(text, "allowed is") {
				t.Errorf("%q does not name the file, the key and the allowed values", text)
			}
		})
	}
}
