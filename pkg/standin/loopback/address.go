// Package loopback allocates loopback addresses for tests on one machine.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// port is below the ephemeral range, from which outgoing connections take their ports.
const port = 7001

// numAddresses counts the addresses that Address has returned.
var numAddresses atomic.Int64

// Address returns an address that nobody listens on. Each has an IP address of its own, so that no
// outgoing connection can take its port before a server listens on it. The process ID, modulo 200,
// is part of the IP address and keeps apart those of other processes.
func Address() string {
	index := numAddresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+os.Getpid()%200, index/250, 1+index%250, port)
}
