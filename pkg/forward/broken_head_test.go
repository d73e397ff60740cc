package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/registry"
	"github.com/lavenderring/lavenderring/pkg/retrylimit"
	"github.com/lavenderring/lavenderring/pkg/routing"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// cutHeads are the heads of answers that upstreams break off, by how their bodies end.
var cutHeads = map[string]string{
	"length":     "HTTP/1.1 200 OK\r\nSeal: x\r\nContent-Length: 0\r\n\r\n",
	"chunks":     "HTTP/1.1 200 OK\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n",
	"connection": "HTTP/1.1 200 OK\r\nSeal: x\r\n\r\n",
}

// cuttingUpstream starts an upstream that answers each request with a text and closes the connection, and returns its
// address.
func cuttingUpstream(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// beginRecorder also records whether a stream has begun.
type beginRecorder struct {
	outcomeRecorder
	begun bool
}

// Begin implements Client.
func (r *beginRecorder) Begin(int, []Header) error {
	r.begun = true
	return nil
}

// Guards against clients that get an answer framed as whole, with an empty or short body, from an upstream that stopped
// within its head and closed the connection; at each byte, for each kind of route.
func TestBrokenHeadIsNeverDelivered(t *testing.T) {
	for description, head := range cutHeads {
		for _, kind := range []routing.Kind{routing.Once, routing.Idempotent, routing.Stream} {
			for cut := range len(head) {
				address := cuttingUpstream(t, head[:cut])
				upstreams := registry.New(time.Now)
				upstreams.Replace([]registry.Upstream{{ID: "u", Service: "s", Address: address}}, store.At(1))
				config := &routing.State{}
				config.Apply(&routing.Config{
					Version: 1, Services: []routing.Service{{Name: "s", MaxConnections: 8}},
					Routes: []routing.Route{{
						Name: "r", Host: "h", Prefix: "/", Kind: kind, Timeout: 2 * time.Second, MaxAttempts: 1,
						Targets: []routing.Target{{Service: "s", Weight: 1}},
					}},
				}, time.Now())
				f := New(Deps{
					Config: config, Registry: upstreams, Codec: plainCodec{}, Conns: httpconn.NewPool(time.Now),
					Log: eventlog.New("test", io.Discard), Metrics: metrics.NewRegistry(),
					Retries: retrylimit.Settings{Window: 10 * time.Second}, NumInstances: func() int { return 1 },
					StoreAvailable: func() bool { return true }, Now: time.Now,
				})
				f.Update()
				client := &beginRecorder{}
				f.Serve(context.Background(), &Request{
					ID: fmt.Sprint(cut), Method: "POST", Target: "/", Host: "h", Path: "/", Arrived: time.Now(),
				}, client)
				if client.status != 0 || client.begun || client.refusal == nil || client.refusal.Reason != OutcomeUnknown {
					t.Errorf("%s, %v, %d of %d bytes: status %d, begun %t, refusal %+v",
						description, kind, cut, len(head), client.status, client.begun, client.refusal)
				}
			}
		}
	}
}
