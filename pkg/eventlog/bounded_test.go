package eventlog

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// stuck is a log that nobody reads.
type stuck struct{ release chan struct{} }

// Write implements io.Writer.
func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Nobody reads a process's log while many requests come. None of them waits for
// it: lines are dropped and counted.
func TestLogNeverBlocks(t *testing.T) {
	release := make(chan struct{})
	now := time.Unix(0, 0)
	b := NewBounded(stuck{release}, func() time.Time { return now })
	log := New("p", b)
	for n := range 10 * linesWaiting {
		if n%LinesPerSecond == 0 {
			now = now.Add(time.Second)
		}
		log.Event(InstanceReady, "", nil)
	}
	if b.Dropped() < 8*linesWaiting {
		t.Errorf("%d lines were dropped", b.Dropped())
	}
	close(release)
	b.Close()
}

// A burst writes more lines than a process may in a second; the log tells how
// many are missing.
func TestDroppedLinesAreTold(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	b := NewBounded(&out, func() time.Time { return now })
	log := New("p", b)
	for range LinesPerSecond + 50 {
		log.Event(InstanceReady, "", nil)
	}
	now = now.Add(time.Second)
	log.Event(InstanceReady, "", nil)
	b.Close()
	if !strings.Contains(out.String(), `"dropped":50`) {
		t.Error("the log does not tell of 50 lines")
	}
}
