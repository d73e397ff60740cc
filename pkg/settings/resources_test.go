package settings

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against defaults that exceed the memory or the descriptors of a machine, and against settings that have no
// effect.
func TestResourcesAreSharesOfTheMachine(t *testing.T) {
	for _, c := range []struct {
		text                       string
		requestMemory, connections int
	}{
		{"memory_mb = 284\nmax_fds = 4100", 284 << 20 * 15 / 100, 1170},
		{"memory_mb = 100\nmax_fds = 4100", 15 << 20, 640},
		{"max_fds = 1000", defaultRequestMemory, 240},
		{"memory_mb = 284\nmax_fds = 4100\nrequest_memory_mb = 7\nmax_client_connections = 9", 7 << 20, 9},
	} {
		r, err := ParseRouter("f", []byte(validRouter+c.text))
		if err != nil {
			t.Fatal(err)
		}
		if memory, connections := r.RequestMemory(), r.ClientConnections(); memory != c.requestMemory || connections != c.connections {
			t.Errorf("%q: %d bytes, %d connections, want %d, %d", c.text, memory, connections, c.requestMemory, c.connections)
		}
	}
}

// Guards against a process without a setting for its descriptors that opens connections until it has none left.
func TestConnectionsAreBoundedByTheLimitOfTheProcess(t *testing.T) {
	r, err := ParseRouter("f", []byte(validRouter))
	if err != nil {
		t.Fatal(err)
	}
	if got, most := int64(r.ClientConnections()), r.maxFDs(); got < 1 || got > most/2 {
		t.Errorf("%d connections with %d descriptors", got, most)
	}
}

func TestResourcesOutOfRangeAreReported(t *testing.T) {
	for _, key := range []string{"memory_mb", "request_memory_mb", "max_fds", "max_client_connections"} {
		var invalid *InvalidError
		if _, err := ParseRouter("f", []byte(fmt.Sprintf("%s%s = -1\n", validRouter, key))); !errors.As(err, &invalid) || invalid.Faults[0].Key != key {
			t.Errorf("%s: got %v", key, err)
		}
	}
}
