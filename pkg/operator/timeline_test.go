package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// The events of one request in the logs of two processes must be printed in the
// order of their times. Lines that are not events, such as a stack trace, must be
// counted rather than dropped silently.
func TestTimelineMergesProcesses(t *testing.T) {
	dir := t.TempDir()
	var logs []string
	files := map[string]*os.File{}
	writers := map[string]*eventlog.Log{}
	for _, name := range []string{"one", "two"} {
		path := filepath.Join(dir, name)
		file, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		logs, files[name], writers[name] = append(logs, path), file, eventlog.New(name, file)
	}
	for _, name := range []string{"one", "two", "one", "two"} {
		writers[name].Event(eventlog.RequestDispatched, "r1", eventlog.Fields{"by": name})
		writers[name].Event(eventlog.RequestDispatched, "r2", nil)
		time.Sleep(time.Millisecond)
	}
	if _, err := files["two"].WriteString("panic: no event\n"); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := Timeline(&out, logs, "r1", ""); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 5 || !strings.Contains(lines[4], "1 lines are not events") {
		t.Fatalf("got\n%s", out.String())
	}
	for i, name := range []string{"one", "two", "one", "two"} {
		if !strings.Contains(lines[i], "by="+name) {
			t.Errorf("line %d is %q", i, lines[i])
		}
	}
}
