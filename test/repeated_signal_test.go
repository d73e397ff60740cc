package test

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/platform/standin"
)

// signalGap is the pause between two signals.
const signalGap = 300 * time.Millisecond

// Guards against a planned stop that a further signal cuts short: the signal to stop comes again, and
// the settings change meanwhile. Clients on kept connections lose nothing.
func TestRepeatedSignalsCutNothing(t *testing.T) {
	f := newRoutedFleet(t, 2, 10_000_000)
	f.setFaults(f.engines, standin.UpstreamFaults{Delay: 50 * time.Millisecond})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range f.instances {
		clients.Go(func() { f.sendUntilStopped(c, stop) })
	}
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		f.instances[0].signal(s)
		time.Sleep(signalGap)
	}
	if err := f.instances[0].cmd.Wait(); err != nil {
		t.Errorf("the stopped instance ended with %v", err)
	}
	close(stop)
	clients.Wait()
}

// Guards against an instance that is stopped while it starts and does not end by itself, or cuts off
// requests that wait for its configuration.
func TestStopDuringAStartRefusesWhatWaits(t *testing.T) {
	f := newRoutedFleet(t, 1, 1_000_000)
	i := f.instances[0]
	i.kill()
	f.store.SetFaults(standin.Faults{Outage: true})
	i.process = f.startProcess(i)
	awaitListening(t, i.clientAddress)
	answered := make(chan response, 1)
	go func() { answered <- f.send(i, "early", "once", "x") }()
	time.Sleep(signalGap)
	i.signal(syscall.SIGTERM)
	if a := <-answered; a.err != nil || a.status != http.StatusServiceUnavailable || len(f.runsOf("early")) != 0 {
		t.Errorf("the waiting request got %+v", a)
	}
	if err := i.cmd.Wait(); err != nil {
		t.Errorf("the stopped instance ended with %v", err)
	}
}
