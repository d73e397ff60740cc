package eventlog

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

// Write implements io.Writer.
func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// The output of a process's log blocks while many events are written. No event may
// wait for it: lines must be dropped and counted instead.
func TestLogNeverBlocks(t *testing.T) {
	release := make(chan struct{})
	now := time.Unix(0, 0)
	b := NewBoundedWriter(blockedWriter{release}, func() time.Time { return now })
	log := New("p", b)
	for n := range 10 * maxPendingLines {
		if n%MaxLinesPerSecond == 0 {
			now = now.Add(time.Second)
		}
		log.Event(InstanceReady, "", nil)
	}
	if b.Dropped() < 8*maxPendingLines {
		t.Errorf("%d lines were dropped, want at least 8 times maxPendingLines", b.Dropped())
	}
	close(release)
	b.Close()
}

// A burst of events exceeds the lines allowed in a second. The log must report how
// many lines were dropped.
func TestDroppedLinesAreTold(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	b := NewBoundedWriter(&out, func() time.Time { return now })
	log := New("p", b)
	for range MaxLinesPerSecond + 50 {
		log.Event(InstanceReady, "", nil)
	}
	now = now.Add(time.Second)
	log.Event(InstanceReady, "", nil)
	b.Close()
	if !strings.Contains(out.String(), `"dropped":50`) {
		t.Errorf("the log does not report 50 dropped lines; dropped: %d", b.Dropped())
	}
}
