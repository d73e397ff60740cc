package settings

// Shares of what a process may take. Copies that the garbage collector has not freed yet come on top of the shares of
// the memory.
const (
	// heapPercent is the share of the memory that is set as the garbage collector's limit. The rest is left for
	// sockets and bursts.
	heapPercent = 60
	// answerMemoryPercent and requestMemoryPercent are the shares of the memory in which answers of upstreams and
	// requests of clients may be buffered.
	answerMemoryPercent  = 20
	requestMemoryPercent = 15
	// defaultRequestMemory is the memory for requests, in bytes, of a process without a limit.
	defaultRequestMemory = 256 << 20
)

// Resources holds the settings of what a process may take. Both programs have them.
type Resources struct {
	// MemoryMB is the memory that the process may use; 0 for no limit. Default 0.
	MemoryMB int64 `toml:"memory_mb"`
	// RequestMemoryMB is the memory in which the requests of all clients together may be buffered until they are
	// answered; it must hold the largest request. Default: 15 % of memory_mb, or 256 MB without a limit.
	RequestMemoryMB int64 `toml:"request_memory_mb"`
}

func (r *Resources) check(c *checker) {
	c.requireRange("memory_mb", r.MemoryMB, 0, 1<<20)
	c.requireRange("request_memory_mb", r.RequestMemoryMB, 0, 1<<20)
}

// HeapLimit returns the garbage collector's memory limit in bytes; 0 if the process's memory has no limit.
func (r *Resources) HeapLimit() int64 { return r.MemoryMB << 20 * heapPercent / 100 }

// AnswerMemory returns the memory in which answers of upstreams may be buffered, in bytes; 0 if the process's
// memory has no limit.
func (r *Resources) AnswerMemory() int { return int(r.MemoryMB << 20 * answerMemoryPercent / 100) }

// RequestMemory returns the memory in which requests of clients may be buffered, in bytes.
func (r *Resources) RequestMemory() int {
	switch {
	case r.RequestMemoryMB > 0:
		return int(r.RequestMemoryMB << 20)
	case r.MemoryMB > 0:
		return int(r.MemoryMB << 20 * requestMemoryPercent / 100)
	default:
		return defaultRequestMemory
	}
}
