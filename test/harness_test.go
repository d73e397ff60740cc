// Package test checks the guarantees on real processes: instances and stand-ins
// are started, killed, paused and partitioned, and the answers that clients got are
// compared with what the upstreams, the bills and the ledger recorded.
package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/instance"
	"github.com/lavenderring/lavenderring/pkg/standin/loopback"
	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/platform"
)

// waitTimeout bounds every wait of a test, pollInterval is the pause between two
// checks. Neither is a bound on the system's speed.
const (
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	adminToken   = "operator"
)

// binaries is the directory of the built programs.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lavenderring-test")
	if err != nil {
		panic(err)
	}
	binaries = dir
	args := append([]string{"build", "-o", dir}, raceFlags...)
	build := exec.Command("go", append(args, "../cmd/lavenderring", "../cmd/standin")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a started program with the addresses that the tests use.
type process struct {
	t       testing.TB
	cmd     *exec.Cmd
	address string
	// control is where the process, or the relay in front of it, takes administration or fault requests.
	control string
	// listenAddress is where the process itself listens; address may be that of a relay in front of it.
	listenAddress string
}

// start runs one of the built programs and kills it when the test ends.
func start(t testing.TB, log io.Writer, program string, args ...string) *process {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "GORACE=halt_on_error=1")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, cmd: cmd}
	t.Cleanup(p.kill)
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

func freeAddress() string { return loopback.Address() }

// fleet is a store stand-in (the platform) with upstreams and with instances that run
// package entry ("lavenderring serve").
type fleet struct {
	t                 testing.TB
	dir               string
	platform          *process
	engines           []*process
	services          []*process
	instances         []*process
	doc               *document.Document
	store             *platform.Client
	extraSettings     string // settings for every instance
	usePeerRelays     bool
	peerRelayControls []string // control addresses of the relays in front of peer addresses
}

// options sets the size and the properties of a fleet.
type options struct {
	instances, engines, services int
	tokenMillis                  int
	prepaid                      int64
	deadlineMillis, idleMillis   int64
	// maxBodyBytes is the largest body of a request; 0 keeps the default.
	maxBodyBytes int
	// clientReadMillis bounds how long an instance reads a request; 0 keeps the default.
	clientReadMillis int
	// extraSettings is TOML text appended to the settings of every instance.
	extraSettings string
	// relayEngines puts a relay in front of each engine.
	relayEngines bool
	// relayUpstreams puts a relay in front of each engine and service. The relay accepts connections
	// also while the process behind it is down.
	relayUpstreams bool
	// usePeerRelays puts a relay in front of each instance's peer address.
	usePeerRelays bool
}

const (
	service    = "sirajganj-dispatch"
	crewKey    = "crew-key"
	crewBudget = service + "/crew"
)

func newFleet(t testing.TB, o options) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir()}
	f.extraSettings, f.usePeerRelays = o.extraSettings, o.usePeerRelays
	if o.clientReadMillis > 0 {
		f.extraSettings += fmt.Sprintf("caller_read_millis = %d\n", o.clientReadMillis)
	}
	address := freeAddress()
	f.platform = start(t, io.Discard, "standin", "platform", "--listen", address)
	f.platform.address = address
	f.store = platform.NewClient(address, 5*time.Second, nil)
	f.await("the platform stand-in", func() bool { _, err := f.store.List(t.Context(), "x"); return err == nil })
	f.startUpstreams(o)
	f.doc = f.newDocument(o)
	for n := 0; n < o.instances; n++ {
		f.instances = append(f.instances, f.startInstance(n, nil))
	}
	f.apply(f.doc)
	for _, i := range f.instances {
		f.awaitReady(i)
	}
	f.awaitGeneration(1)
	f.awaitMembers(o.instances)
	return f
}

