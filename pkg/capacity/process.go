package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// clockTicks is the kernel's unit of processor time in /proc, for a second.
const clockTicks = 100

// child is a started process.
type child struct {
	cmd   *exec.Cmd
	admin string
}

func (c *child) stop() {
	_ = c.cmd.Process.Signal(syscall.SIGKILL)
	_ = c.cmd.Wait()
}

// usage reads a process's processor time and resident memory.
func (c *child) usage() (processor time.Duration, residentBytes float64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	_, rest, found := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const utime, stime, rss = 11, 12, 21 // counted behind the command's name
	if !found || len(fields) <= rss {
		return 0, 0, errors.New("unexpected form of /proc/pid/stat")
	}
	user, _ := strconv.ParseFloat(fields[utime], 64)
	system, _ := strconv.ParseFloat(fields[stime], 64)
	pages, _ := strconv.ParseFloat(fields[rss], 64)
	seconds := (user + system) / clockTicks
	return time.Duration(seconds * float64(time.Second)), pages * float64(os.Getpagesize()), nil
}

// counters reads an instance's control counters.
func (c *child) counters() (map[string]float64, error) {
	resp, err := http.Get("http://" + c.admin + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var all map[string]map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return nil, err
	}
	out := map[string]float64{}
	for name, values := range all {
		if value, ok := values["value"].(float64); ok {
			out[name] = value
		}
	}
	return out, nil
}

// ready reports whether an instance serves.
func (c *child) ready() bool {
	resp, err := http.Get("http://" + c.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// bench is a platform with instances.
type bench struct {
	dir, binaries, platform string
	platformProcess         *child
	instances               []*child
}

// benchPort is below the range that outgoing connections take their ports from.
const benchPort = 7001

// placeAddress returns an address of the place with a number; each has an IP
// address of its own, so that no connection can take its port before it starts.
func placeAddress(place, offset int) string {
	return fmt.Sprintf("127.7.%d.%d:%d", place/250, 1+place%250, benchPort+offset)
}

func (b *bench) run(program string, args ...string) (*child, error) {
	cmd := exec.Command(filepath.Join(b.binaries, program), args...)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &child{cmd: cmd}, nil
}

func newBench(binaries string) (*bench, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	b := &bench{dir: dir, binaries: binaries, platform: placeAddress(0, 0)}
	b.platformProcess, err = b.run("standin", "platform", "--listen", b.platform)
	return b, err
}

func (b *bench) close() {
	for _, c := range b.instances {
		c.stop()
	}
	b.platformProcess.stop()
	_ = os.RemoveAll(b.dir)
}

// targetDomains spreads instances as the large deployment does.
const targetDomains = 8

func (b *bench) startInstance(n int) error {
	var addresses [3]string
	for i := range addresses {
		addresses[i] = placeAddress(n+1, i)
	}
	domain := n % targetDomains
	text := fmt.Sprintf(`name = "instance-%03d"
region = "region-%d"
domain = "domain-%d"
caller_address = %q
peer_address = %q
admin_address = %q
platform_address = %q
`, n, domain/4, domain, addresses[0], addresses[1], addresses[2], b.platform)
	path := filepath.Join(b.dir, fmt.Sprintf("%03d.toml", n))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	c, err := b.run("lavenderring", "serve", path)
	if err != nil {
		return err
	}
	c.admin = addresses[2]
	b.instances = append(b.instances, c)
	return nil
}

// startTimeout bounds the start of a fleet.
const startTimeout = 60 * time.Second

func (b *bench) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, c := range b.instances {
		for !c.ready() {
			if time.Now().After(deadline) {
				return errors.New("the fleet did not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
