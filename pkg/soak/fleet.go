package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/lavenderring/lavenderring/pkg/standin/loopback"
	"github.com/lavenderring/lavenderring/pkg/standin/relay"
	"github.com/lavenderring/lavenderring/platform"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// stopTimeout is how long an instance may take for a planned stop before it is killed.
const stopTimeout = 8 * time.Second

// fleet is the system under test with the stand-ins for its store, operator and upstreams.
type fleet struct {
	opts      Options
	store     *standin.Server
	operator  *operator
	instances []*instance

	mu        sync.Mutex
	upstreams []*upstream // in service
	all       []*upstream // every one that was started, by incarnation
	// leaving has the upstreams that are announced as leaving and not yet withdrawn.
	leaving    map[*upstream]bool
	numStarted int
	closed     bool
	// onCrash is called when a request has crashed an upstream.
	onCrash func(u *upstream, ran standin.Run)
}

// instance is one instance: a separate process behind relays to its clients and to the store.
type instance struct {
	name, settingsPath          string
	clientAddress, readyAddress string
	clientRelay, storeRelay     *relay.Relay
	program                     string
	log                         *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// restartMu keeps two faults from starting the process twice.
	restartMu sync.Mutex
}

// upstream is one upstream stand-in behind a relay.
type upstream struct {
	*standin.Upstream
	service, domain, version string
	relay                    *relay.Relay
	relayAddress             string
}

func newFleet(opts Options, onCrash func(*upstream, standin.Run)) (*fleet, error) {
	f := &fleet{opts: opts, leaving: map[*upstream]bool{}, onCrash: onCrash}
	address := loopback.Address()
	var err error
	if f.store, err = standin.Start(address); err != nil {
		return nil, fmt.Errorf("start the store: %w", err)
	}
	f.operator = &operator{store: f.store, prepaid: poorTokens}
	for n := range opts.Upstreams {
		if err := f.addUpstream(serviceOf(n), domainOf(n)); err != nil {
			return nil, err
		}
	}
	if err := f.operator.write(); err != nil {
		return nil, err
	}
	var seeds []string
	for n := range opts.Instances {
		i, peerAddress, err := f.newInstance(n, address, seeds)
		if err != nil {
			return nil, err
		}
		if len(seeds) < maxSeeds {
			seeds = append(seeds, peerAddress)
		}
		f.instances = append(f.instances, i)
	}
	return f, nil
}

// maxSeeds is how many peers are listed as seeds in an instance's settings.
const maxSeeds = 3

// numVersions is the number of software versions that the upstreams of a service have.
const numVersions = 2

// numDomains is the number of failure domains.
const numDomains = 3

func domainOf(n int) string { return fmt.Sprintf("domain-%d", n%numDomains) }

func serviceOf(n int) string {
	if n%2 == 0 {
		return plainService
	}
	return engineService
}

func (f *fleet) newInstance(n int, store string, seeds []string) (*instance, string, error) {
	i := &instance{
		name: fmt.Sprintf("edge-%d", n), clientAddress: loopback.Address(), readyAddress: loopback.Address(), program: f.opts.Program,
	}
	peerAddress, listenAddress, storeAddress := loopback.Address(), loopback.Address(), loopback.Address()
	var err error
	if i.clientRelay, err = relay.Start(i.clientAddress, "", listenAddress); err != nil {
		return nil, "", fmt.Errorf("start a relay: %w", err)
	}
	if i.storeRelay, err = relay.Start(storeAddress, "", store); err != nil {
		return nil, "", fmt.Errorf("start a relay: %w", err)
	}
	text := fmt.Sprintf("name = %q\nregion = \"r\"\ndomain = %q\nclient_address = %q\nready_address = %q\n"+
		"peer_address = %q\nadmin_address = %q\nstore_address = %q\nseeds = [", i.name, domainOf(n), listenAddress, i.readyAddress,
		peerAddress, loopback.Address(), storeAddress)
	for _, seed := range seeds {
		text += fmt.Sprintf("%q, ", seed)
	}
	text += fmt.Sprintf("]\ngrace_seconds = %.1f\n", stopTimeout.Seconds())
	if hasFewRetries(f.opts.Seed) {
		text += fmt.Sprintf("retry_ratio = 0.0\nretry_extra = %d\n", fewRetries)
	}
	i.settingsPath = filepath.Join(f.opts.Dir, i.name+".toml")
	if err := os.WriteFile(i.settingsPath, []byte(text), 0o600); err != nil {
		return nil, "", err
	}
	if i.log, err = os.Create(filepath.Join(f.opts.Dir, i.name+".log")); err != nil {
		return nil, "", err
	}
	return i, peerAddress, i.start()
}

