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

	"github.com/lavenderring/lavenderring/platform"
	"github.com/lavenderring/lavenderring/platform/standin"
)

const (
	// departedClients is how many clients leave while the instance is stopped.
	departedClients = 40
	// departurePause is the time from the signal until the instance has stopped and clients send, from then until
	// they leave, and from then until the instance goes on.
	departurePause = 300 * time.Millisecond
	// settlePause is the time in which requests that were begun would reach an upstream.
	settlePause = time.Second
)

// rawRequest returns the text of a client's request.
func rawRequest(id, route string) string {
	headers := platform.UpstreamHeaders
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s: 2500\r\n%s: %d,%d\r\nContent-Length: 1\r\n\r\nx",
		route, routedHost, routedKey, headers.RequestID, id, headers.Deadline, headers.Tokens, promptTokens, outputTokens)
}

// openClients opens connections to an address and, for kept ones, has each serve a request.
func openClients(t *testing.T, address string, kept bool, request func(n int) string) []net.Conn {
	t.Helper()
	conns := make([]net.Conn, departedClients)
	for n := range conns {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		conns[n] = conn
		if !kept {
			continue
		}
		_, _ = io.WriteString(conn, request(n))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d on a connection to be kept: %+v, %v", n, resp, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
	}
	return conns
}

// departWhileStopped has each client send a request and leave while the instance is stopped. extra follows each
// request.
func departWhileStopped(conns []net.Conn, stopped *process, extra string, request func(n int) string) {
	stopped.signal(syscall.SIGSTOP)
	time.Sleep(departurePause)
	for n, conn := range conns {
		_, _ = io.WriteString(conn, request(n)+extra)
	}
	time.Sleep(departurePause)
	for _, conn := range conns {
		_ = conn.Close()
	}
	time.Sleep(departurePause)
	stopped.signal(syscall.SIGCONT)
	time.Sleep(settlePause)
}

// Guards against work for clients that have left: an instance that was late reads a request whose client has
// closed the connection meanwhile, and must not begin it at an upstream.
func TestRequestsOfDepartedClientsAreNotBegun(t *testing.T) {
	f := newRoutedFleet(t, 1, 1_000_000_000)
	i := f.instances[0]
	for _, route := range requestKinds {
		for _, kept := range []bool{false, true} {
			for _, extra := range []string{"", rawRequest("next", route)[:20]} {
				t.Run(fmt.Sprintf("%s kept=%t extra=%d", route, kept, len(extra)), func(t *testing.T) {
					name := strings.ReplaceAll(t.Name(), "/", "-")
					conns := openClients(t, i.clientAddress, kept, func(n int) string { return rawRequest(fmt.Sprintf("%s-first-%d", name, n), route) })
					id := func(n int) string { return fmt.Sprintf("%s-left-%d", name, n) }
					departWhileStopped(conns, i.process, extra, func(n int) string { return rawRequest(id(n), route) })
					begun := 0
					for n := range conns {
						begun += len(f.runsOf(id(n)))
					}
					if begun > 0 {
						t.Errorf("%d of %d requests were begun after their clients had left", begun, len(conns))
					}
				})
			}
		}
	}
}

// Guards against the same failure at the project's own door.
func TestOwnDoorDoesNotBeginRequestsOfDepartedClients(t *testing.T) {
	f := newFleet(t, options{instances: 1, services: 1, prepaid: 1_000_000_000})
	i := f.instances[0]
	for _, path := range []string{"assign", "find"} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s kept=%t", path, kept), func(t *testing.T) {
				job := func(kind string, n int) string { return fmt.Sprintf("%s-%s-%t-%d", path, kind, kept, n) }
				request := func(kind string) func(n int) string {
					return func(n int) string {
						body := fmt.Sprintf(`{"job":%q}`, job(kind, n))
						return strings.Join([]string{
							"POST /services/jobs/" + path + " HTTP/1.1", "Host: h", "Authorization: Bearer " + crewKey,
							fmt.Sprintf("Content-Length: %d", len(body)), "", body,
						}, "\r\n")
					}
				}
				conns := openClients(t, i.address, kept, request("first"))
				departWhileStopped(conns, i, "", request("left"))
				begun := 0
				for n := range conns {
					begun += f.runsOf(job("left", n))
				}
				if begun > 0 {
					t.Errorf("%d of %d requests were begun after their clients had left", begun, len(conns))
				}
			})
		}
	}
}

// Guards against work that goes on for a client that has sent bytes of a next request and left: the unread bytes
// must not hide that its connection is closed.
func TestWorkEndsForDepartedClientsWithUnreadBytes(t *testing.T) {
	f := newRoutedFleet(t, 1, 1_000_000_000)
	upstreams := append(append([]*standin.Upstream{}, f.plainUpstreams...), f.engines...)
	f.setFaults(upstreams, standin.UpstreamFaults{Delay: 2 * time.Second})
	for _, route := range requestKinds {
		t.Run(route, func(t *testing.T) {
			id := "unread-" + route
			conns := openClients(t, f.instances[0].clientAddress, false, nil)
			_, _ = io.WriteString(conns[0], rawRequest(id, route)+rawRequest("next", route)[:20])
			f.await("the request to run", func() bool { return len(f.runsOf(id)) == 1 })
			_ = conns[0].Close()
			time.Sleep(settlePause)
			if runs := f.runsOf(id); !runs[0].Cancelled {
				t.Errorf("the upstream still works on the request %v after its client has left", settlePause)
			}
		})
	}
}
