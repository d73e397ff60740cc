// Package kit starts small fleets for the cases of the review: the store stand-in of the project, instances as
// separate processes, and replicas that are separate processes of the case's own program.
package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/platform"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// Host and Key are what clients send.
const (
	Host = "fleet.example"
	Key  = "key-of-crew"
)

// Fleet is a running fleet.
type Fleet struct {
	Store     *standin.Server
	Address   string
	client    *platform.Client
	dir       string
	Instances []*Instance

	mu      sync.Mutex
	record  *os.File
	started time.Time
	procs   []*exec.Cmd
	closed  bool
}

// Instance is one process of the project.
type Instance struct {
	Name, Client, Ready, Peer, Admin, Settings string
	Cmd                                        *exec.Cmd
}

// host is this run's loopback address. Connections that other programs open do not take its ports.
var host = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// usedAddresses holds the addresses that FreeAddress has returned: a port that nobody listens on yet may be found free
// twice.
var usedAddresses = map[string]bool{}

// FreeAddress returns a free loopback address, another one each time.
func FreeAddress() string {
	for {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			panic(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if !usedAddresses[address] {
			usedAddresses[address] = true
			return address
		}
	}
}

// New starts the store and opens record.txt.
func New() (*Fleet, error) {
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Address: FreeAddress(), dir: dir, record: record, started: time.Now()}
	if f.Store, err = standin.Start(f.Address); err != nil {
		return nil, err
	}
	f.client = platform.NewClient(f.Address, 5*time.Second, nil)
	go f.closeOnSignal()
	return f, nil
}

// closeOnSignal ends all processes when the case is told to stop.
func (f *Fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	f.Logf("told to stop")
	f.Close()
	os.Exit(CantRun)
}

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Logf writes a line to record.txt.
func (f *Fleet) Logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

// Put writes an object as the operator or a replica does.
func (f *Fleet) Put(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var last error
	for range 20 {
		object, err := f.client.Get(ctx(), key)
		position := store.NoPosition
		if err == nil {
			position = object.Position
		}
		if _, last = f.client.Put(ctx(), key, text, position); last == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return last
}

// StartInstances starts instances with the settings of a small deployment.
func (f *Fleet) StartInstances(count int, extra string) error {
	for n := range count {
		i := &Instance{Name: fmt.Sprintf("edge-%d", n), Client: FreeAddress(), Ready: FreeAddress(), Peer: FreeAddress(), Admin: FreeAddress()}
		i.Settings = filepath.Join(f.dir, i.Name+".toml")
		f.Instances = append(f.Instances, i)
	}
	for n, i := range f.Instances {
		text := fmt.Sprintf(`name = %q
region = "khi"
domain = "khi-%c"
client_address = %q
ready_address = %q
peer_address = %q
admin_address = %q
store_address = %q
seeds = [%q]
retry_ratio = 0.2
retry_extra = 58
retry_window_seconds = 10
leaving_bound_ms = 2000
config_bound_ms = 2000
grace_seconds = 8
memory_mb = 284
max_fds = 4100
%s`, i.Name, 'a'+n%3, i.Client, i.Ready, i.Peer, i.Admin, f.Address, f.Instances[0].Peer, extra)
		if err := os.WriteFile(i.Settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := f.StartInstance(i); err != nil {
			return err
		}
	}
	for _, i := range f.Instances {
		if !f.AwaitReady(i, 15*time.Second) {
			f.logLog(i)
			return fmt.Errorf("%s is not ready", i.Name)
		}
	}
	return nil
}

// logLog copies the last lines of an instance's log into record.txt.
func (f *Fleet) logLog(i *Instance) {
	text, _ := os.ReadFile(i.Settings + ".log")
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range lines[max(len(lines)-20, 0):] {
		f.Logf("%s: %s", i.Name, line)
	}
}

// StartInstance starts an instance's process by the command of the deploy file.
func (f *Fleet) StartInstance(i *Instance) error {
	log, err := os.OpenFile(i.Settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/lavenderring", "route", i.Settings)
	cmd.Stdout, cmd.Stderr = log, log
	i.Cmd = cmd
	return f.start(cmd)
}

func (f *Fleet) start(cmd *exec.Cmd) error {
	if err := f.StartWaiting(cmd); err != nil {
		return err
	}
	go func() { _ = cmd.Wait() }()
	return nil
}

// StartWaiting starts a process for whose end the caller waits.
func (f *Fleet) StartWaiting(cmd *exec.Cmd) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return errClosed
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.procs = append(f.procs, cmd)
	return nil
}

// AwaitReady waits until an instance is ready.
func (f *Fleet) AwaitReady(i *Instance, timeout time.Duration) bool {
	until := time.Now().Add(timeout)
	for time.Now().Before(until) {
		resp, err := http.Get("http://" + i.Ready + "/api/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// AwaitListening waits until something listens at an address.
func AwaitListening(address string) bool {
	for range 200 {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// errClosed means that the fleet has been closed.
var errClosed = errors.New("the fleet is closed")

// reapTime is the time in which those that wait for the processes learn of their end.
const reapTime = 200 * time.Millisecond

// Close ends all processes that were started.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, cmd := range f.procs {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	time.Sleep(reapTime)
	_ = f.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, f.dir)
	}
}

// Entry is a replica's entry in the store.
type Entry struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Cold    int    `json:"cold_remaining_ms"`
	Seq     int    `json:"sequence"`
	Born    int64  `json:"born"`
}
