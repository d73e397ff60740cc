package httpserve

import (
	"bufio"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against a server that accepts nothing any more because it once had no file descriptor left: the
// connections wait until it has one again.
func TestServerOutlivesAWantOfDescriptors(t *testing.T) {
	s, _ := newClosableServer(t)
	client := dial(t, s)
	send(t, client, wholeRequest)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	next, err := os.Open(os.DevNull) // its descriptor is the lowest free one
	if err != nil {
		t.Fatal(err)
	}
	none := limit
	none.Cur = uint64(next.Fd())
	_ = next.Close()
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	s.Serve()
	time.Sleep(wantTime)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, bufio.NewReader(client), http.StatusOK, false)
}

// wantTime is how long a server has no file descriptor left.
const wantTime = 200 * time.Millisecond
