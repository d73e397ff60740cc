package settings

import (
	"errors"
	"strings"
	"testing"
)

const validRouter = `
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
	r, err := ParseRouter("f", []byte(validRouter))
	if err != nil {
		t.Fatal(err)
	}
	if r.LedgerShards != 4 || r.GracePeriod().Seconds() != 8 {
		t.Errorf("settings with defaults: %+v", r)
	}
}

// All invalid settings are reported together, so that an operator needs to correct a file only once.
func TestRouterSettingsNameEveryFault(t *testing.T) {
	text := strings.Replace(validRouter, `"127.0.0.1:1"`, `"here"`, 1) + "retry_ratio = 3.0\nahead_seconds = 0\n"
	_, err := ParseRouter("f", []byte(text))
	var invalid *InvalidError
	if !errors.As(err, &invalid) || len(invalid.Faults) != 3 {
		t.Errorf("got %v, want an InvalidError with 3 faults", err)
	}
}

// Guards against buffers of answers that exceed the memory of a small machine.
func TestMemoryForAnswersIsAShareOfTheProcess(t *testing.T) {
	for memoryMB, want := range map[string]int{"0": 0, "200": 40 << 20} {
		r, err := ParseRouter("f", []byte(validRouter+"memory_mb = "+memoryMB))
		if err != nil {
			t.Fatal(err)
		}
		if got := r.AnswerMemory(); got != want {
			t.Errorf("with %s MB: %d bytes, want %d", memoryMB, got, want)
		}
	}
}
