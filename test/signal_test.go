package test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// Guards against an instance that is ended by a hangup which comes before it has read its settings.
func TestHangupDuringAStartEndsNothing(t *testing.T) {
	f := newRouted(t, 1, 1_000_000)
	i := f.instances[0]
	i.kill()
	text, err := os.ReadFile(i.settings)
	f.must(err)
	present := i.settings
	i.settings = filepath.Join(t.TempDir(), "settings")
	f.must(syscall.Mkfifo(i.settings, 0o600))
	i.process = f.run(i)
	settings, err := os.OpenFile(i.settings, os.O_WRONLY, 0) // returns once the process reads
	f.must(err)
	i.signal(syscall.SIGHUP)
	_, err = settings.Write(text)
	f.must(err)
	f.must(settings.Close())
	f.must(os.Remove(i.settings))
	f.must(os.Rename(present, i.settings)) // for whoever reads it again
	f.awaitRouted("ready", func() bool { return i.isReady() })
}
