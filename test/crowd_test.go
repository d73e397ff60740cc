package test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lavenderring/lavenderring/pkg/standin/plain"
	"github.com/lavenderring/lavenderring/platform"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// Bounds of the tests with crowds.
const (
	// crowdMemoryMB is the memory of the machine that an instance is to stay within.
	crowdMemoryMB = 160
	// crowdAbortMB is where a test ends an instance, so that it does not fill the memory of the tests' machine.
	crowdAbortMB = 1500
	// crowdPeriod bounds how long a crowd sends.
	crowdPeriod = 4 * time.Second
	// crowdShare is the part of each form's clients that a crowd of all forms has.
	crowdShare = 8
	// crowdFDs is the number of descriptors that an instance may open in the tests of descriptors, of which
	// crowdFileFDs are for files, and crowdConnClients how many clients hold connections then.
	crowdFDs, crowdFileFDs, crowdConnClients = 600, 200, 900
)

// Settings of the machine that an instance is to stay within.
var (
	crowdSettings   = fmt.Sprintf("memory_mb = %d\n", crowdMemoryMB)
	crowdFDSettings = crowdSettings + fmt.Sprintf("max_fds = %d\n", crowdFDs)
)

// crowdDoor is an instance with one kind of client address.
type crowdDoor struct {
	t       *testing.T
	process *process
	address string
	// head returns the first lines of a head with additional lines, without the empty line at its end.
	head func(lines string) string
	// answerLargely makes upstreams answer with crowdUnreadBytes.
	answerLargely func(on bool)
	// ask sends one ordinary request and reports whether it was answered.
	ask func() bool
}

// crowdDoors starts an instance with each kind of client address.
var crowdDoors = map[string]func(t *testing.T, settings string) *crowdDoor{
	"route": startRoutedDoor,
	"serve": startOwnDoor,
}

func startRoutedDoor(t *testing.T, settings string) *crowdDoor {
	f := newRoutedFleet(t, 0, 1_000_000_000)
	f.bodyLimit = crowdBodyLimit
	f.withoutKeys = true
	f.writeConfig()
	f.extraSettings = settings
	i := f.startInstance(0)
	f.await("the instance to be ready", func() bool { return i.isReady() })
	names := platform.UpstreamHeaders
	return &crowdDoor{
		t: t, process: i.process, address: i.clientAddress,
		head: func(lines string) string {
			return fmt.Sprintf("POST /safe/x HTTP/1.1\r\nHost: %s\r\n%s: crowd\r\n%s: 60000\r\n%s\r\n", routedHost, names.RequestID, names.Deadline, lines)
		},
		answerLargely: func(on bool) {
			f.setFaults(f.plainUpstreams, standin.UpstreamFaults{PaddingBytes: paddingOf(on)})
		},
		ask: func() bool {
			return f.send(i, fmt.Sprint("ordinary-", time.Now().UnixNano()), "safe", "{}").status == http.StatusOK
		},
	}
}

func startOwnDoor(t *testing.T, settings string) *crowdDoor {
	f := newFleet(t, options{instances: 1, engines: 1, services: 1, prepaid: 1_000_000_000, maxBodyBytes: crowdBodyLimit, extraSettings: settings})
	i := f.instances[0]
	return &crowdDoor{
		t: t, process: i, address: i.address,
		head: func(lines string) string {
			return fmt.Sprintf("POST /services/jobs/echo HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s\r\n", crewKey, lines)
		},
		answerLargely: func(on bool) {
			f.post(f.services[0].control, "/_faults", plain.Faults{PaddingBytes: paddingOf(on)})
		},
		ask: func() bool {
			return call(i.address, crewKey, http.MethodPost, "/services/jobs/echo", "", []byte("{}")).whole
		},
	}
}

// paddingOf returns the size of what follows the answers of upstreams.
func paddingOf(large bool) int {
	if large {
		return crowdUnreadBytes
	}
	return 0
}

// isAlive reports whether the instance still runs.
func (d *crowdDoor) isAlive() bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.cmd.Process.Pid))
	return err == nil && strings.Contains(string(status), "VmHWM:")
}

