package test

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// exitUsage is the exit code of an instance whose settings are not valid.
	exitUsage = 2
	// invalidSettings is the text of a settings file that no instance starts with.
	invalidSettings = "name = ["
	// startsPerDelay is how often a process is started for each delay of a signal.
	startsPerDelay = 5
)

// instanceCommands are the commands that run an instance.
var instanceCommands = []string{"serve", "route"}

// Guards against an instance that is ended by a SIGHUP which arrives before its main function runs. The process
// is held there: it reports each package's initialization to a pipe that is full.
func TestHangupBeforeMainEndsNoInstance(t *testing.T) {
	settings := writeInvalidSettings(t)
	for _, command := range instanceCommands {
		t.Run(command, func(t *testing.T) {
			if state := hangUpBeforeMain(t, command, settings); state.ExitStatus() != exitUsage {
				t.Errorf("ended with signal %v, exit code %d; want exit code %d", state.Signal(), state.ExitStatus(), exitUsage)
			}
		})
	}
}

// Guards against an operator's command that outlives its terminal.
func TestHangupEndsOtherCommands(t *testing.T) {
	for _, args := range [][]string{{"config", "serve"}, {"timeline", "route"}, {"--help"}} {
		t.Run(args[0], func(t *testing.T) {
			if state := hangUpBeforeMain(t, args...); !state.Signaled() || state.Signal() != syscall.SIGHUP {
				t.Errorf("ended with signal %v, exit code %d; want SIGHUP", state.Signal(), state.ExitStatus())
			}
		})
	}
}

// Guards against an instance that is ended by a SIGHUP at some time of its start.
func TestHangupAtAnyTimeOfAStartEndsNoInstance(t *testing.T) {
	for _, command := range instanceCommands {
		for _, millis := range []int{0, 1, 2, 4, 8, 16, 32} {
			t.Run(fmt.Sprintf("%s after %d ms", command, millis), func(t *testing.T) {
				for range startsPerDelay {
					state := hangUpAfter(t, time.Duration(millis)*time.Millisecond, command)
					if state.ExitStatus() != exitUsage {
						t.Errorf("ended with signal %v, exit code %d; want exit code %d", state.Signal(), state.ExitStatus(), exitUsage)
					}
				}
			})
		}
	}
}

// Guards against an instance that ignores a SIGHUP for good.
func TestHangupHasTheSettingsReadAgain(t *testing.T) {
	served := newFleet(t, options{instances: 1, engines: 1})
	routed := newRoutedFleet(t, 1, 1_000_000)
	for command, p := range map[string]*process{"serve": served.instances[0], "route": routed.instances[0].process} {
		t.Run(command, func(t *testing.T) {
			log, ok := p.cmd.Stderr.(*os.File)
			if !ok {
				t.Fatal("the process has no log file")
			}
			p.signal(syscall.SIGHUP)
			await(t, "the settings to be read again", func() bool {
				text, err := os.ReadFile(log.Name())
				return err == nil && strings.Contains(string(text), "settings-read")
			})
		})
	}
}

func writeInvalidSettings(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte(invalidSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// hangUpBeforeMain starts the program, sends it a SIGHUP before its main function runs, and returns how it ended.
func hangUpBeforeMain(t *testing.T, args ...string) syscall.WaitStatus {
	t.Helper()
	output, input := fullPipe(t)
	cmd := exec.Command(filepath.Join(binaries, "lavenderring"), args...)
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	cmd.Stderr = input
	startCommand(t, cmd)
	_ = input.Close()
	awaitSignalMask(t, cmd, syscall.SIGSEGV) // the Go runtime handles signals, so it has decided what to do with each
	hangUp(t, cmd)
	go func() { _, _ = io.Copy(io.Discard, output) }()
	return waitStatus(t, cmd)
}

// fullPipe returns a pipe to which nothing can be written until something is read.
func fullPipe(t *testing.T) (output, input *os.File) {
	t.Helper()
	var ends [2]int
	if err := syscall.Pipe2(ends[:], syscall.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	output, input = os.NewFile(uintptr(ends[0]), "output"), os.NewFile(uintptr(ends[1]), "input")
	t.Cleanup(func() { _, _ = output.Close(), input.Close() })
	if err := syscall.SetNonblock(ends[1], true); err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := syscall.Write(ends[1], []byte{0}); errors.Is(err, syscall.EAGAIN) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if err := syscall.SetNonblock(ends[1], false); err != nil {
		t.Fatal(err)
	}
	return output, input
}

// hangUpAfter starts an instance, sends it a SIGHUP some time after it has first set what a SIGHUP does, gives it
// settings that are not valid, and returns how it ended.
func hangUpAfter(t *testing.T, delay time.Duration, command string) syscall.WaitStatus {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binaries, "lavenderring"), command, settings)
	startCommand(t, cmd)
	awaitSignalMask(t, cmd, syscall.SIGHUP)
	time.Sleep(delay)
	hangUp(t, cmd)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = os.WriteFile(settings, []byte(invalidSettings), 0) // waits until somebody reads
	}()
	state := waitStatus(t, cmd)
	reader, err := os.OpenFile(settings, os.O_RDONLY|syscall.O_NONBLOCK, 0) // if the process did not read
	if err != nil {
		t.Fatal(err)
	}
	<-written
	_ = reader.Close()
	return state
}

// startCommand starts a command and kills it when the test ends.
func startCommand(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	// Children have the default action of a signal that this process handles, also if its own parent ignores it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it has ended unless the test failed
}

func hangUp(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// waitStatus waits until a process has ended, and returns how.
func waitStatus(t *testing.T, cmd *exec.Cmd) syscall.WaitStatus {
	t.Helper()
	_ = cmd.Wait() // the status says why it ended
	state, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	if !ok {
		t.Fatal("no wait status")
	}
	return state
}

// awaitSignalMask waits until a program ignores a signal or handles it.
func awaitSignalMask(t *testing.T, cmd *exec.Cmd, signal syscall.Signal) {
	t.Helper()
	pid := cmd.Process.Pid
	for deadline := time.Now().Add(waitTimeout); !runsProgram(t, pid) || !setsSignal(t, pid, signal); {
		if time.Now().After(deadline) {
			t.Fatalf("the process neither ignores nor handles %v", signal)
		}
	}
}

// runsProgram reports whether a process has its arguments. Before that, it may still have what its parent set for
// signals.
func runsProgram(t *testing.T, pid int) bool {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(text) > 0
}

// setsSignal reports whether a process ignores a signal or handles it.
func setsSignal(t *testing.T, pid int, signal syscall.Signal) bool {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	var set uint64
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		mask, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		if err != nil {
			t.Fatal(err)
		}
		set |= mask
	}
	return set&(1<<(signal-1)) != 0
}
