// Package kit starts a small deployment on loopback addresses for the review's scripts: the store's
// stand-in of this repository, replicas of its own, and router processes with the deploy file's command.
// Everything that is sent, answered and run is written to record.txt.
package kit

import (
	"context"
	"encoding/json"
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

	"github.com/lavenderring/lavenderring/pkg/routing"
	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/platform"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Host and Key are what clients send.
const (
	Host = "review.example"
	Key  = "key-of-the-crew"
)

// Deployment is what one script has started.
type Deployment struct {
	Store *standin.Server
	// StoreAddress is where routers that are started from now on reach the store.
	StoreAddress string
	client       *platform.Client
	folder       string
	program      string
	routers      []*Router
	replicas     []*Replica
	// processMu is held while a process is started.
	processMu sync.Mutex

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

// Trouble reports whether the script plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Run runs a case: its arguments are the case's folder and the router program.
func Run(play func(d *Deployment) (broken bool, err error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER ROUTER-PROGRAM")
		os.Exit(NotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], play))
}

func run(folder, program string, play func(d *Deployment) (bool, error)) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = record.Close() }()
	d := &Deployment{record: record, began: time.Now(), program: program}
	if d.folder, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = os.RemoveAll(d.folder) }()
	defer d.stopAll()
	go d.endEarly()
	d.Record("trouble: %v", Trouble())
	broken, err := d.start(play)
	switch {
	case err != nil:
		d.Record("the case could not run: %v", err)
		return NotRun
	case broken:
		d.Record("result: the rule was broken")
		return Broken
	}
	d.Record("result: the rule held")
	return Held
}

// maxTime bounds a run.
const maxTime = 115 * time.Second

// endEarly ends a run that is interrupted or lasts too long, with all processes that it has started.
func (d *Deployment) endEarly() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-interrupted:
	case <-time.After(maxTime):
	}
	d.Record("the case could not run: it was ended early")
	d.processMu.Lock() // never released: nothing is started any more
	for _, r := range d.routers {
		if r.command != nil && r.command.Process != nil {
			_ = r.command.Process.Kill()
		}
	}
	_ = os.RemoveAll(d.folder)
	os.Exit(NotRun)
}

func (d *Deployment) start(play func(d *Deployment) (bool, error)) (bool, error) {
	address, err := FreeAddress()
	if err != nil {
		return false, err
	}
	if d.Store, err = standin.Start(address); err != nil {
		return false, err
	}
	d.StoreAddress = address
	d.client = platform.NewClient(address, 5*time.Second, nil)
	return play(d)
}

// Record writes one line to record.txt and to the standard output.
func (d *Deployment) Record(format string, args ...any) {
	line := fmt.Sprintf("%9.3f  ", time.Since(d.began).Seconds()) + fmt.Sprintf(format, args...)
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintln(d.record, line)
	fmt.Println(line)
}

// RecordQuietly writes one line to record.txt only.
func (d *Deployment) RecordQuietly(format string, args ...any) {
	line := fmt.Sprintf("%9.3f  ", time.Since(d.began).Seconds()) + fmt.Sprintf(format, args...)
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintln(d.record, line)
}

// loopback is the run's own loopback address, so that no other program takes a port between its choice and its use.
var loopback = fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// freeAddresses returns different loopback addresses with free ports.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// Configure writes the operator's configuration.
func (d *Deployment) Configure(config *routing.Config) error { return d.Store.Configure(config) }

