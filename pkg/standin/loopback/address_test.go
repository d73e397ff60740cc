package loopback

import (
	"os"
	"testing"
)

// Guards against two test processes with the same addresses, because their process ids are equal modulo the number of
// networks: each takes the other's servers for its own.
func TestProcessesHaveDifferentNetworks(t *testing.T) {
	seen := map[int]bool{network(): true}
	for range 3 {
		n, err := reserve(os.Getpid())
		if err != nil {
			t.Fatal(err)
		}
		if seen[n] {
			t.Errorf("network %d is reserved twice", n)
		}
		seen[n] = true
	}
}
