package door

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/lavenderring/lavenderring/pkg/forward"
)

// plainFormat decodes nothing and gives every refusal one status.
type plainFormat struct{}

func (plainFormat) DecodeRequest(*protocol.RequestHeader, []byte, time.Time) *forward.Request {
	return &forward.Request{}
}

func (plainFormat) EncodeRefusal(r *forward.Refusal) (int, []forward.Header) {
	return http.StatusServiceUnavailable, []forward.Header{{Name: "X-Reason", Value: string(r.Reason)}}
}

// counting answers every request and counts them.
type counting struct{ passed int }

func (c *counting) Serve(_ context.Context, _ *forward.Request, client forward.Client) {
	c.passed++
	_ = client.Answer(http.StatusOK, nil, []byte("done"))
}

// An instance is about to close its connections, and a request is read in that
// moment. It is not passed on, for its answer would be cut off; its client is told
// "not run".
func TestNothingIsPassedOnBeforeClosing(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.Addr().String()
	_ = probe.Close()
	pipeline := &counting{}
	d, err := Listen(Options{Address: address, ReadTimeout: time.Second, Format: plainFormat{}, Pipeline: pipeline})
	if err != nil {
		t.Fatal(err)
	}
	d.Serve()
	defer d.Close()
	statuses := []int{}
	for _, refuse := range []bool{false, true} {
		if refuse {
			d.Refuse()
		}
		resp, err := http.Post("http://"+address+"/x", "text/plain", nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		statuses = append(statuses, resp.StatusCode)
	}
	if statuses[0] != http.StatusOK || statuses[1] != http.StatusServiceUnavailable || pipeline.passed != 1 {
		t.Errorf("statuses %v, %d passed on", statuses, pipeline.passed)
	}
}
