package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderring/lavenderring/pkg/ring"
)

// Bounds of a bounded output.
const (
	// linesWaiting bounds the lines that wait for a slow reader of the log; at
	// about 300 bytes a line that is some 300 KB.
	linesWaiting = 1024
	// LinesPerSecond bounds what one process writes. A line costs some ten
	// microseconds of processor time, so this stays near half a hundredth of a
	// core; a request takes two or three lines.
	LinesPerSecond = 400
)

// Bounded passes lines on from a goroutine of its own. It never blocks its
// writers: lines beyond the bounds are dropped, counted, and told of by a line.
type Bounded struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
	now     func() time.Time
	done    sync.WaitGroup

	mu     sync.Mutex
	second int64
	used   int
}

// NewBounded returns an output that writes to out until Close.
func NewBounded(out io.Writer, now func() time.Time) *Bounded {
	b := &Bounded{out: out, lines: ring.New[[]byte](linesWaiting), now: now}
	b.done.Add(1)
	go b.run()
	return b
}

// Allow reports whether a line may be written now; one that may not counts as
// dropped. It is asked before the line is made.
func (b *Bounded) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := b.now().Unix(); second != b.second {
		b.second, b.used = second, 0
	}
	if b.used >= LinesPerSecond {
		b.dropped.Add(1)
		return false
	}
	b.used++
	return true
}

// Write implements io.Writer; the line is copied.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.lines.TryPut(append([]byte(nil), line...)) {
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

func (b *Bounded) run() {
	defer b.done.Done()
	told := int64(0)
	for line := range b.lines.Items() {
		if line == nil {
			return
		}
		_, _ = b.out.Write(line) // a log that cannot be written has nowhere to say so
		if dropped := b.dropped.Load(); dropped > told {
			_, _ = fmt.Fprintf(b.out, "{\"msg\":\"lines-dropped\",\"dropped\":%d}\n", dropped)
			told = dropped
		}
	}
}

// Close writes what waits and stops.
func (b *Bounded) Close() {
	for !b.lines.TryPut(nil) {
		time.Sleep(time.Millisecond)
	}
	b.done.Wait()
}
