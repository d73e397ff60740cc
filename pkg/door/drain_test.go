package door

import (
	"bufio"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/lavenderring/lavenderring/pkg/forward"
)

// targetFormat is a plainFormat that decodes the target of a request.
type targetFormat struct{ plainFormat }

func (targetFormat) DecodeRequest(h *protocol.RequestHeader, _ []byte, _ time.Time) *forward.Request {
	return &forward.Request{Target: string(h.RequestURI())}
}

// heldPipeline answers a request when it is released, by a stream if the request is for /stream.
type heldPipeline struct {
	arrived, released chan struct{}
}

func (p *heldPipeline) Serve(_ context.Context, r *forward.Request, client forward.Client) {
	p.arrived <- struct{}{}
	<-p.released
	if r.Target != "/stream" {
		_ = client.Answer(http.StatusOK, nil, []byte("done"))
		return
	}
	_ = client.Begin(http.StatusOK, nil)
	_ = client.Event([]byte("data: done\n\n"))
}

// Guards against clients that go on sending to a stopping instance: the answer to a request that was in
// progress when the stop began does not say that it is the last on its connection.
func TestAnswerAfterTheBeginningOfAStopIsTheLast(t *testing.T) {
	for _, target := range []string{"/whole", "/stream"} {
		t.Run(target, func(t *testing.T) {
			pipeline := &heldPipeline{arrived: make(chan struct{}, 1), released: make(chan struct{})}
			d, address := listenForTest(t, targetFormat{}, pipeline)
			d.Serve()
			conn := dialAndSend(t, address, "GET "+target+" HTTP/1.1\r\nHost: h\r\n\r\n")
			<-pipeline.arrived
			d.Drain()
			close(pipeline.released)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || !response.Close {
				t.Errorf("response %+v, %v; want one that closes its connection", response, err)
			}
		})
	}
}
