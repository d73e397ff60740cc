package test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// Guards against an instance that is ended by a SIGHUP which arrives before it has read its settings.
// The settings file is a named pipe, so that the test decides when the reading ends.
func TestHangupDuringAStartEndsNothing(t *testing.T) {
	f := newRoutedFleet(t, 1, 1_000_000)
	i := f.instances[0]
	i.kill()
	text, err := os.ReadFile(i.settingsPath)
	f.must(err)
	settingsPath := i.settingsPath
	i.settingsPath = filepath.Join(t.TempDir(), "settings")
	f.must(syscall.Mkfifo(i.settingsPath, 0o600))
	i.process = f.startProcess(i)
	pipe, err := os.OpenFile(i.settingsPath, os.O_WRONLY, 0) // returns once the process has opened the pipe for reading
	f.must(err)
	i.signal(syscall.SIGHUP)
	_, err = pipe.Write(text)
	f.must(err)
	f.must(pipe.Close())
	f.must(os.Remove(i.settingsPath))
	f.must(os.Rename(settingsPath, i.settingsPath)) // a reload reads the file again
	f.await("the instance to be ready", func() bool { return i.isReady() })
}
