package httpconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrReset means that a connection was reset, or given up by the kernel, before the peer had ended it in an orderly
// way: what was received may be incomplete.
var ErrReset = errors.New("connection was reset")

// Linux reports the error of a connection once, to the first call on its socket. A write that takes it leaves the
// read with an end of file, as after an orderly end, so the state of the connection has to be asked as well.

// tcpClose is TCP_CLOSE of the states in linux/tcp_states.h.
const tcpClose = 7

// ending tells how a connection ended. Writes and the reads that meet the end share it.
type ending struct {
	raw net.Conn
	// mu is held during each write.
	mu sync.Mutex
	// writeErr is the error of the first write that failed, guarded by mu.
	writeErr error
}

// Write implements io.Writer.
func (e *ending) Write(p []byte) (int, error) {
	buffers := net.Buffers{p}
	n, err := e.writeAll(&buffers)
	return int(n), err
}

// writeAll writes buffers, with a single call where the connection allows it.
func (e *ending) writeAll(buffers *net.Buffers) (int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, err := buffers.WriteTo(e.raw)
	if err != nil && e.writeErr == nil {
		e.writeErr = err
	}
	return n, err
}

// check returns the error of a read that met the end of file: io.EOF after an orderly end, otherwise ErrReset with
// its cause. Connections other than those of the kernel report their end themselves.
func (e *ending) check() error {
	socket, ok := e.raw.(syscall.Conn)
	if !ok {
		return io.EOF
	}
	closed, pending, err := socketState(socket)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrReset, err)
	case !closed || errors.Is(pending, syscall.EPIPE):
		return io.EOF
	case pending != nil:
		return fmt.Errorf("%w: %w", ErrReset, pending)
	}
	return e.checkWrite()
}

// checkWrite tells how a closed connection ended by the error that a write took. The kernel reports a reset after
// the peer's orderly end as a broken pipe. On a closed connection no write blocks.
func (e *ending) checkWrite() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.writeErr == nil:
		return ErrReset
	case errors.Is(e.writeErr, syscall.EPIPE):
		return io.EOF
	}
	return fmt.Errorf("%w: %w", ErrReset, e.writeErr)
}

// socketState reports whether a connection is closed in both directions, and takes the error that no call has been
// told yet, if any.
func socketState(socket syscall.Conn) (closed bool, pending, err error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, nil, err
	}
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr != nil {
			return
		}
		closed = info.State == tcpClose
		var code int
		if code, infoErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); code != 0 {
			pending = syscall.Errno(code)
		}
	})
	return closed, pending, errors.Join(err, infoErr)
}
