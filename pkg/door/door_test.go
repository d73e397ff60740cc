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

// plainFormat decodes every request as empty and encodes every refusal with status 503.
type plainFormat struct{}

func (plainFormat) DecodeRequest(*protocol.RequestHeader, []byte, time.Time) *forward.Request {
	return &forward.Request{}
}

func (plainFormat) EncodeRefusal(r *forward.Refusal) (int, []forward.Header) {
	return http.StatusServiceUnavailable, []forward.Header{{Name: "X-Reason", Value: string(r.Reason)}}
}

// countingPipeline answers all requests and counts them.
type countingPipeline struct{ numPassed int }

func (c *countingPipeline) Serve(_ context.Context, _ *forward.Request, client forward.Client) {
	c.numPassed++
	_ = client.Answer(http.StatusOK, nil, []byte("done"))
}

// A request is read while an instance is about to close its connections. It must not
// be passed to the pipeline, because its answer would be cut off; its client must be
// told "not run".
func TestNothingIsPassedOnBeforeClosing(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.Addr().String()
	_ = probe.Close()
	pipeline := &countingPipeline{}
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
	if statuses[0] != http.StatusOK || statuses[1] != http.StatusServiceUnavailable || pipeline.numPassed != 1 {
		t.Errorf("statuses %v, want 200 and then 503; %d requests passed to the pipeline, want 1", statuses, pipeline.numPassed)
	}
}
