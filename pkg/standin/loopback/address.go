// Package loopback allocates loopback addresses for tests on one machine.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

// port is below the ephemeral range, from which outgoing connections take their ports.
const port = 7001

// The networks 127.firstNetwork.0.0/16 and the numNetworks-1 after it are allocated to processes, one each. Which one
// a process has is marked by a listener on reservedHost in it.
const (
	firstNetwork = 16
	numNetworks  = 200
	reservedHost = "255.1"
)

// numAddresses counts the addresses that Address has returned.
var numAddresses atomic.Int64

// network returns the network of this process.
var network = sync.OnceValue(func() int {
	n, err := reserve(os.Getpid())
	if err != nil {
		panic(err)
	}
	return n
})

// reservations keeps the listeners that mark networks open as long as the process lasts.
var reservations struct {
	sync.Mutex
	listeners []net.Listener
}

// reserve reserves a network that no other process has, preferably the one that a number stands for.
func reserve(preferred int) (int, error) {
	var lastErr error
	for n := range numNetworks {
		candidate := firstNetwork + (preferred+n)%numNetworks
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%s:%d", candidate, reservedHost, port))
		if err != nil {
			lastErr = err
			continue
		}
		reservations.Lock()
		defer reservations.Unlock()
		reservations.listeners = append(reservations.listeners, listener)
		return candidate, nil
	}
	return 0, fmt.Errorf("all loopback networks are reserved: %w", lastErr)
}

// Address returns an address that nobody listens on. Each has an IP address of its own, so that no
// outgoing connection can take its port before a server listens on it, in a network that no other process has.
func Address() string {
	index := numAddresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", network(), index/250, 1+index%250, port)
}
