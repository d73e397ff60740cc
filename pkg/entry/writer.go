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

// answerWriter brings a model's answer to its caller in the form asked for.
type answerWriter interface {
	// event takes one event; offset is 0 for events that carry no token.
	event(offset int64, response *chat.Response) error
	// started reports whether a part has gone to the caller.
	started() bool
	// reset forgets what was gathered, before another engine is asked.
	reset()
	// finish ends a whole answer.
	finish()
	// fail ends an answer that did not become whole.
	fail(p *Problem)
	// whole returns the answer as one response.
	whole() chat.Response
}

func newAnswerWriter(r *request, req *chat.Request) answerWriter {
	gathered := gathered{r: r, model: req.Model}
	if req.Stream {
		return &streamWriter{gathered: gathered}
	}
	return &wholeWriter{gathered: gathered}
}

// gathered keeps the answer's text and usage.
type gathered struct {
	r     *request
	model string
	text  strings.Builder
	usage *chat.Usage
}

func (g *gathered) gather(response *chat.Response) {
	if response.Usage != nil {
		g.usage = response.Usage
	}
	for _, choice := range response.Choices {
		if choice.Delta != nil {
			g.text.WriteString(choice.Delta.Content)
		}
	}
}

func (g *gathered) whole() chat.Response {
	message := &chat.Message{Role: "assistant", Content: g.text.String()}
	return chat.Response{
		ID:      g.r.id,
		Model:   g.model,
		Choices: []chat.Choice{{Message: message, FinishReason: "stop"}},
		Usage:   g.usage,
	}
}

func (g *gathered) reset() {
	g.text.Reset()
	g.usage = nil
}

// wholeWriter answers once, when everything is there.
type wholeWriter struct{ gathered }

func (w *wholeWriter) event(_ int64, response *chat.Response) error {
	w.gather(response)
	return nil
}

func (w *wholeWriter) started() bool { return false }

func (w *wholeWriter) finish() {
	w.r.wrote = true
	w.r.c.Header(chat.HeaderOutcome, string(outcome.Ran))
	w.r.c.JSON(consts.StatusOK, w.whole())
}

func (w *wholeWriter) fail(*Problem) {}

// streamWriter answers event by event. Only a whole answer gets the end mark;
// any other ends with an error event, so that no caller takes it for whole.
type streamWriter struct {
	gathered
	sse *sse.Writer
}

func (w *streamWriter) event(offset int64, response *chat.Response) error {
	w.gather(response)
	data, err := json.Marshal(response)
	if err != nil {
		return err
	}
	id := ""
	if offset > 0 {
		id = strconv.FormatInt(offset, 10)
	}
	if w.sse == nil {
		w.r.wrote = true
		w.sse = sse.NewWriter(w.r.c)
	}
	if w.sse.WriteEvent(id, "", data) != nil {
		return errCallerGone
	}
	return nil
}

func (w *streamWriter) started() bool { return w.sse != nil }

func (w *streamWriter) finish() {
	if w.sse == nil {
		w.r.wrote = true
		w.sse = sse.NewWriter(w.r.c)
	}
	_ = w.sse.WriteEvent("", "", []byte(chat.EndMark))
	_ = w.sse.Close()
}

func (w *streamWriter) fail(p *Problem) {
	if w.sse == nil {
		return // the frame answers with the problem itself
	}
	p.Request = w.r.id
	if data, err := json.Marshal(p); err == nil {
		_ = w.sse.WriteEvent("", "error", data)
	}
	_ = w.sse.Close()
}