// numFDs returns how many descriptors the instance has open.
func (d *crowdDoor) numFDs() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.process.cmd.Process.Pid))
	if err != nil {
		d.t.Fatal(err)
	}
	return len(entries)
}

// awaitOrdinary waits until an ordinary request is answered.
func (d *crowdDoor) awaitOrdinary(when string) {
	d.t.Helper()
	await(d.t, "an ordinary request to be answered "+when, func() bool {
		if !d.isAlive() {
			d.t.Fatal("the instance has ended " + when)
		}
		return d.ask()
	})
}

// join starts the clients of a form. It returns the connections that they keep.
func (d *crowdDoor) join(sending *sync.WaitGroup, form crowdForm, clients int) []net.Conn {
	var conns []net.Conn
	until := time.Now().Add(crowdPeriod)
	for range clients {
		conn, err := net.Dial("tcp", d.address)
		if err != nil {
			continue // refused, which an instance may do
		}
		_ = conn.SetWriteDeadline(until)
		conns = append(conns, conn)
		sending.Go(func() { form.send(&crowdClient{door: d, Conn: conn, until: until}) })
	}
	return conns
}

// watchMemory ends the instance if it takes more than crowdAbortMB, until the returned function is called.
func (d *crowdDoor) watchMemory() (stop func()) {
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(pollInterval):
			}
			if d.isAlive() && peakMemoryMB(d.t, d.process) > crowdAbortMB {
				d.t.Errorf("the instance took more than %d MB, and was ended by the test", crowdAbortMB)
				d.process.signal(unix.SIGKILL)
				return
			}
		}
	})
	return func() { close(done); watching.Wait() }
}

// checkForms has crowds of all forms together at an instance, and checks it while they stay and when they have left.
func (d *crowdDoor) checkForms(forms []crowdForm, share int) {
	stop := d.watchMemory()
	defer stop()
	d.awaitOrdinary("before the crowd")
	var sending sync.WaitGroup
	var conns []net.Conn
	for _, form := range forms {
		conns = append(conns, d.join(&sending, form, (form.clients+share-1)/share)...)
	}
	sending.Wait()
	d.awaitOrdinary("beside the crowd")
	peak := peakMemoryMB(d.t, d.process)
	for _, conn := range conns {
		_ = conn.Close()
	}
	d.awaitOrdinary("after the crowd")
	peak = max(peak, peakMemoryMB(d.t, d.process))
	d.t.Logf("peak memory %d MB", peak)
	if peak > crowdMemoryMB {
		d.t.Errorf("the instance took %d MB, of %d", peak, crowdMemoryMB)
	}
}

// skipWithRaceDetector skips tests of memory where the instances are built with the race detector, which multiplies it.
func skipWithRaceDetector(t *testing.T) {
	if raceFlags != nil {
		t.Skip("the race detector multiplies the memory; scripts/test.sh runs this test without it")
	}
}

// Guards against an instance that exceeds its memory or hangs because of what clients send or leave unread.
func TestCrowdLeavesTheInstanceAlone(t *testing.T) {
	skipWithRaceDetector(t)
	for door, startDoor := range crowdDoors {
		for _, form := range crowdForms {
			t.Run(door+"/"+form.name, func(t *testing.T) {
				startDoor(t, crowdSettings).checkForms([]crowdForm{form}, 1)
			})
		}
	}
}

// Guards against an instance that exceeds its memory or hangs because clients misbehave in all ways at once.
func TestMixedCrowdLeavesTheInstanceAlone(t *testing.T) {
	skipWithRaceDetector(t)
	for door, startDoor := range crowdDoors {
		t.Run(door, func(t *testing.T) {
			startDoor(t, crowdSettings).checkForms(crowdForms, crowdShare)
		})
	}
}

