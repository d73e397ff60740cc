package httpserve

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// listener accepts the connections of a server. When it stops, the connections that wait in its queue are
// still accepted: closing a listener resets them.
type listener struct {
	*net.TCPListener
	// accepted returns an accepted connection as it is handed to the library; nil if it has been closed.
	accepted func(net.Conn) net.Conn
	stopping atomic.Bool
}

// acceptRetryDelay is the pause after an accept that failed for a reason that passes.
const acceptRetryDelay = 10 * time.Millisecond

// Accept implements net.Listener. The library ends a server whose listener returns an error, so errors that
// pass are not returned.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.TCPListener.Accept()
		if l.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			conn, err = l.acceptQueued()
		}
		if err != nil && !isTransient(err) {
			return nil, err
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if accepted := l.accepted(conn); accepted != nil {
			return accepted, nil
		}
	}
}

// isTransient reports whether an accept failed for a reason that passes, such as that the process has no
// descriptors left. The connections in the queue are kept.
func isTransient(err error) bool {
	for _, transient := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR,
	} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// stop ends the listening once the queue is empty.
func (l *listener) stop() {
	_ = l.refuseNew() // without it, stopping works, but a connection may be reset
	l.stopping.Store(true)
	_ = l.SetDeadline(pastTime)
}

// acceptQueued accepts a connection that waits in the queue, and closes the listener if there is none.
func (l *listener) acceptQueued() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd := -1
	var acceptErr error
	err = raw.Control(func(listening uintptr) { fd, _, acceptErr = syscall.Accept(int(listening)) })
	if err != nil {
		return nil, err
	}
	if isTransient(acceptErr) {
		return nil, acceptErr
	}
	if acceptErr != nil {
		_ = l.Close()
		return nil, net.ErrClosed
	}
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }()
	return net.FileConn(file) // has its own descriptor
}
