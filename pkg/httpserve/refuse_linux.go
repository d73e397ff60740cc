package httpserve

import "syscall"

const (
	// soBindToIfIndex is the socket option SO_BINDTOIFINDEX, which package syscall lacks.
	soBindToIfIndex = 62
	// noInterface is the index of a network interface that does not exist.
	noInterface = 1 << 30
)

// refuseNew makes the kernel refuse new connections and keep those in the queue: the listener is bound to
// an interface on which nothing arrives. An error leaves a short time in which a connection that enters the
// queue after the last look at it is reset.
func (l *listener) refuseNew() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soBindToIfIndex, noInterface)
	})
	if err != nil {
		return err
	}
	return optionErr
}
