// Command brittle plays replicas that say that they are brittle, while one tenant sends many times its usual.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/review/_src2/kit"
)

const (
	numReplicas  = 3
	slots        = 6
	usualQueue   = 24
	brittleQueue = 6
	brittleBound = 20
	workTime     = 60 * time.Millisecond
	contactTime  = 3 * time.Second
	brittleTime  = 16 * time.Second
	backAfter    = 3 * time.Second
	// quietPerSecond and hotPerSecond are what the two tenants send usually; hotFactor is how many times its usual
	// the second one sends from hotFrom on, for hotTime.
	quietPerSecond, hotPerSecond = 100, 50
	hotFactor                    = 7.5
	hotFrom, hotTime             = 6 * time.Second, 6500 * time.Millisecond
	hotKey                       = "key-of-desk"
)

// Exit codes of a replica.
const (
	fellOverNot = 2
	fellOver    = 9
)

func main() {
	if len(os.Args) == 5 && os.Args[1] == "replica" {
		serveReplica(os.Args[2:])
	}
	os.Exit(run())
}

// server is one replica with its restarts.
type server struct {
	f           *kit.Fleet
	id, address string
	brittleFrom time.Time
	falls       int
}

func (s *server) start() (*exec.Cmd, error) {
	cmd := exec.Command(os.Args[0], "replica", s.id, s.address, strconv.FormatInt(s.brittleFrom.UnixMilli(), 10))
	cmd.Stderr = os.Stderr
	if err := s.f.StartWaiting(cmd); err != nil {
		return nil, err
	}
	if !kit.AwaitListening(s.address) {
		return nil, fmt.Errorf("%s does not listen", s.id)
	}
	entry := kit.Entry{Service: "app", Address: s.address, Zone: "khi-a", Version: "v1", Slots: slots, State: "ready", Seq: 1, Born: time.Now().UnixMilli()}
	return cmd, s.f.Put("servers/"+s.id, entry)
}

// watch restarts the replica after it has fallen over.
func (s *server) watch(cmd *exec.Cmd, mu *sync.Mutex, until time.Time) {
	for {
		_ = cmd.Wait()
		if !time.Now().Before(until) || cmd.ProcessState.ExitCode() != fellOver {
			return
		}
		mu.Lock()
		s.falls++
		mu.Unlock()
		s.f.Logf("replica %s falls over: more than %d requests turned away within a second", s.id, brittleBound)
		time.Sleep(backAfter)
		var err error
		if cmd, err = s.start(); err != nil {
			return
		}
		s.f.Logf("replica %s is back", s.id)
	}
}

func run() int {
	f, err := kit.New()
	if err != nil {
		return kit.CantRun
	}
	defer f.Close()
	config := kit.Config(1, -1, kit.Route("job", "unsafe", "app", 1000, 100, 1, false))
	config["tenants"] = []map[string]any{
		{"name": "crew", "api_keys": []string{kit.Key}}, {"name": "desk", "api_keys": []string{hotKey}},
	}
	if err = f.Put("config/main", config); err == nil {
		err = f.StartInstances(3, "")
	}
	if err != nil {
		f.Logf("cannot run: %v", err)
		return kit.CantRun
	}
	began := time.Now()
	until := began.Add(brittleTime)
	var mu sync.Mutex
	var servers []*server
	for n := range numReplicas {
		s := &server{f: f, id: fmt.Sprintf("i-%d", n), address: kit.FreeAddress(), brittleFrom: began}
		cmd, err := s.start()
		if err != nil {
			return kit.CantRun
		}
		servers = append(servers, s)
		go s.watch(cmd, &mu, until)
	}
	f.Logf("%d replicas say Server-Brittle: %d for %v; %d slots each, %d may wait, %d from %v on", numReplicas, brittleBound, brittleTime, slots, usualQueue, brittleQueue, contactTime)
	time.Sleep(time.Second)
	ends := newEnds()
	var clients sync.WaitGroup
	clients.Go(func() {
		sendAll(f, "crew", kit.Key, until, ends, func(time.Duration) float64 { return quietPerSecond }, began)
	})
	clients.Go(func() {
		sendAll(f, "desk", hotKey, until, ends, func(at time.Duration) float64 {
			if kit.Trouble() && at >= hotFrom && at < hotFrom+hotTime {
				return hotPerSecond * hotFactor
			}
			return hotPerSecond
		}, began)
	})
	clients.Wait()
	time.Sleep(1200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	falls := 0
	for _, s := range servers {
		falls += s.falls
	}
	ends.log(f)
	f.Logf("%d falls of %d replicas in one brittle time; the rule allows %.1f", falls, numReplicas, 2+0.1*numReplicas)
	switch {
	case float64(falls) > 2+0.1*numReplicas:
		return kit.Broken
	case !kit.Trouble() && ends.count["200"] < 1000:
		return kit.CantRun
	}
	return kit.Held
}

// ends counts how requests ended, by second and result.
type ends struct {
	mu       sync.Mutex
	count    map[string]int
	bySecond map[int]map[string]int
}

func newEnds() *ends { return &ends{count: map[string]int{}, bySecond: map[int]map[string]int{}} }

func (e *ends) add(second int, result string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count[result]++
	if e.bySecond[second] == nil {
		e.bySecond[second] = map[string]int{}
	}
	e.bySecond[second][result]++
}

func (e *ends) log(f *kit.Fleet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for second := range int(brittleTime/time.Second) + 1 {
		f.Logf("second %d of the brittle time: requests sent then ended with %v", second, e.bySecond[second])
	}
	f.Logf("all: %v", e.count)
}

// sendAll sends one tenant's requests at a rate, each at the next instance.
func sendAll(f *kit.Fleet, tenant, key string, until time.Time, e *ends, rate func(time.Duration) float64, began time.Time) {
	transport := &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: 10 * time.Second}
	defer transport.CloseIdleConnections()
	var pending sync.WaitGroup
	next := time.Now()
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Until(next))
		at := time.Since(began)
		next = next.Add(time.Duration(float64(time.Second) / rate(at)))
		address := f.Instances[n%len(f.Instances)].Client
		pending.Go(func() { e.add(int(at/time.Second), send(transport, address, fmt.Sprintf("%s-%06d", tenant, n), key)) })
	}
	pending.Wait()
}

func send(transport *http.Transport, address, attempt, key string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/job/x", strings.NewReader("job "+attempt))
	if err != nil {
		return err.Error()
	}
	req.Host = kit.Host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Lavenderring-Attempt-Id", attempt)
	req.Header.Set("X-Lavenderring-Deadline-Ms", "1000")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "connection ended"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken off"
	}
	return strconv.Itoa(resp.StatusCode)
}
