package settings

import (
	"math"
	"syscall"
)

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
	// connMemoryPercent is the share of the memory that clients' connections may take, and connBytes what one takes
	// beside the requests on it.
	connMemoryPercent = 15
	connBytes         = 24 << 10
	// fileFDs is the number of descriptors that are kept for files, and clientFDPercent the share of the others
	// that clients' connections may take. Each request in progress may take as many again for an upstream, and half
	// as many for one beside it; the rest is for the store and other instances.
	fileFDs         = 200
	clientFDPercent = 30
	// defaultRequestMemory is the memory for requests, in bytes, of a process without a limit.
	defaultRequestMemory = 256 << 20
	// minMaxFDs is the smallest number of descriptors with which an instance works.
	minMaxFDs = 256
)

// Resources holds the settings of what a process may take. Both programs have them.
type Resources struct {
	// MemoryMB is the memory that the process may use; 0 for no limit. Default 0.
	MemoryMB int64 `toml:"memory_mb"`
	// RequestMemoryMB is the memory in which the requests of all clients together may be buffered until they are
	// answered; it must hold the largest request. Default: 15 % of memory_mb, or 256 MB without a limit.
	RequestMemoryMB int64 `toml:"request_memory_mb"`
	// MaxFDs is the number of descriptors that the process may open, 200 of them for files. Default: the limit of
	// the process (RLIMIT_NOFILE).
	MaxFDs int64 `toml:"max_fds"`
	// MaxClientConnections is the number of clients' connections that may be open. Beyond it, the one that waits
	// longest without a request in progress is closed. Default: 30 % of max_fds without those for files, and what
	// 15 % of memory_mb allows at 24 KiB each.
	MaxClientConnections int64 `toml:"max_client_connections"`
}

func (r *Resources) check(c *checker) {
	c.requireRange("memory_mb", r.MemoryMB, 0, 1<<20)
	c.requireRange("request_memory_mb", r.RequestMemoryMB, 0, 1<<20)
	c.require(r.MaxFDs == 0 || r.MaxFDs >= minMaxFDs && r.MaxFDs <= 1<<30, "max_fds", r.MaxFDs, "0, or 256 to 1073741824")
	c.requireRange("max_client_connections", r.MaxClientConnections, 0, 1<<30)
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

// ClientConnections returns the number of clients' connections that may be open.
func (r *Resources) ClientConnections() int {
	if r.MaxClientConnections > 0 {
		return int(r.MaxClientConnections)
	}
	most := (r.maxFDs() - fileFDs) * clientFDPercent / 100
	if r.MemoryMB > 0 {
		most = min(most, r.MemoryMB<<20*connMemoryPercent/100/connBytes)
	}
	return int(max(most, 1))
}

// maxFDs returns the number of descriptors that the process may open.
func (r *Resources) maxFDs() int64 {
	if r.MaxFDs > 0 {
		return r.MaxFDs
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return minMaxFDs
	}
	return int64(min(limit.Cur, math.MaxInt32))
}
