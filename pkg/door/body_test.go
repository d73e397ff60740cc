package door

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lavenderring/lavenderring/pkg/forward"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
)

// recordingPipeline also records why the server refuses requests.
type recordingPipeline struct {
	countingPipeline
	reasons []forward.Reason
}

// Refuse implements Refuser.
func (p *recordingPipeline) Refuse(_ *forward.Request, client forward.Client, refusal *forward.Refusal) {
	p.reasons = append(p.reasons, refusal.Reason)
	client.Refuse(refusal)
}

// Guards against refusals of bodies that no log names, and against such requests being passed on.
func TestRefusedBodyIsRecorded(t *testing.T) {
	pipeline := &recordingPipeline{}
	d, err := Listen(Options{
		Address: "127.0.0.1:0", ReadTimeout: time.Second, Format: plainFormat{}, Pipeline: pipeline,
		Limits: func() httpserve.Limits { return httpserve.Limits{BodyBytes: 10} },
	})
	if err != nil {
		t.Fatal(err)
	}
	d.Serve()
	defer d.Close()
	resp, err := http.Post("http://"+d.httpServer.Address()+"/x", "text/plain", strings.NewReader("eleven byte"))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if got := resp.Header.Get("X-Reason"); got != string(forward.BodyTooLarge) || pipeline.numPassed != 0 {
		t.Errorf("refused as %q, %d requests passed on", got, pipeline.numPassed)
	}
	if len(pipeline.reasons) != 1 || pipeline.reasons[0] != forward.BodyTooLarge {
		t.Errorf("recorded %v", pipeline.reasons)
	}
}
