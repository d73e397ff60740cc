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

// grace is how long an instance may take for a planned stop before it is killed.
const grace = 8 * time.Second

// fleet is the system under test and what stands around it.
type fleet struct {
	opts      Options
	store     *standin.Server
	operator  *operator
	instances []*instance

	mu        sync.Mutex
	upstreams []*upstream // those in service
	all       []*upstream
	// leaving are those that have said that they leave and are still there.
	leaving map[*upstream]bool
	made    int
	closed  bool
	// onCrash is told of an upstream that a request ended.
	onCrash func(u *upstream, ran standin.Run)
}

// instance is one instance as a process of its own, behind relays.
type instance struct {
	name, settings     string
	clients, ready     string
	toClients, toStore *relay.Relay
	program            string
	log                *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// restarting keeps two faults from starting the process twice.
	restarting sync.Mutex
}

// upstream is one upstream behind a relay.
type upstream struct {
	*standin.Upstream
	service, domain string
	relay           *relay.Relay
	relayAddress    string
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
		i, peers, err := f.newInstance(n, address, seeds)
		if err != nil {
			return nil, err
		}
		if len(seeds) < mostSeeds {
			seeds = append(seeds, peers)
		}
		f.instances = append(f.instances, i)
	}
	return f, nil
}

// mostSeeds is how many peers an instance is told of at its start.
const mostSeeds = 3

// domains is the number of failure domains.
const domains = 3

func domainOf(n int) string { return fmt.Sprintf("domain-%d", n%domains) }

func serviceOf(n int) string {
	if n%2 == 0 {
		return plainService
	}
	return engineService
}

func (f *fleet) newInstance(n int, store string, seeds []string) (*instance, string, error) {
	i := &instance{
		name: fmt.Sprintf("edge-%d", n), clients: loopback.Address(), ready: loopback.Address(), program: f.opts.Program,
	}
	peers, behind, toStore := loopback.Address(), loopback.Address(), loopback.Address()
	var err error
	if i.toClients, err = relay.Start(i.clients, "", behind); err != nil {
		return nil, "", fmt.Errorf("start a relay: %w", err)
	}
	if i.toStore, err = relay.Start(toStore, "", store); err != nil {
		return nil, "", fmt.Errorf("start a relay: %w", err)
	}
	text := fmt.Sprintf("name = %q\nregion = \"r\"\ndomain = %q\nclient_address = %q\nready_address = %q\n"+
		"peer_address = %q\nadmin_address = %q\nstore_address = %q\nseeds = [", i.name, domainOf(n), behind, i.ready,
		peers, loopback.Address(), toStore)
	for _, seed := range seeds {
		text += fmt.Sprintf("%q, ", seed)
	}
	text += fmt.Sprintf("]\ngrace_seconds = %.1f\n", grace.Seconds())
	i.settings = filepath.Join(f.opts.Dir, i.name+".toml")
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return nil, "", err
	}
	if i.log, err = os.Create(filepath.Join(f.opts.Dir, i.name+".log")); err != nil {
		return nil, "", err
	}
	return i, peers, i.start()
}

// start starts the process.
func (i *instance) start() error {
	cmd := exec.Command(i.program, "route", i.settings)
	cmd.Stdout, cmd.Stderr = i.log, i.log
	cmd.Env = append(os.Environ(), "GORACE=halt_on_error=1")
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cmd = cmd
	return cmd.Start()
}

// signal sends a signal to the present process.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.cmd.Process.Signal(s) // one that has ended needs none
}

// wait waits until the present process has ended; it is killed after a time.
func (i *instance) wait(most time.Duration) {
	i.mu.Lock()
	cmd := i.cmd
	i.mu.Unlock()
	kill := time.AfterFunc(most, func() { _ = cmd.Process.Kill() })
	defer kill.Stop()
	_ = cmd.Wait() // killed ones end with an error
}

func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// addUpstream starts an upstream and has the store know of it.
func (f *fleet) addUpstream(service, domain string) error {
	f.mu.Lock()
	f.made++
	id := fmt.Sprintf("u%d", f.made)
	f.mu.Unlock()
	u := &upstream{service: service, domain: domain, relayAddress: loopback.Address()}
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

// startUpstream starts an upstream's process at an address, and the relay before it.
func (f *fleet) startUpstream(u *upstream, id, address string) error {
	events := 0
	if u.service == engineService {
		events = streamEvents
	}
	var err error
	if u.Upstream, err = standin.StartUpstream(id, address, events); err != nil {
		return fmt.Errorf("start an upstream: %w", err)
	}
	u.OnCrash = func(ran standin.Run) { f.onCrash(u, ran) }
	u.SetFaults(standin.UpstreamFaults{Delay: workTime, Fatal: fatalMark})
	if u.relay, err = relay.Start(u.relayAddress, "", u.Address); err != nil {
		return fmt.Errorf("start a relay: %w", err)
	}
	return nil
}

// takeUpstream takes an upstream out of those that faults strike; nil if its service
// would have too few left.
func (f *fleet) takeUpstream(n int) *upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[n%len(f.upstreams)]
	same := 0
	for _, other := range f.upstreams {
		if other.service == u.service {
			same++
		}
	}
	if same <= leastUpstreams {
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

// leastUpstreams is how many upstreams of a service stay in service.
const leastUpstreams = 2

func (f *fleet) upstream(n int) *upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[n%len(f.upstreams)]
}

// runs returns what all upstreams have run, by request.
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

// close ends what this run started, by process id.
func (f *fleet) close() {
	for _, i := range f.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		i.wait(grace)
		i.toClients.Close()
		i.toStore.Close()
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
