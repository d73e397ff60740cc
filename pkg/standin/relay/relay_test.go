package relay

import (
	"net"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/standin/loopback"
)

// waitTimeout bounds every wait of a test.
const waitTimeout = 10 * time.Second

// Guards against a connection that outlives a cut or the end of the relay because the relay was just
// connecting to the target.
func TestConnectionInSetUpIsCut(t *testing.T) {
	cases := []struct {
		description string
		cut         func(*Relay)
	}{
		{"cut", func(r *Relay) { r.SetFaults(Faults{Cut: true}) }},
		{"cut for a moment", func(r *Relay) { r.SetFaults(Faults{Cut: true}); r.SetFaults(Faults{}) }},
		{"end of the relay", func(r *Relay) { r.Close() }},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			near, far := net.Pipe()
			deadline := time.Now().Add(waitTimeout)
			if err := far.SetReadDeadline(deadline); err != nil {
				t.Fatal(err)
			}
			address := loopback.Address()
			r, err := Start(address, "", "")
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			r.mu.Lock()
			r.dial = func(string) (net.Conn, error) {
				c.cut(r)
				return near, nil
			}
			r.mu.Unlock()
			client, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = client.Close() }()
			if err := client.SetReadDeadline(deadline); err != nil {
				t.Fatal(err)
			}
			for side, conn := range map[string]net.Conn{"client": client, "target": far} {
				_, err = conn.Read(make([]byte, 1))
				if netErr, ok := err.(net.Error); err == nil || ok && netErr.Timeout() {
					t.Errorf("the connection to the %s stays open: %v", side, err)
				}
			}
		})
	}
}
