// Package test proves the promises on real processes: instances and stand-ins
// are started, killed, frozen and cut, and what callers got is compared with
// what the upstreams, the bills and the ledger say.
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

// Bounds of waiting. They say when a test gives up, not how fast anything is.
const (
	giveUpAfter = 60 * time.Second
	lookAgain   = 50 * time.Millisecond
	adminToken  = "operator"
)

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

// process is one started program.
type process struct {
	t       testing.TB
	cmd     *exec.Cmd
	address string
	control string
	// behind is where the process listens itself; address may be that of a relay before it.
	behind string
}

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

// fleet is a platform with instances and upstreams.
type fleet struct {
	t         testing.TB
	dir       string
	platform  *process
	engines   []*process
	services  []*process
	instances []*process
	doc       *document.Document
	store     *platform.Client
	extra     string // settings for every instance
	peerRelay bool
	relays    []string // control addresses of the relays before instances
}

// options sizes a fleet.
type options struct {
	instances, engines, services int
	tokenMillis                  int
	prepaid                      int64
	deadlineMillis, idleMillis   int64
	// callerReadMillis bounds the reading of a request; 0 leaves the default.
	callerReadMillis int
	// extra is settings text for every instance.
	extra string
	// viaRelay puts a relay before each engine.
	viaRelay bool
	// viaProxies puts a relay before each engine and service, which takes connections also while
	// the process behind it is away.
	viaProxies bool
	// peerRelays puts a relay before each instance's peer address.
	peerRelays bool
}

const (
	service    = "sirajganj-dispatch"
	crewKey    = "crew-key"
	crewBudget = service + "/crew"
)

func newFleet(t testing.TB, o options) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir()}
	f.extra, f.peerRelay = o.extra, o.peerRelays
	if o.callerReadMillis > 0 {
		f.extra += fmt.Sprintf("caller_read_millis = %d\n", o.callerReadMillis)
	}
	address := freeAddress()
	f.platform = start(t, io.Discard, "standin", "platform", "--listen", address)
	f.platform.address = address
	f.store = platform.NewClient(address, 5*time.Second, nil)
	f.await("platform", func() bool { _, err := f.store.List(t.Context(), "x"); return err == nil })
	f.startUpstreams(o)
	f.doc = f.document(o)
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
		if o.viaRelay || o.viaProxies {
			p.address, p.control = f.startRelay(address)
		}
		p.behind = address
		f.engines = append(f.engines, p)
	}
	for n := 0; n < o.services; n++ {
		address := freeAddress()
		p := start(f.t, io.Discard, "standin", "plain", "--listen", address)
		p.address, p.control = address, address
		if o.viaProxies {
			p.address, p.control = f.startRelay(address)
		}
		p.behind = address
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

// startPeerRelay starts a relay that others reach an instance through.
func (f *fleet) startPeerRelay(to string) string {
	address, control := freeAddress(), freeAddress()
	start(f.t, io.Discard, "standin", "relay", "--listen", address, "--control", control, "--to", to)
	f.awaitListening(control)
	f.relays = append(f.relays, control)
	return address
}

func (f *fleet) awaitListening(address string) {
	f.await(address, func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}

func (f *fleet) document(o options) *document.Document {
	doc := &document.Document{
		Service: service,
		Limits:  document.Limits{DeadlineMillis: max(o.deadlineMillis, 10_000), StreamIdleMillis: o.idleMillis},
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

// startInstance starts an instance; seeds may be nil.
func (f *fleet) startInstance(n int, seeds []string) *process {
	f.t.Helper()
	caller, peer, admin := freeAddress(), freeAddress(), freeAddress()
	advertise := peer
	if f.peerRelay {
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
`, n, domainOf(n), caller, peer, advertise, admin, f.platform.address, strings.Join(quoted, ","), document.HashKey(adminToken))
	path := filepath.Join(f.dir, fmt.Sprintf("instance-%d.toml", n))
	f.must(os.WriteFile(path, []byte(text+f.extra), 0o600))
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("instance-%d-%d.log", n, time.Now().UnixNano())))
	f.must(err)
	f.t.Cleanup(func() { tellRace(f.t, log.Name()) })
	p := start(f.t, log, "lavenderring", "serve", path)
	p.address, p.control = caller, admin
	return p
}

// tellRace prints what the race detector found in a program.
func tellRace(t testing.TB, log string) {
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

// await looks again and again until something is done.
func await(t testing.TB, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(giveUpAfter)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("gave up waiting for %s", what)
		}
		time.Sleep(lookAgain)
	}
}

func (f *fleet) awaitReady(p *process) {
	f.t.Helper()
	f.await("ready", func() bool {
		resp, err := http.Get("http://" + p.control + "/readyz")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode == http.StatusOK
	})
}

// admin reads one of an instance's administration pages.
func (f *fleet) admin(p *process, path string, into any) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.control+path, nil)
	f.must(err)
	req.Header.Set("Authorization", "Bearer "+adminToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

func (f *fleet) status(p *process) (instance.Status, error) {
	var status instance.Status
	err := f.admin(p, "/status", &status)
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

// write writes a document's text for the operators; expect is its version.
func (f *fleet) write(text []byte, expect store.Position) (store.Position, error) {
	return f.store.Put(f.t.Context(), configsync.DocumentPrefix+service, text, expect)
}

// apply writes a document over whatever is stored.
func (f *fleet) apply(doc *document.Document) {
	f.t.Helper()
	object, _ := f.store.Get(f.t.Context(), configsync.DocumentPrefix+service)
	_, err := f.write(encodeDocument(f.t, doc), object.Position)
	f.must(err)
}

// post sends a JSON body to a stand-in's or relay's switch.
func (f *fleet) post(address, path string, body any) {
	f.t.Helper()
	encoded, err := json.Marshal(body)
	f.must(err)
	resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(encoded))
	f.must(err)
	_ = resp.Body.Close()
}

// stopAll stops the instances in an orderly way and expects exit 0 of each.
func (f *fleet) stopAll() {
	f.t.Helper()
	for _, p := range f.instances {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range f.instances {
		if err := p.cmd.Wait(); err != nil {
			f.t.Errorf("an instance did not stop in an orderly way: %v", err)
		}
	}
}