// start starts the instance's process.
func (i *instance) start() error {
	cmd := exec.Command(i.program, "route", i.settingsPath)
	cmd.Stdout, cmd.Stderr = i.log, i.log
	cmd.Env = append(os.Environ(), "GORACE=halt_on_error=1")
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cmd = cmd
	return cmd.Start()
}

// signal sends a signal to the current process.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.cmd.Process.Signal(s) // the process may have ended
}

// wait waits until the current process has ended, and kills it after a timeout.
func (i *instance) wait(timeout time.Duration) {
	i.mu.Lock()
	cmd := i.cmd
	i.mu.Unlock()
	kill := time.AfterFunc(timeout, func() { _ = cmd.Process.Kill() })
	defer kill.Stop()
	_ = cmd.Wait() // a killed process ends with an error
}

func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.readyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// addUpstream starts an upstream and announces it in the store.
func (f *fleet) addUpstream(service, domain string) error {
	f.mu.Lock()
	f.numStarted++
	id := fmt.Sprintf("u%d", f.numStarted)
	// Two successive upstreams are of different services.
	version := fmt.Sprint("v", 1+f.numStarted/2%numVersions)
	f.mu.Unlock()
	u := &upstream{service: service, domain: domain, version: version, relayAddress: loopback.Address()}
	if err := f.startUpstream(u, id, loopback.Address()); err != nil {
		return err
	}
	f.store.Announce(u.Upstream, service, domain, u.relayAddress, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams = append(f.upstreams, u)
	f.all = append(f.all, u)
	return nil
}

// startUpstream starts an upstream stand-in at an address, and the relay in front of it.
func (f *fleet) startUpstream(u *upstream, id, address string) error {
	events := 0
	if u.service == engineService {
		events = streamEvents
	}
	var err error
	if u.Upstream, err = standin.StartVersion(id, address, u.version, events); err != nil {
		return fmt.Errorf("start upstream %s: %w", id, err)
	}
	u.OnCrash = func(ran standin.Run) { f.onCrash(u, ran) }
	u.SetFaults(standin.UpstreamFaults{Delay: answerDelay, Fatal: crashMarker})
	if u.relay, err = relay.Start(u.relayAddress, "", u.Address); err != nil {
		return fmt.Errorf("start a relay: %w", err)
	}
	return nil
}

// removeUpstream takes an upstream out of service and returns it, or returns nil if its
// service would have too few left.
func (f *fleet) removeUpstream(n int) *upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[n%len(f.upstreams)]
	same := 0
	for _, other := range f.upstreams {
		if other.service == u.service {
			same++
		}
	}
	if same <= minUpstreams {
		return nil
	}
	for k, other := range f.upstreams {
		if other == u {
			f.upstreams = append(f.upstreams[:k], f.upstreams[k+1:]...)
			break
		}
	}
	return u
}

// minUpstreams is how many upstreams of a service stay in service.
const minUpstreams = 2

// upstreamAt returns upstream n, modulo the number of upstreams in service.
func (f *fleet) upstreamAt(n int) *upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[n%len(f.upstreams)]
}

// runs returns the runs at all upstreams, by request id.
func (f *fleet) runs() map[string][]standin.Run {
	f.mu.Lock()
	all := append([]*upstream{}, f.all...)
	f.mu.Unlock()
	runs := map[string][]standin.Run{}
	for _, u := range all {
		for _, run := range u.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	return runs
}

// close ends the processes, relays and stand-ins that the run has started.
func (f *fleet) close() {
	for _, i := range f.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		i.wait(stopTimeout)
		i.clientRelay.Close()
		i.storeRelay.Close()
		_ = i.log.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, u := range f.all {
		u.Close()
	}
	f.store.Close()
}