// Limits are the limits of a small deployment.
func Limits() routing.Limits {
	return routing.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Announce writes a replica's entry into the store, as the replica does.
func (d *Deployment) Announce(r *Replica, state string) error {
	entry, err := json.Marshal(map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": r.Version, "slots": r.Slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": r.born,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	key := platform.UpstreamKind + "/" + r.ID
	position := store.NoPosition
	if present, err := d.client.Get(ctx, key); err == nil {
		position = present.Position
	}
	_, err = d.client.Put(ctx, key, entry, position)
	return err
}

// Router is one router process.
type Router struct {
	Name, Front, Ready, Peer, Admin string
	settings                        string
	d                               *Deployment
	command                         *exec.Cmd
	done                            chan struct{}
	log                             *os.File
}

// StartRouter starts a router process with the command of the deploy file and waits until it is ready. extra is
// added to its settings. If it is not ready in time, its log goes to the record, and another one is started once: a port
// may have been taken meanwhile.
func (d *Deployment) StartRouter(name, zone string, seeds []string, extra string) (*Router, error) {
	r, err := d.startRouter(name, zone, seeds, extra)
	if err == nil || r == nil {
		return r, err
	}
	d.Record("%v; its log:\n%s", err, r.Log())
	if !r.Ended() {
		r.Signal(syscall.SIGKILL)
		r.AwaitEnd(5 * time.Second)
	}
	return d.startRouter(name, zone, seeds, extra)
}

func (d *Deployment) startRouter(name, zone string, seeds []string, extra string) (*Router, error) {
	r := &Router{Name: name, d: d}
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	r.Front, r.Ready, r.Peer, r.Admin = addresses[0], addresses[1], addresses[2], addresses[3]
	quoted := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		quoted = append(quoted, fmt.Sprintf("%q", seed))
	}
	text := fmt.Sprintf(`name = %q
region = "r"
domain = %q
client_address = %q
ready_address = %q
peer_address = %q
admin_address = %q
store_address = %q
seeds = [%s]
retry_ratio = 0.2
retry_extra = 58
retry_window_seconds = 10
leaving_bound_ms = 2000
config_bound_ms = 2000
grace_seconds = 8
memory_mb = 284
%s`, name, zone, r.Front, r.Ready, r.Peer, r.Admin, d.StoreAddress, strings.Join(quoted, ", "), extra)
	r.settings = filepath.Join(d.folder, name+".toml")
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.processMu.Lock()
	d.routers = append(d.routers, r)
	d.processMu.Unlock()
	if err := r.Start(); err != nil {
		return nil, err
	}
	return r, r.AwaitReady(15 * time.Second)
}

// Start starts the process; it may have been ended before.
func (r *Router) Start() error {
	r.d.processMu.Lock()
	defer r.d.processMu.Unlock()
	log, err := os.OpenFile(r.settings+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	r.log = log
	r.command = exec.Command(r.d.program, "route", r.settings)
	r.command.Stdout, r.command.Stderr = log, log
	if err := r.command.Start(); err != nil {
		return err
	}
	r.done = make(chan struct{})
	go func() {
		defer close(r.done)
		_ = r.command.Wait()
	}()
	r.d.Record("router %s started: front %s", r.Name, r.Front)
	return nil
}

// AwaitReady waits until the process reports that it is ready.
func (r *Router) AwaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + r.Ready + platform.ReadyPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("router %s is not ready", r.Name)
}

// Signal sends a signal to the process.
func (r *Router) Signal(signal syscall.Signal) {
	r.d.Record("%v to router %s", signal, r.Name)
	_ = r.command.Process.Signal(signal)
}

// Ended reports whether the process has ended.
func (r *Router) Ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// AwaitEnd waits until the process has ended.
func (r *Router) AwaitEnd(timeout time.Duration) bool {
	select {
	case <-r.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Log returns what the process has written.
func (r *Router) Log() string {
	text, _ := os.ReadFile(r.settings + ".log")
	return string(text)
}

func (d *Deployment) stopAll() {
	for _, r := range d.routers {
		if r.done == nil {
			continue // it was never started
		}
		if !r.Ended() {
			_ = r.command.Process.Signal(syscall.SIGCONT)
			_ = r.command.Process.Kill()
			<-r.done
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = os.WriteFile(filepath.Join(keep, r.Name+".log"), []byte(r.Log()), 0o600)
		}
		_ = r.log.Close()
	}
	for _, r := range d.replicas {
		r.Close()
	}
	if d.Store != nil {
		d.Store.Close()
	}
}

// StartAgain starts routers whose processes have ended, and waits until they are ready.
func StartAgain(routers []*Router) error {
	for _, router := range routers {
		router.AwaitEnd(5 * time.Second)
		if err := router.Start(); err != nil {
			return err
		}
	}
	for _, router := range routers {
		if err := router.AwaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// MemoryMB returns the process's resident memory; 0 if it has ended.
func (r *Router) MemoryMB() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", r.command.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize()) >> 20
}
