package settings

import (
	"errors"
	"strings"
	"testing"
)

const goodRouter = `
name = "edge-1"
region = "r"
domain = "a"
client_address = "127.0.0.1:1"
ready_address = "127.0.0.1:2"
peer_address = "127.0.0.1:3"
admin_address = "127.0.0.1:4"
store_address = "127.0.0.1:5"
`

func TestRouterSettingsHaveDefaults(t *testing.T) {
	r, err := ParseRouter("f", []byte(goodRouter))
	if err != nil {
		t.Fatal(err)
	}
	if r.LedgerShards != 4 || r.Grace().Seconds() != 8 {
		t.Errorf("got %+v", r)
	}
}

// Every wrong setting is named at once, so that an operator corrects a file once.
func TestRouterSettingsNameEveryFault(t *testing.T) {
	text := strings.Replace(goodRouter, `"127.0.0.1:1"`, `"here"`, 1) + "retry_ratio = 3.0\nahead_seconds = 0\n"
	_, err := ParseRouter("f", []byte(text))
	var invalid *InvalidError
	if !errors.As(err, &invalid) || len(invalid.Faults) != 3 {
		t.Errorf("got %v", err)
	}
}
