package settings

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against defaults that exceed the memory of a machine, and against settings that have no effect.
func TestResourcesAreSharesOfTheMachine(t *testing.T) {
	for _, c := range []struct {
		text          string
		requestMemory int
	}{
		{"memory_mb = 284", 284 << 20 * 15 / 100},
		{"", defaultRequestMemory},
		{"memory_mb = 284\nrequest_memory_mb = 7", 7 << 20},
	} {
		r, err := ParseRouter("f", []byte(validRouter+c.text))
		if err != nil {
			t.Fatal(err)
		}
		if memory := r.RequestMemory(); memory != c.requestMemory {
			t.Errorf("%q: %d bytes, want %d", c.text, memory, c.requestMemory)
		}
	}
}

func TestResourcesOutOfRangeAreReported(t *testing.T) {
	for _, key := range []string{"memory_mb", "request_memory_mb"} {
		var invalid *InvalidError
		if _, err := ParseRouter("f", []byte(fmt.Sprintf("%s%s = -1\n", validRouter, key))); !errors.As(err, &invalid) || invalid.Faults[0].Key != key {
			t.Errorf("%s: got %v", key, err)
		}
	}
}
