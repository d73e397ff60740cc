package capacity

import (
	"encoding/json"

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

// processorTime returns the processor time that this process has used, 0 if it is unknown.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// clockTicks is the number of units of processor time in a second, as /proc counts them.
const clockTicks = 100

// process is a started process; admin is the administration address of an instance.
type process struct {
	cmd          *exec.Cmd
	adminAddress string
}

func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// readUsage reads the processor time and the resident memory of the process.
func (p *process) readUsage() (processor time.Duration, residentBytes float64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	_, rest, found := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const utime, stime, rss = 11, 12, 21 // indexes of fields after the command's name
	if !found || len(fields) <= rss {
		return 0, 0, fmt.Errorf("unexpected format of /proc/%d/stat", p.cmd.Process.Pid)
	}
	user, _ := strconv.ParseFloat(fields[utime], 64)
	system, _ := strconv.ParseFloat(fields[stime], 64)
	pages, _ := strconv.ParseFloat(fields[rss], 64)
	seconds := (user + system) / clockTicks
	return time.Duration(seconds * float64(time.Second)), pages * float64(os.Getpagesize()), nil
}

// readCounters reads the metrics of an instance that have a numeric value.
func (p *process) readCounters() (map[string]float64, error) {
	resp, err := http.Get("http://" + p.adminAddress + "/metrics")
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

// isReady reports whether an instance serves requests.
func (p *process) isReady() bool {
	resp, err := http.Get("http://" + p.adminAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// testFleet is a stand-in of the platform with instances, all on loopback addresses.
type testFleet struct {
	dir, binaries, platformAddress string
	platformProcess                *process
	instances                      []*process
}

// basePort is below the ephemeral range, from which outgoing connections take their ports.
const basePort = 7001

// loopbackAddress returns an address of the process with an index. Each process has an IP address
// of its own, so that no outgoing connection can take its port before it listens.
func loopbackAddress(index, portOffset int) string {
	return fmt.Sprintf("127.7.%d.%d:%d", index/250, 1+index%250, basePort+portOffset)
}

// startProcess starts a program from the folder with the binaries.
func (f *testFleet) startProcess(program string, args ...string) (*process, error) {
	cmd := exec.Command(filepath.Join(f.binaries, program), args...)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &process{cmd: cmd}, nil
}

func newTestFleet(binaries string) (*testFleet, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	f := &testFleet{dir: dir, binaries: binaries, platformAddress: loopbackAddress(0, 0)}
	f.platformProcess, err = f.startProcess("standin", "platform", "--listen", f.platformAddress)
	return f, err
}

func (f *testFleet) close() {
	for _, p := range f.instances {
		p.stop()
	}
	f.platformProcess.stop()
	_ = os.RemoveAll(f.dir)
}

// numDomains is the number of failure domains that instances are spread over, as in the large
// deployment.
const numDomains = 8

func (f *testFleet) startInstance(n int) error {
	var addresses [3]string
	for i := range addresses {
		addresses[i] = loopbackAddress(n+1, i)
	}
	domain := n % numDomains
	text := fmt.Sprintf(`name = "instance-%03d"
region = "region-%d"
domain = "domain-%d"
caller_address = %q
peer_address = %q
admin_address = %q
platform_address = %q
`, n, domain/4, domain, addresses[0], addresses[1], addresses[2], f.platformAddress)
	path := filepath.Join(f.dir, fmt.Sprintf("%03d.toml", n))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := f.startProcess("lavenderring", "serve", path)
	if err != nil {
		return err
	}
	p.adminAddress = addresses[2]
	f.instances = append(f.instances, p)
	return nil
}

// startTimeout bounds the time until all instances of a fleet are ready.
const startTimeout = 60 * time.Second

func (f *testFleet) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, p := range f.instances {
		for !p.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("instance at %s was not ready within %v", p.adminAddress, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
