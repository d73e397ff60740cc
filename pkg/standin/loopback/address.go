// Package loopback hands out addresses for trials on one machine.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// port is below the range that outgoing connections take their ports from.
const port = 7001

var places atomic.Int64

// Address returns an address that nobody listens on: an IP address of its own, told
// apart from another process's by the process's id, so that no connection can take its
// port before it is listened on.
func Address() string {
	place := places.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+os.Getpid()%200, place/250, 1+place%250, port)
}
