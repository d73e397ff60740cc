package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/standin/plain"
	"github.com/lavenderring/lavenderring/platform"
	"github.com/lavenderring/lavenderring/platform/standin"
)

const (
	// largeAnswerBytes is the size of an answer that the buffers of a connection cannot hold.
	largeAnswerBytes = 15 << 20
	// slowClientPause is how long a slow client does not read: longer than either door waits for other
	// reasons, and shorter than the grace period.
	slowClientPause = 4200 * time.Millisecond
)

// readSlowly sends a request, reads the head of its answer, stops the instance, and reads the rest after
// slowClientPause. It returns the number of bytes of the body.
func readSlowly(t *testing.T, address, request string, stop func()) (int64, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %+v, %v", resp, err)
	}
	stop()
	time.Sleep(slowClientPause)
	return io.Copy(io.Discard, resp.Body)
}

// Guards against a planned stop that closes connections while slow clients still receive their answers:
// an answer is delivered only once it is written, not once it is ready.
func TestPlannedStopLeavesSlowClientsTheirAnswers(t *testing.T) {
	f := newRoutedFleet(t, 1, 1_000_000)
	f.setFaults(f.plainUpstreams, standin.UpstreamFaults{PaddingBytes: largeAnswerBytes})
	request := fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: slow\r\n%s: 2500\r\nContent-Length: 0\r\n\r\n",
		routedHost, routedKey, platform.UpstreamHeaders.RequestID, platform.UpstreamHeaders.Deadline)
	i := f.instances[0]
	if n, err := readSlowly(t, i.clientAddress, request, func() { i.signal(syscall.SIGTERM) }); n < largeAnswerBytes || err != nil {
		t.Errorf("the client received %d of more than %d bytes, %v", n, largeAnswerBytes, err)
	}
	if err := i.cmd.Wait(); err != nil {
		t.Errorf("the stopped instance ended with %v", err)
	}
}

// Guards against the same failure at the project's own door.
func TestPlannedStopOfTheOwnDoorLeavesSlowClientsTheirAnswers(t *testing.T) {
	f := newFleet(t, options{instances: 1, services: 1, prepaid: 10_000})
	f.post(f.services[0].control, "/_faults", plain.Faults{PaddingBytes: largeAnswerBytes})
	body := `{"job":"leak-1"}`
	request := strings.Join([]string{
		"POST /services/jobs/assign HTTP/1.1", "Host: h", "Authorization: Bearer " + crewKey,
		fmt.Sprintf("Content-Length: %d", len(body)), "", body,
	}, "\r\n")
	i := f.instances[0]
	if n, err := readSlowly(t, i.address, request, func() { i.signal(syscall.SIGTERM) }); n < largeAnswerBytes || err != nil {
		t.Errorf("the client received %d of more than %d bytes, %v", n, largeAnswerBytes, err)
	}
	if err := i.cmd.Wait(); err != nil {
		t.Errorf("the stopped instance ended with %v", err)
	}
}
