package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderring/lavenderring/pkg/ring"
)

// Bounds of BoundedWriter.
const (
	// maxPendingLines bounds the lines that wait for a slow reader of the log; at
	// about 300 bytes a line they take some 300 KB.
	maxPendingLines = 1024
	// MaxLinesPerSecond bounds the lines that one process writes. A line costs
	// some ten microseconds of processor time, so logging takes about half a
	// percent of a core; a request takes two or three lines.
	MaxLinesPerSecond = 400
)

// BoundedWriter forwards lines to an output from a separate goroutine. Write never
// blocks: lines beyond the bounds are dropped and counted, and a line in the log
// reports the count.
type BoundedWriter struct {
	out     io.Writer
	lines   *ring.Queue[[]byte]
	dropped atomic.Int64
	now     func() time.Time
	done    sync.WaitGroup

	mu              sync.Mutex
	currentSecond   int64
	linesThisSecond int
}

// NewBoundedWriter returns a BoundedWriter that writes to out until Close.
func NewBoundedWriter(out io.Writer, now func() time.Time) *BoundedWriter {
	b := &BoundedWriter{out: out, lines: ring.New[[]byte](maxPendingLines), now: now}
	b.done.Add(1)
	go b.run()
	return b
}

// Allow reports whether a line may be written now, and counts a line that may not
// as dropped. It is called before the line is formatted.
func (b *BoundedWriter) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := b.now().Unix(); second != b.currentSecond {
		b.currentSecond, b.linesThisSecond = second, 0
	}
	if b.linesThisSecond >= MaxLinesPerSecond {
		b.dropped.Add(1)
		return false
	}
	b.linesThisSecond++
	return true
}

// Write implements io.Writer. It copies the line.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if !b.lines.TryPut(append([]byte(nil), line...)) {
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

func (b *BoundedWriter) run() {
	defer b.done.Done()
	reported := int64(0)
	for line := range b.lines.Items() {
		if line == nil {
			return
		}
		_, _ = b.out.Write(line) // there is nowhere to report a failure to write the log
		if dropped := b.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(b.out, "{\"msg\":\"lines-dropped\",\"dropped\":%d}\n", dropped)
			reported = dropped
		}
	}
}

// Close writes the pending lines and stops the goroutine.
func (b *BoundedWriter) Close() {
	for !b.lines.TryPut(nil) {
		time.Sleep(time.Millisecond)
	}
	b.done.Wait()
}
