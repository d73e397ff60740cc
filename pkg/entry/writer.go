package entry

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/outcome"
)

// answerWriter writes a model's answer to the client, whole or as a stream.
type answerWriter interface {
	// event handles one event; offset is 0 for events that carry no token.
	event(offset int64, response *chat.Response) error
	// writesThrough reports whether each event is written to the client at once.
	writesThrough() bool
	// finish ends a whole answer.
	finish()
	// fail ends an incomplete answer.
	fail(p *Problem)
	// response returns the answer as one response.
	response() chat.Response
}

func newAnswerWriter(r *request, req *chat.Request) answerWriter {
	buffer := answerBuffer{r: r, model: req.Model}
	if req.Stream {
		return &streamWriter{answerBuffer: buffer}
	}
	return &bufferedWriter{answerBuffer: buffer}
}

// answerBuffer accumulates the answer's text and usage.
type answerBuffer struct {
	r     *request
	model string
	text  strings.Builder
	usage *chat.Usage
}

func (g *answerBuffer) add(response *chat.Response) {
	if response.Usage != nil {
		g.usage = response.Usage
	}
	for _, choice := range response.Choices {
		if choice.Delta != nil {
			g.text.WriteString(choice.Delta.Content)
		}
	}
}

func (g *answerBuffer) response() chat.Response {
	message := &chat.Message{Role: "assistant", Content: g.text.String()}
	return chat.Response{
		ID:      g.r.id,
		Model:   g.model,
		Choices: []chat.Choice{{Message: message, FinishReason: "stop"}},
		Usage:   g.usage,
	}
}

// bufferedWriter writes the answer as one response once it is whole.
type bufferedWriter struct{ answerBuffer }

func (w *bufferedWriter) event(_ int64, response *chat.Response) error {
	w.add(response)
	return nil
}

func (w *bufferedWriter) writesThrough() bool { return false }

func (w *bufferedWriter) finish() {
	w.r.responseStarted = true
	w.r.c.Header(chat.HeaderOutcome, string(outcome.Ran))
	w.r.c.JSON(consts.StatusOK, w.response())
}

func (w *bufferedWriter) fail(*Problem) {}

// streamWriter writes the answer event by event. Only a whole answer gets the end
// mark; any other ends with an error event, so that no client takes it for whole.
type streamWriter struct {
	answerBuffer
	sse *sse.Writer
}

func (w *streamWriter) event(offset int64, response *chat.Response) error {
	w.add(response)
	data, err := json.Marshal(response)
	if err != nil {
		return err
	}
	id := ""
	if offset > 0 {
		id = strconv.FormatInt(offset, 10)
	}
	if w.sse == nil {
		w.r.responseStarted = true
		w.sse = sse.NewWriter(w.r.c)
	}
	if w.sse.WriteEvent(id, "", data) != nil {
		return errClientGone
	}
	return nil
}

func (w *streamWriter) writesThrough() bool { return true }

func (w *streamWriter) finish() {
	if w.sse == nil {
		w.r.responseStarted = true
		w.sse = sse.NewWriter(w.r.c)
	}
	_ = w.sse.WriteEvent("", "", []byte(chat.EndMark))
	_ = w.sse.Close()
}

func (w *streamWriter) fail(p *Problem) {
	if w.sse == nil {
		return // Entry.finish writes the problem as the response
	}
	p.Request = w.r.id
	if data, err := json.Marshal(p); err == nil {
		_ = w.sse.WriteEvent("", "error", data)
	}
	_ = w.sse.Close()
}