func (f *fleet) startUpstreams(o options) {
	for n := 0; n < o.engines; n++ {
		address := freeAddress()
		p := start(f.t, io.Discard, "standin", "engine", "--listen", address, "--token-millis", fmt.Sprint(max(o.tokenMillis, 1)))
		p.address, p.control = address, address
		if o.relayEngines || o.relayUpstreams {
			p.address, p.control = f.startRelay(address)
		}
		p.listenAddress = address
		f.engines = append(f.engines, p)
	}
	for n := 0; n < o.services; n++ {
		address := freeAddress()
		p := start(f.t, io.Discard, "standin", "plain", "--listen", address)
		p.address, p.control = address, address
		if o.relayUpstreams {
			p.address, p.control = f.startRelay(address)
		}
		p.listenAddress = address
		f.services = append(f.services, p)
	}
	for _, p := range append(append([]*process{}, f.engines...), f.services...) {
		f.awaitListening(p.address)
	}
}

func (f *fleet) startRelay(to string) (address, control string) {
	address, control = freeAddress(), freeAddress()
	f.awaitListening(to)
	start(f.t, io.Discard, "standin", "relay", "--listen", address, "--control", control, "--to", to)
	f.awaitListening(control)
	return address, control
}

// startPeerRelay starts a relay through which the other instances reach an instance.
func (f *fleet) startPeerRelay(to string) string {
	address, control := freeAddress(), freeAddress()
	start(f.t, io.Discard, "standin", "relay", "--listen", address, "--control", control, "--to", to)
	f.awaitListening(control)
	f.peerRelayControls = append(f.peerRelayControls, control)
	return address
}

func (f *fleet) awaitListening(address string) {
	f.t.Helper()
	awaitListening(f.t, address)
}

// awaitListening waits until an address accepts connections.
func awaitListening(t testing.TB, address string) {
	t.Helper()
	await(t, address, func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}

func (f *fleet) newDocument(o options) *document.Document {
	doc := &document.Document{
		Service: service,
		Limits:  document.Limits{DeadlineMillis: max(o.deadlineMillis, 10_000), StreamIdleMillis: o.idleMillis, MaxBodyBytes: o.maxBodyBytes},
		Accounts: []document.Account{
			{Name: "crew", KeySHA256: document.HashKey(crewKey), PrepaidTokens: o.prepaid},
			{Name: "other", KeySHA256: document.HashKey("other-key"), PrepaidTokens: o.prepaid},
		},
		Pools: []document.Pool{
			{Name: "reports", Kind: document.KindModel, Model: "leak-report", MaxOutputTokens: 400},
			{Name: "jobs", Kind: document.KindPlain, PriceTokens: 10, NonIdempotent: []document.RequestPattern{{Method: "POST", Path: "/assign"}}},
		},
	}
	for n, p := range f.engines {
		u := document.Upstream{Name: fmt.Sprintf("engine-%d", n), Address: p.address, Domain: domainOf(n)}
		doc.Pools[0].Upstreams = append(doc.Pools[0].Upstreams, u)
	}
	for n, p := range f.services {
		u := document.Upstream{Name: fmt.Sprintf("service-%d", n), Address: p.address, Domain: domainOf(n)}
		doc.Pools[1].Upstreams = append(doc.Pools[1].Upstreams, u)
	}
	return doc
}

func domainOf(n int) string { return []string{"a", "b", "c"}[n%3] }

// startInstance starts instance n; seeds may be nil.
func (f *fleet) startInstance(n int, seeds []string) *process {
	f.t.Helper()
	client, peer, admin := freeAddress(), freeAddress(), freeAddress()
	advertise := peer
	if f.usePeerRelays {
		advertise = f.startPeerRelay(peer)
	}
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = fmt.Sprintf("%q", seed)
	}
	text := fmt.Sprintf(`name = "instance-%d"
domain = %q
caller_address = %q
peer_address = %q
peer_advertise = %q
admin_address = %q
platform_address = %q
seeds = [%s]
ledger_shards = 4
claim_shards = 4
heartbeat_millis = 100
peer_silent_millis = 1500
drain_delay_millis = 300
admin_token_sha256 = %q
`, n, domainOf(n), client, peer, advertise, admin, f.platform.address, strings.Join(quoted, ","), document.HashKey(adminToken))
	path := filepath.Join(f.dir, fmt.Sprintf("instance-%d.toml", n))
	f.must(os.WriteFile(path, []byte(text+f.extraSettings), 0o600))
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("instance-%d-%d.log", n, time.Now().UnixNano())))
	f.must(err)
	f.t.Cleanup(func() { reportRace(f.t, log.Name()) })
	p := start(f.t, log, "lavenderring", "serve", path)
	p.address, p.control = client, admin
	return p
}

