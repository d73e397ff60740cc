package test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/routing"
	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/platform"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// routed is a fleet on the users' platform: the store's stand-in, upstreams, and
// instances as processes of their own.
type routed struct {
	t         testing.TB
	store     *standin.Server
	client    *platform.Client
	address   string
	plain     []*standin.Upstream
	engines   []*standin.Upstream
	instances []*routedInstance
	version   int
	prepaid   int64
	// without names routes that the configuration leaves out.
	without map[string]bool
	// downFor is how long a crashed upstream is away.
	downFor time.Duration
}

type routedInstance struct {
	*process
	clients, ready, peers, admin, settings string
}

// Figures of the fleet's configuration.
const (
	routedHost   = "fleet.example"
	routedKey    = "key-of-crew"
	streamEvents = 6
	// streamTokens is what one stream costs at most: its prompt, and events of one
	// token each.
	promptTokens, outputTokens = 100, 20
)

func newRouted(t testing.TB, instances int, prepaid int64) *routed {
	t.Helper()
	f := &routed{t: t, address: freeAddress(), prepaid: prepaid, without: map[string]bool{}, downFor: downFor}
	var err error
	f.store, err = standin.Start(f.address)
	f.must(err)
	t.Cleanup(f.store.Close)
	f.client = platform.NewClient(f.address, 5*time.Second, nil)
	for n := range 3 {
		f.plain = append(f.plain, f.startUpstream(fmt.Sprintf("p%d", n), "jobs", 0, n))
		f.engines = append(f.engines, f.startUpstream(fmt.Sprintf("e%d", n), "models", streamEvents, n))
	}
	f.configure()
	for n := range instances {
		f.instances = append(f.instances, f.startInstance(n))
	}
	for _, i := range f.instances {
		f.awaitRouted("ready", func() bool { return i.isReady() })
	}
	return f
}

func (f *routed) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *routed) awaitRouted(what string, done func() bool) {
	f.t.Helper()
	await(f.t, what, done)
}

func (f *routed) startUpstream(id, service string, events, domain int) *standin.Upstream {
	u, err := standin.StartUpstream(id, freeAddress(), events)
	f.must(err)
	f.t.Cleanup(u.Close)
	_, err = f.client.Put(f.t.Context(), "servers/"+id, u.Entry(service, domainOf(domain), false), store.NoPosition)
	f.must(err)
	return u
}

// leave has a plain upstream of the first domain say that it leaves.
func (f *routed) leave(u *standin.Upstream) {
	f.t.Helper()
	object, err := f.client.Get(f.t.Context(), "servers/"+u.ID)
	f.must(err)
	_, err = f.client.Put(f.t.Context(), "servers/"+u.ID, u.Entry("jobs", domainOf(0), true), object.Position)
	f.must(err)
}

// configure writes the configuration under the next version.
func (f *routed) configure() {
	f.t.Helper()
	f.version++
	config := &routing.Config{
		Version:     uint64(f.version),
		KeyRequired: true,
		Services: []routing.Service{
			{Name: "jobs", MaxConnections: 100},
			{Name: "models", MaxConnections: 100, Engine: &routing.Engine{Slots: 64, MemoryTokens: 100000, TokensPerEvent: 1}},
		},
		Limits: routing.Limits{HeaderBytes: 16384, BodyBytes: 65536, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Accounts: []routing.Account{
			{Name: "crew", Keys: []string{routedKey}, Priority: -1, PrepaidTokens: f.prepaid},
		},
	}
	add := func(name string, kind routing.Kind, service string, attempts int, resumable bool) {
		if f.without[name] {
			return
		}
		config.Routes = append(config.Routes, routing.Route{
			Name: name, Host: routedHost, Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second,
			Objective: 400 * time.Millisecond, MaxPause: 400 * time.Millisecond, MaxAttempts: attempts, Resumable: resumable,
			Targets: []routing.Target{{Service: service, Weight: 1}},
		})
	}
	add("once", routing.Once, "jobs", 1, false)
	add("safe", routing.Idempotent, "jobs", 2, false)
	add("stream", routing.Stream, "models", 1, false)
	add("resumable", routing.Stream, "models", 2, true)
	value, err := platform.EncodeConfig(config)
	f.must(err)
	present, _ := f.client.Get(f.t.Context(), "config/main") // none at first
	_, err = f.client.Put(f.t.Context(), "config/main", value, present.Position)
	f.must(err)
}

func (f *routed) startInstance(n int) *routedInstance {
	i := &routedInstance{clients: freeAddress(), ready: freeAddress(), peers: freeAddress(), admin: freeAddress()}
	text := fmt.Sprintf(`name = "edge-%d"
region = "r"
domain = %q
client_address = %q
ready_address = %q
peer_address = %q
admin_address = %q
store_address = %q
grace_seconds = 6.0
`, n, domainOf(n), i.clients, i.ready, i.peers, i.admin, f.address)
	i.settings = filepath.Join(f.t.TempDir(), fmt.Sprintf("edge-%d.toml", n))
	f.must(os.WriteFile(i.settings, []byte(text), 0o600))
	i.process = f.run(i)
	return i
}

func (f *routed) run(i *routedInstance) *process {
	log, err := os.Create(i.settings + ".log")
	f.must(err)
	f.t.Cleanup(func() { tellRace(f.t, log.Name()) })
	return start(f.t, log, "lavenderring", "route", i.settings)
}

func (i *routedInstance) isReady() bool {
	resp, err := http.Get("http://" + i.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// sending is a client's request, and what became of it.
type sending struct {
	status     int
	body       string
	header     http.Header
	err        error
	retryAfter string
}

// send sends one request on a connection of its own and reads the whole answer.
func (f *routed) send(i *routedInstance, id, route, body string) sending {
	f.t.Helper()
	names := platform.UpstreamHeaders
	req, err := http.NewRequest(http.MethodPost, "http://"+i.clients+"/"+route+"/x?q=%2F", bytes.NewBufferString(body))
	f.must(err)
	req.Host = routedHost
	req.Header.Set("Authorization", "Bearer "+routedKey)
	req.Header.Set(names.RequestID, id)
	req.Header.Set(names.Deadline, "2500")
	req.Header.Set(names.Tokens, fmt.Sprintf("%d,%d", promptTokens, outputTokens))
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return sending{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	read, err := io.ReadAll(resp.Body)
	return sending{
		status: resp.StatusCode, body: string(read), header: resp.Header, err: err,
		retryAfter: resp.Header.Get("Retry-After"),
	}
}

// raw sends bytes as they are and returns what comes back until the connection
// ends or falls silent.
func raw(t testing.TB, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte(text))
	_ = conn.SetReadDeadline(time.Now().Add(700 * time.Millisecond))
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// runsOf returns the runs of one sending at all upstreams.
func (f *routed) runsOf(id string) []standin.Run {
	var runs []standin.Run
	for _, u := range append(append([]*standin.Upstream{}, f.plain...), f.engines...) {
		for _, run := range u.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

func (f *routed) allFaults(upstreams []*standin.Upstream, faults standin.UpstreamFaults) {
	for _, u := range upstreams {
		u.SetFaults(faults)
	}
}

func (f *routed) appendSettings(i *routedInstance, text string) {
	present, err := os.ReadFile(i.settings)
	f.must(err)
	f.must(os.WriteFile(i.settings, append(present, text...), 0o600))
}
