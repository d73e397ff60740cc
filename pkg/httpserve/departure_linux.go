package httpserve

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the kernel's state of a TCP connection that neither end has closed.
const tcpEstablished = 1

// peerClosed reports whether the peer of a TCP connection has closed it, also behind bytes that are still unread.
func peerClosed(socket syscall.Conn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return true // closed at this end
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State != tcpEstablished
	})
	return closed || err != nil
}