// reportRace fails the test with the race detector's output, if a program's log has any.
func reportRace(t testing.TB, log string) {
	text, err := os.ReadFile(log)
	if at := strings.Index(string(text), "WARNING: DATA RACE"); err == nil && at >= 0 {
		t.Errorf("%s", text[at:min(len(text), at+4000)])
	}
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) await(what string, done func() bool) {
	f.t.Helper()
	await(f.t, what, done)
}

// await polls until done returns true and fails the test after waitTimeout.
func await(t testing.TB, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("gave up waiting for %s after %v", what, waitTimeout)
		}
		time.Sleep(pollInterval)
	}
}

func (f *fleet) awaitReady(p *process) {
	f.t.Helper()
	f.await("the instance at "+p.control+" to be ready", func() bool {
		resp, err := http.Get("http://" + p.control + "/readyz")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode == http.StatusOK
	})
}

// getAdmin decodes one of an instance's administration resources.
func (f *fleet) getAdmin(p *process, path string, into any) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.control+path, nil)
	f.must(err)
	req.Header.Set("Authorization", "Bearer "+adminToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s at %s: status %d", path, p.control, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

func (f *fleet) status(p *process) (instance.Status, error) {
	var status instance.Status
	err := f.getAdmin(p, "/status", &status)
	return status, err
}

func (f *fleet) awaitGeneration(generation uint64) {
	f.t.Helper()
	for _, p := range f.instances {
		f.await(fmt.Sprintf("generation %d", generation), func() bool {
			status, err := f.status(p)
			return err == nil && status.Generations[service] >= generation
		})
	}
}

func (f *fleet) awaitMembers(count int) {
	f.t.Helper()
	for _, p := range f.instances {
		f.await("members", func() bool {
			status, err := f.status(p)
			live := 0
			for _, m := range status.Members {
				if !m.Silent && !m.Leaving {
					live++
				}
			}
			return err == nil && live >= count
		})
	}
}

// writeDocument writes the text of a service document as an operator does; expect is
// the stored version that it replaces.
func (f *fleet) writeDocument(text []byte, expect store.Position) (store.Position, error) {
	return f.store.Put(f.t.Context(), configsync.DocumentPrefix+service, text, expect)
}

// apply writes a document over the stored version, whichever it is.
func (f *fleet) apply(doc *document.Document) {
	f.t.Helper()
	object, _ := f.store.Get(f.t.Context(), configsync.DocumentPrefix+service)
	_, err := f.writeDocument(encodeDocument(f.t, doc), object.Position)
	f.must(err)
}

// post sends a JSON body to a stand-in or relay, to set its faults.
func (f *fleet) post(address, path string, body any) {
	f.t.Helper()
	encoded, err := json.Marshal(body)
	f.must(err)
	resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(encoded))
	f.must(err)
	_ = resp.Body.Close()
}

// stopAll stops the instances with SIGTERM and expects exit status 0 of each.
func (f *fleet) stopAll() {
	f.t.Helper()
	for _, p := range f.instances {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range f.instances {
		if err := p.cmd.Wait(); err != nil {
			f.t.Errorf("the instance at %s ended with %v after SIGTERM", p.address, err)
		}
	}
}
