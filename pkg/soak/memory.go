package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

// memoryInterval is the pause between two readings of the memory of all processes.
const memoryInterval = 50 * time.Millisecond

// watchMemory reads the memory of all instances until ctx ends, and reports each process that exceeds the
// bound once.
func (r *runner) watchMemory(ctx context.Context) {
	exceeded := map[int]bool{}
	for pause.For(ctx, memoryInterval) {
		for _, i := range r.fleet.instances {
			pid := i.pid()
			used, err := residentBytes(pid)
			if err != nil {
				continue // the process has ended
			}
			r.maxMemory = max(r.maxMemory, used)
			if bound := r.opts.MaxMemoryBytes; bound > 0 && used > bound && !exceeded[pid] {
				exceeded[pid] = true
				r.reportViolation("%s: used %d MB of memory, %d allowed", i.name, used>>20, bound>>20)
			}
		}
	}
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, fmt.Errorf("memory of process %d: %q", pid, text)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// pid returns the id of the current process.
func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cmd.Process.Pid
}
