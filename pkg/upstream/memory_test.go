package upstream

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/lavenderring/lavenderring/pkg/buffermem"
	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/outcome"
)

// Guards against answers that take memory beyond the bound on all of them together.
func TestAnswerOfAPlainServiceTakesCountedMemory(t *testing.T) {
	const answerBytes = 1 << 20
	body := bytes.Repeat([]byte("b"), answerBytes)
	for name, framing := range map[string]func(w http.ResponseWriter){
		"announced": func(w http.ResponseWriter) { w.Header().Set("Content-Length", "1048576") },
		"chunked":   func(w http.ResponseWriter) { w.(http.Flusher).Flush() },
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(chat.HeaderRequestID, r.Header.Get(chat.HeaderRequestID))
				framing(w)
				_, _ = w.Write(body)
			}))
			defer server.Close()
			call := func(p *buffermem.Pool) (*PlainAnswer, *buffermem.Hold, error) {
				hold := p.NewHold(t.Context(), func() {})
				answer, err := CallPlain(t.Context(), server.Listener.Addr().String(), PlainRequest{ID: "r", Method: "GET", Path: "/"}, &outcome.Tracker{}, hold)
				return answer, hold, err
			}
			ample := buffermem.NewPool(4 * answerBytes)
			answer, hold, err := call(ample)
			if err != nil || !bytes.Equal(answer.Body, body) || ample.Used() < answerBytes {
				t.Fatalf("got %v, %d bytes are counted", err, ample.Used())
			}
			hold.Release()
			if ample.Used() != 0 {
				t.Errorf("%d bytes are counted after the release", ample.Used())
			}
			if _, _, err := call(buffermem.NewPool(answerBytes / 2)); !errors.Is(err, ErrTooLong) {
				t.Errorf("got %v without memory, want ErrTooLong", err)
			}
		})
	}
}