// Guards against an instance that exceeds its memory, or serves nobody else, because clients do not read large answers.
func TestCrowdThatReadsNoAnswersLeavesTheInstanceAlone(t *testing.T) {
	skipWithRaceDetector(t)
	unread := crowdForm{"answers not read", 64, func(c *crowdClient) { c.write(c.lengthHead(2) + "{}") }}
	for door, startDoor := range crowdDoors {
		t.Run(door, func(t *testing.T) {
			d := startDoor(t, crowdSettings)
			stop := d.watchMemory()
			defer stop()
			d.awaitOrdinary("before the crowd")
			d.answerLargely(true)
			var sending sync.WaitGroup
			conns := d.join(&sending, unread, unread.clients)
			sending.Wait()
			time.Sleep(crowdPeriod)
			d.answerLargely(false)
			d.awaitOrdinary("beside the crowd")
			for _, conn := range conns {
				_ = conn.Close()
			}
			d.awaitOrdinary("after the crowd")
			if peak := peakMemoryMB(t, d.process); peak > crowdMemoryMB {
				t.Errorf("the instance took %d MB, of %d", peak, crowdMemoryMB)
			}
		})
	}
}

// Guards against clients that take all descriptors, so that none are left for upstreams, the store and other instances.
func TestCrowdLeavesDescriptors(t *testing.T) {
	skipWithRaceDetector(t)
	starts := map[string]func(c *crowdClient){
		"nothing sent":        func(*crowdClient) {},
		"half a head":         func(c *crowdClient) { c.write(c.door.head("X-First: f")) },
		"answered, then idle": func(c *crowdClient) { c.write(c.lengthHead(2) + "{}") },
	}
	for door, startDoor := range crowdDoors {
		for name, send := range starts {
			t.Run(door+"/"+name, func(t *testing.T) {
				d := startDoor(t, crowdFDSettings)
				limit := unix.Rlimit{Cur: crowdFDs, Max: crowdFDs}
				if err := unix.Prlimit(d.process.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
					t.Fatal(err)
				}
				var sending sync.WaitGroup
				conns := d.join(&sending, crowdForm{send: send}, crowdConnClients)
				sending.Wait()
				d.awaitOrdinary("beside the crowd")
				open := d.numFDs()
				t.Logf("%d descriptors open", open)
				if most := (crowdFDs - crowdFileFDs) * 3 / 4; open > most {
					t.Errorf("%d of %d descriptors are open, so clients leave too few for others (at most %d)", open, crowdFDs, most)
				}
				for _, conn := range conns {
					_ = conn.Close()
				}
				d.awaitOrdinary("after the crowd")
			})
		}
	}
}

// Guards against a limit that a single client inside the limits of the configuration meets, however it cuts its request
// into pieces.
func TestRequestInSmallPiecesIsServed(t *testing.T) {
	skipWithRaceDetector(t)
	requests := map[string]func(c *crowdClient){
		"body in chunks of one byte": func(c *crowdClient) {
			c.write(c.chunkedHead())
			c.repeatTimes("1\r\nb\r\n", crowdBodyLimit)
			c.write("0\r\n\r\n")
		},
		"body in one chunk": func(c *crowdClient) {
			c.write(c.chunkedHead())
			sendChunk(c, crowdBodyLimit)
			c.write("0\r\n\r\n")
		},
		"body after 100-continue": func(c *crowdClient) {
			c.write(c.door.head(fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d", crowdBodyLimit)) + "\r\n")
			c.repeatTimes("b", crowdBodyLimit)
		},
		"head in small pieces": func(c *crowdClient) {
			c.sendInPieces(c.headOf(crowdHeadBytes) + "\r\n\r\n{}")
		},
	}
	for door, startDoor := range crowdDoors {
		d := startDoor(t, crowdSettings)
		for name, send := range requests {
			t.Run(door+"/"+name, func(t *testing.T) {
				conn, err := net.Dial("tcp", d.address)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				c := &crowdClient{door: d, Conn: conn, until: time.Now().Add(waitTimeout)}
				var sending sync.WaitGroup
				sending.Go(func() { send(c) })
				if status := c.readStatus(); status != http.StatusOK {
					t.Errorf("got status %d", status)
				}
				sending.Wait()
			})
		}
	}
}
