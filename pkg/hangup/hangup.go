// Package hangup lets no SIGHUP end an instance. If the first argument of the program is a command that runs
// an instance, C code of this package ignores the signal from before the Go runtime starts until Receive is
// called.
package hangup

import "C"

import (
	"os"
	"os/signal"
	"syscall"
)

// Receive returns a channel that receives a SIGHUP from now on; those that arrive while one waits to be taken
// count as one with it.
func Receive() <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	return received
}
