package test

import (
	"bytes"
	"cmp"
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

// routedFleet is a fleet on the users' platform: stand-ins for the store and for the
// upstreams, and instances that run package router ("lavenderring route") as separate
// processes.
type routedFleet struct {
	t              testing.TB
	store          *standin.Server
	client         *platform.Client
	address        string
	plainUpstreams []*standin.Upstream
	engines        []*standin.Upstream
	instances      []*routedInstance
	version        int
	prepaid        int64
	// withoutKeys says that requests need no key, and so cost no account tokens.
	withoutKeys bool
	// omittedRoutes names the routes that the configuration leaves out.
	omittedRoutes map[string]bool
	// retryExtra is the number of retries that all instances together may make in a window beyond those
	// that their requests allow; 0 for the default.
	retryExtra int
	// timeout is the timeout of all routes; 0 for routeTimeout.
	timeout time.Duration
	// idleTimeout is how long clients' connections may be idle; 0 for clientIdleTimeout.
	idleTimeout time.Duration
	// bodyLimit is the largest body of a request; 0 for defaultBodyLimit.
	bodyLimit int
	// extraSettings is TOML text appended to the settings of instances that are started from now on.
	extraSettings string
	// grace is how long a planned stop may take; 0 for gracePeriod.
	grace time.Duration
	// downtime is how long a crashed upstream is down.
	downtime time.Duration
	// storeAddress is where instances that are started from now on reach the store; empty for address.
	storeAddress string
	// seed is the peer address that instances which are started from now on contact first; empty for none.
	seed string
}

type routedInstance struct {
	*process
	clientAddress, readyAddress, peerAddress, adminAddress, settingsPath string
}

// Parameters of the fleet's configuration.
const (
	routedHost   = "fleet.example"
	routedKey    = "key-of-crew"
	streamEvents = 6
	// routeTimeout is the timeout of a route unless the fleet has another.
	routeTimeout = 3 * time.Second
	// clientIdleTimeout is the idle time of clients' connections unless the fleet has another.
	clientIdleTimeout = 15 * time.Second
	// defaultBodyLimit is the largest body of a request, in bytes, unless the fleet has another.
	defaultBodyLimit = 65536
	// gracePeriod is the time for a planned stop unless the fleet has another.
	gracePeriod = 6 * time.Second
	// promptTokens and outputTokens bound what one stream costs: its prompt, and events
	// of one token each.
	promptTokens, outputTokens = 100, 20
)

func newRoutedFleet(t testing.TB, instances int, prepaid int64) *routedFleet {
	t.Helper()
	f := &routedFleet{t: t, address: freeAddress(), prepaid: prepaid, omittedRoutes: map[string]bool{}, downtime: defaultDowntime}
	var err error
	f.store, err = standin.Start(f.address)
	f.must(err)
	t.Cleanup(f.store.Close)
	f.client = platform.NewClient(f.address, 5*time.Second, nil)
	for n := range 3 {
		f.plainUpstreams = append(f.plainUpstreams, f.startUpstream(fmt.Sprintf("p%d", n), "jobs", 0, n))
		f.engines = append(f.engines, f.startUpstream(fmt.Sprintf("e%d", n), "models", streamEvents, n))
	}
	f.writeConfig()
	for n := range instances {
		f.instances = append(f.instances, f.startInstance(n))
	}
	for _, i := range f.instances {
		f.await("the instance to be ready", func() bool { return i.isReady() })
	}
	return f
}

func (f *routedFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *routedFleet) await(what string, done func() bool) {
	f.t.Helper()
	await(f.t, what, done)
}

func (f *routedFleet) startUpstream(id, service string, events, domain int) *standin.Upstream {
	u, err := standin.StartUpstream(id, freeAddress(), events)
	f.must(err)
	f.t.Cleanup(u.Close)
	_, err = f.client.Put(f.t.Context(), "servers/"+id, u.Entry(service, domainOf(domain), false), store.NoPosition)
	f.must(err)
	return u
}

// markLeaving writes the entry of a plain upstream of the first domain as leaving.
func (f *routedFleet) markLeaving(u *standin.Upstream) {
	f.t.Helper()
	object, err := f.client.Get(f.t.Context(), "servers/"+u.ID)
	f.must(err)
	_, err = f.client.Put(f.t.Context(), "servers/"+u.ID, u.Entry("jobs", domainOf(0), true), object.Position)
	f.must(err)
}

// writeConfig writes the configuration under the next version.
func (f *routedFleet) writeConfig() {
	f.t.Helper()
	f.version++
	config := &routing.Config{
		Version:     uint64(f.version),
		KeyRequired: true,
		Services: []routing.Service{
			{Name: "jobs", MaxConnections: 100},
			{Name: "models", MaxConnections: 100, Engine: &routing.Engine{Slots: 64, MemoryTokens: 100000, TokensPerEvent: 1}},
		},
		Limits: routing.Limits{HeaderBytes: 16384, BodyBytes: cmp.Or(f.bodyLimit, defaultBodyLimit), HeaderTimeout: 3 * time.Second, IdleTimeout: cmp.Or(f.idleTimeout, clientIdleTimeout)},
		Accounts: []routing.Account{
			{Name: "crew", Keys: []string{routedKey}, Priority: -1, PrepaidTokens: f.prepaid},
		},
	}
	if f.withoutKeys {
		config.KeyRequired, config.Accounts = false, nil
	}
	add := func(name string, kind routing.Kind, service string, attempts int, resumable bool) {
		if f.omittedRoutes[name] {
			return
		}
		config.Routes = append(config.Routes, routing.Route{
			Name: name, Host: routedHost, Prefix: "/" + name + "/", Kind: kind, Timeout: cmp.Or(f.timeout, routeTimeout),
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
	current, _ := f.client.Get(f.t.Context(), "config/main") // not found before the first write
	_, err = f.client.Put(f.t.Context(), "config/main", value, current.Position)
	f.must(err)
}

func (f *routedFleet) startInstance(n int) *routedInstance {
	i := &routedInstance{clientAddress: freeAddress(), readyAddress: freeAddress(), peerAddress: freeAddress(), adminAddress: freeAddress()}
	i.settingsPath = filepath.Join(f.t.TempDir(), fmt.Sprintf("edge-%d.toml", n))
	f.must(os.WriteFile(i.settingsPath, []byte(f.settingsText(n, i)), 0o600))
	i.process = f.startProcess(i)
	return i
}

func (f *routedFleet) settingsText(n int, i *routedInstance) string {
	text := fmt.Sprintf(`name = "edge-%d"
region = "r"
domain = %q
client_address = %q
ready_address = %q
peer_address = %q
admin_address = %q
store_address = %q
grace_seconds = %.1f
`, n, domainOf(n), i.clientAddress, i.readyAddress, i.peerAddress, i.adminAddress, cmp.Or(f.storeAddress, f.address), cmp.Or(f.grace, gracePeriod).Seconds())
	if f.seed != "" {
		text += fmt.Sprintf("seeds = [%q]\n", f.seed)
	}
	if f.retryExtra > 0 {
		text += fmt.Sprintf("retry_extra = %d\n", f.retryExtra)
	}
	return text + f.extraSettings
}

func (f *routedFleet) startProcess(i *routedInstance) *process {
	log, err := os.Create(i.settingsPath + ".log")
	f.must(err)
	f.t.Cleanup(func() { reportRace(f.t, log.Name()) })
	return start(f.t, log, "lavenderring", "route", i.settingsPath)
}

func (i *routedInstance) isReady() bool {
	resp, err := http.Get("http://" + i.readyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// readMetrics returns the text of an instance's metrics; empty if it does not answer.
func readMetrics(t testing.TB, i *routedInstance) string {
	t.Helper()
	resp, err := http.Get("http://" + i.adminAddress + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// response is the result of a client's request.
type response struct {
	status     int
	body       string
	header     http.Header
	err        error
	retryAfter string
}

// isRefusedForGood reports whether the request was refused without a time to come back at.
func (r response) isRefusedForGood() bool {
	return r.status == http.StatusServiceUnavailable && r.retryAfter == ""
}

// send sends one request on a new connection and reads the whole answer.
func (f *routedFleet) send(i *routedInstance, id, route, body string) response {
	f.t.Helper()
	return roundTrip(f.newRequest(i, id, route, body))
}

// newRequest returns a client's request.
func (f *routedFleet) newRequest(i *routedInstance, id, route, body string) *http.Request {
	f.t.Helper()
	headers := platform.UpstreamHeaders
	req, err := http.NewRequest(http.MethodPost, "http://"+i.clientAddress+"/"+route+"/x?q=%2F", bytes.NewBufferString(body))
	f.must(err)
	req.Host = routedHost
	req.Header.Set("Authorization", "Bearer "+routedKey)
	req.Header.Set(headers.RequestID, id)
	req.Header.Set(headers.Deadline, "2500")
	req.Header.Set(headers.Tokens, fmt.Sprintf("%d,%d", promptTokens, outputTokens))
	return req
}

// roundTrip sends a request on a new connection and reads the whole answer.
func roundTrip(req *http.Request) response {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	read, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode, body: string(read), header: resp.Header, err: err,
		retryAfter: resp.Header.Get("Retry-After"),
	}
}

// sendRaw sends text unchanged and returns what is received within 700 ms or until the
// connection ends.
func sendRaw(t testing.TB, address, text string) string {
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

// runsOf returns the runs of one request at all upstreams.
func (f *routedFleet) runsOf(id string) []standin.Run {
	var runs []standin.Run
	for _, u := range append(append([]*standin.Upstream{}, f.plainUpstreams...), f.engines...) {
		for _, run := range u.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

func (f *routedFleet) setFaults(upstreams []*standin.Upstream, faults standin.UpstreamFaults) {
	for _, u := range upstreams {
		u.SetFaults(faults)
	}
}

func (f *routedFleet) appendSettings(i *routedInstance, text string) {
	current, err := os.ReadFile(i.settingsPath)
	f.must(err)
	f.must(os.WriteFile(i.settingsPath, append(current, text...), 0o600))
}
