package test

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/outcome"
)

// runDomainCommand runs "lavenderring domain" and returns its output.
func (f *fleet) runDomainCommand(args ...string) string {
	f.t.Helper()
	all := append([]string{"domain", "--platform", f.platform.address}, args...)
	out, err := exec.Command(filepath.Join(binaries, "lavenderring"), all...).CombinedOutput()
	if err != nil {
		f.t.Fatalf("%v: %v: %s", args, err, out)
	}
	return string(out)
}

// awaitEmptied waits until every instance reports exactly these domains as emptied.
func (f *fleet) awaitEmptied(domains string) {
	f.t.Helper()
	for _, i := range f.instances {
		f.await("emptied "+domains, func() bool {
			status, err := f.status(i)
			return err == nil && fmt.Sprint(status.Emptied) == domains
		})
	}
}

// Guards against instances that run package entry ("lavenderring serve") and keep sending to a failure
// domain which operators have emptied, at any instance, and against instances that send nothing there
// after the domain was restored.
func TestOwnDoorSendsNothingToAnEmptiedDomain(t *testing.T) {
	f := newFleet(t, options{instances: 3, engines: 3, services: 3, prepaid: 10_000_000})
	send := func(n int) answer {
		return call(f.instances[n%3].address, crewKey, http.MethodPost, "/services/jobs/x", "", []byte("x"))
	}
	f.runDomainCommand("empty", domainOf(0))
	f.awaitEmptied("[" + domainOf(0) + "]")
	if out := f.runDomainCommand("--json", "list"); !strings.Contains(out, domainOf(0)) {
		t.Errorf("the emptied domain %s is not listed: %s", domainOf(0), out)
	}
	before := len(f.runsAt(f.services[0]))
	for n := range 30 {
		if a := send(n); a.status != http.StatusOK {
			t.Errorf("request %d: %d %s", n, a.status, a.body)
		}
	}
	if after := len(f.runsAt(f.services[0])); after != before {
		t.Errorf("%d requests reached the emptied domain", after-before)
	}
	f.runDomainCommand("restore", domainOf(0))
	f.awaitEmptied("[]")
	f.await("a request in the restored domain", func() bool {
		send(0)
		return len(f.runsAt(f.services[0])) > before
	})
}

// Guards against clients of package entry ("lavenderring serve") that wait for an upstream while all
// domains are emptied: they must be refused at once.
func TestOwnDoorRefusesAtOnceWhileAllDomainsAreEmptied(t *testing.T) {
	f := newFleet(t, options{instances: 1, engines: 1, services: 3, prepaid: 10_000_000})
	for n := range 3 {
		f.runDomainCommand("empty", domainOf(n))
	}
	f.awaitEmptied("[a b c]")
	start := time.Now()
	a := call(f.instances[0].address, crewKey, http.MethodPost, "/services/jobs/x", "", []byte("x"))
	if a.status != http.StatusServiceUnavailable || a.problem.Outcome != string(outcome.NotRun) || time.Since(start) > time.Second {
		t.Errorf("a request with all domains emptied got %d %s after %v", a.status, a.body, time.Since(start))
	}
}
