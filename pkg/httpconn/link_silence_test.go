package httpconn

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// Times of the tests of silent links.
const (
	// longestSilence is the longest silence that says nothing about the other end.
	longestSilence = 2 * time.Second
	// maxDrawnOut is how much longer than intended a silence may last on a busy machine. A longer one is
	// repeated.
	maxDrawnOut = 500 * time.Millisecond
	maxTries    = 20
	// silenceTestTimeout bounds the wait for the end of a connection.
	silenceTestTimeout = time.Minute
)

// bpfReturn is the code of the instruction that ends a packet filter, here with the verdict to drop all.
const bpfReturn = 0x06

// dropAll makes a connection lose every packet that it is sent, as a silent link does, or ends that.
func dropAll(t *testing.T, conn net.Conn, drop bool) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	instruction := syscall.SockFilter{Code: bpfReturn}
	program := syscall.SockFprog{Len: 1, Filter: &instruction}
	option, size := uintptr(syscall.SO_DETACH_FILTER), unsafe.Sizeof(int32(0))
	if drop {
		option, size = syscall.SO_ATTACH_FILTER, unsafe.Sizeof(program)
	}
	err = raw.Control(func(fd uintptr) {
		_, _, errno := syscall.Syscall6(syscall.SYS_SETSOCKOPT, fd, syscall.SOL_SOCKET, option,
			uintptr(unsafe.Pointer(&program)), size, 0)
		if errno != 0 {
			t.Errorf("set the packet filter: %v", errno)
		}
	})
	if err != nil {
		t.Error(err)
	}
}

// linkedPair returns the two ends of a connection that DialTCP opened.
func linkedPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if near, err = DialTCP(t.Context(), listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// readDuringSilence sends a request over a link that is silent for longestSilence from some time after the
// request, or from just before it if after is 0. It returns the result of reading the answer, and whether the
// silence lasted as intended.
func readDuringSilence(t *testing.T, after time.Duration) (err error, asIntended bool) {
	t.Helper()
	near, far := linkedPair(t)
	setDrop := func(drop bool) {
		dropAll(t, near, drop)
		dropAll(t, far, drop)
	}
	var silence sync.WaitGroup
	var lasted time.Duration
	began := make(chan struct{})
	silence.Go(func() {
		time.Sleep(after)
		start := time.Now()
		setDrop(true)
		close(began)
		time.Sleep(longestSilence)
		setDrop(false)
		lasted = time.Since(start)
	})
	if after == 0 {
		<-began
	}
	if _, err := near.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	silence.Go(func() {
		if _, err := far.Read(make([]byte, 16)); err != nil {
			return // the near end reports what happened
		}
		time.Sleep(2 * longestSilence)
		_, _ = far.Write([]byte("answer"))
	})
	_ = near.SetReadDeadline(time.Now().Add(silenceTestTimeout))
	_, err = near.Read(make([]byte, 16))
	_ = far.SetReadDeadline(time.Now())
	silence.Wait()
	return err, lasted <= longestSilence+maxDrawnOut
}

// Guards against requests in progress that are ended although their upstreams are sound: a link that loses
// all packets for up to two seconds, while a request is sent or while its answer is awaited, carries the
// answer afterwards.
func TestSilenceOfTwoSecondsEndsNoConnection(t *testing.T) {
	for _, after := range []time.Duration{0, 500 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			for range maxTries {
				err, asIntended := readDuringSilence(t, after)
				switch {
				case !asIntended:
					continue
				case err != nil:
					t.Errorf("the answer after the silence: %v", err)
				}
				return
			}
			t.Error("the machine drew out each silence")
		})
	}
}

// Guards against requests that wait for their deadlines on connections that are silent for good: the kernel
// ends these, whether they wait for an answer or for data to be acknowledged.
func TestLastingSilenceEndsTheConnection(t *testing.T) {
	for _, sendsInSilence := range []bool{false, true} {
		t.Run(fmt.Sprint("sends in silence=", sendsInSilence), func(t *testing.T) {
			t.Parallel()
			near, far := linkedPair(t)
			dropAll(t, near, true)
			dropAll(t, far, true)
			if sendsInSilence {
				if _, err := near.Write([]byte("request")); err != nil {
					t.Fatal(err)
				}
			}
			_ = near.SetReadDeadline(time.Now().Add(silenceTestTimeout))
			if _, err := near.Read(make([]byte, 16)); !errors.Is(err, syscall.ETIMEDOUT) {
				t.Errorf("read %v", err)
			}
		})
	}
}
