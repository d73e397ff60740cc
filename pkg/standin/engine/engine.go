// Package engine is a small stand-in for a model engine: simple continuous
// batching, streams that can be resumed and cancelled, usage, lagging load.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/oklog/ulid/v2"

	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
)

// Bounds of the stand-in.
const (
	maxBodyBytes       = 16 << 20
	bytesPerToken      = 4
	loadLag            = 200 * time.Millisecond
	defaultTokenMillis = 10
)

// Config sizes a stand-in engine.
type Config struct {
	// Address is the IP address and port to listen on.
	Address string
	// Slots is how many requests generate at once. Default 8.
	Slots int
	// TokenMillis is the time for one token, in milliseconds. Default 10.
	TokenMillis int
	// Fatal is a text; a request whose body has it ends the whole process, as a fault of the
	// engine's would. Empty for none.
	Fatal string
}

// exitFatal is the exit code after a fatal request.
const exitFatal = 3

// Faults switches what goes wrong.
type Faults struct {
	// CutAfterTokens cuts the next stream's connection once, so many tokens in.
	CutAfterTokens int `json:"cut_after_tokens"`
	// WrongID answers the next request with another request's id.
	WrongID bool `json:"wrong_id"`
	// Frozen takes requests and never answers.
	Frozen bool `json:"frozen"`
}

// generation is one request's run. It goes on when a connection breaks.
type generation struct {
	id      string
	prompt  int64
	target  int64
	done    atomic.Int64
	ended   chan struct{}
	cancel  context.CancelFunc
	changed *sync.Cond
	over    bool
}

// Server is the stand-in.
type Server struct {
	http  *httpserve.Server
	cfg   Config
	slots chan struct{}
	// incarnation is told in every answer.
	incarnation string

	mu       sync.Mutex
	runs     map[string]*generation
	faults   Faults
	running  int
	waiting  int
	reported string
}

// Start listens on the configured address.
func Start(cfg Config) (*Server, error) {
	if cfg.Slots == 0 {
		cfg.Slots = 8
	}
	if cfg.TokenMillis == 0 {
		cfg.TokenMillis = defaultTokenMillis
	}
	http, err := httpserve.Listen(httpserve.Options{Address: cfg.Address, MaxBodyBytes: maxBodyBytes})
	if err != nil {
		return nil, err
	}
	s := &Server{http: http, cfg: cfg, slots: make(chan struct{}, cfg.Slots), runs: map[string]*generation{}}
	s.reported = "0/0"
	s.incarnation = ulid.Make().String()
	http.Use(s.tellIncarnation)
	http.OPTIONS("/*path", func(context.Context, *app.RequestContext) {})
	http.POST("/v1/chat/completions", s.complete)
	http.POST("/cancel/:id", s.cancel)
	http.GET("/load", s.load)
	http.POST("/faults", httpserve.HandleJSON(s.SetFaults))
	http.GET("/usage", s.usage)
	http.Serve()
	go s.reportLoad()
	return s, nil
}

// SetFaults switches faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Usage returns, by request id, the tokens that the engine itself counted.
func (s *Server) Usage() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for id, g := range s.runs {
		out[id] = g.prompt + g.done.Load()
	}
	return out
}

func (s *Server) usage(_ context.Context, c *app.RequestContext) { c.JSON(consts.StatusOK, s.Usage()) }

func (s *Server) tellIncarnation(_ context.Context, c *app.RequestContext) {
	c.Header(chat.HeaderIncarnation, s.incarnation)
}

func (s *Server) load(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Header(chat.HeaderLoad, s.reported)
}

func (s *Server) reportLoad() {
	for range time.Tick(loadLag) {
		s.mu.Lock()
		s.reported = fmt.Sprintf("%d/%d", s.running, s.waiting)
		s.mu.Unlock()
	}
}

func (s *Server) cancel(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	g := s.runs[c.Param("id")]
	s.mu.Unlock()
	if g == nil {
		c.SetStatusCode(consts.StatusNotFound)
		return
	}
	g.cancel()
	<-g.ended
	c.JSON(consts.StatusOK, chat.Usage{PromptTokens: g.prompt, CompletionTokens: g.done.Load()})
}

func (s *Server) complete(ctx context.Context, c *app.RequestContext) {
	if s.cfg.Fatal != "" && strings.Contains(string(c.Request.Body()), s.cfg.Fatal) {
		os.Exit(exitFatal)
	}
	var req chat.Request
	if err := json.Unmarshal(c.Request.Body(), &req); err != nil {
		c.SetStatusCode(consts.StatusBadRequest)
		return
	}
	id := string(c.GetHeader(chat.HeaderRequestID))
	offset, resume := resumeOffset(c)
	g, status := s.generation(id, &req, resume)
	if g == nil {
		c.SetStatusCode(status)
		return
	}
	if s.takeFrozen() {
		time.Sleep(time.Hour)
	}
	told := s.writeHead(c, id)
	if req.Stream {
		s.stream(c, g, told, req.Model, offset)
		return
	}
	<-g.ended
	c.JSON(consts.StatusOK, wholeAnswer(g, told, req.Model))
}

func resumeOffset(c *app.RequestContext) (int64, bool) {
	text := string(c.GetHeader(chat.HeaderResumeOffset))
	offset, err := strconv.ParseInt(text, 10, 64)
	return offset, text != "" && err == nil
}

func (s *Server) takeFrozen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Frozen
}

// writeHead writes the answer's head and returns the id that it is told under.
func (s *Server) writeHead(c *app.RequestContext, id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.WrongID {
		s.faults.WrongID = false
		id = "somebody-else"
	}
	c.Header(chat.HeaderRequestID, id)
	c.Header(chat.HeaderLoad, s.reported)
	return id
}

// generation finds or starts a request's run.
func (s *Server) generation(id string, req *chat.Request, resume bool) (*generation, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.runs[id]
	if resume {
		return g, consts.StatusGone
	}
	if g != nil {
		return nil, consts.StatusConflict
	}
	ctx, cancel := context.WithCancel(context.Background())
	g = &generation{
		id:      id,
		prompt:  promptTokens(req),
		target:  targetTokens(id, req.MaxTokens),
		ended:   make(chan struct{}),
		cancel:  cancel,
		changed: sync.NewCond(&sync.Mutex{}),
	}
	s.runs[id] = g
	s.waiting++
	go s.run(ctx, g)
	return g, 0
}

func promptTokens(req *chat.Request) int64 {
	var bytes int
	for _, m := range req.Messages {
		bytes += len(m.Content)
	}
	return int64((bytes + bytesPerToken - 1) / bytesPerToken)
}

// targetTokens makes the answer's length depend on the request's id alone.
func targetTokens(id string, maximum int64) int64 {
	if maximum <= 1 {
		return max(maximum, 1)
	}
	return maximum/2 + int64(xxhash.Sum64String(id)%uint64(maximum/2+1))
}

func (s *Server) run(ctx context.Context, g *generation) {
	defer close(g.ended)
	s.slots <- struct{}{}
	s.shift(-1, 1)
	defer func() {
		<-s.slots
		s.shift(0, -1)
		g.update(func() { g.over = true })
	}()
	for g.done.Load() < g.target {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(s.cfg.TokenMillis) * time.Millisecond):
			g.update(func() { g.done.Add(1) })
		}
	}
}

func (g *generation) update(change func()) {
	g.changed.L.Lock()
	defer g.changed.L.Unlock()
	change()
	g.changed.Broadcast()
}

// next waits for more tokens than have been sent and returns how many there are.
func (g *generation) next(sent int64) (done int64, over bool) {
	g.changed.L.Lock()
	defer g.changed.L.Unlock()
	for g.done.Load() <= sent && !g.over {
		g.changed.Wait()
	}
	return g.done.Load(), g.over
}

func (s *Server) shift(waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += waiting
	s.running += running
}

// Token returns the text of one token of a request's answer, so that tests can
// tell one request's answer from another's and a whole one from a cut one.
func Token(id string, index int64) string {
	return fmt.Sprintf("%x.%d ", xxhash.Sum64String(id)%0xffff, index)
}

func wholeAnswer(g *generation, id, model string) chat.Response {
	text := ""
	for i := int64(0); i < g.done.Load(); i++ {
		text += Token(g.id, i)
	}
	message := &chat.Message{Role: "assistant", Content: text}
	return chat.Response{
		ID:      id,
		Model:   model,
		Choices: []chat.Choice{{Message: message, FinishReason: "stop"}},
		Usage:   &chat.Usage{PromptTokens: g.prompt, CompletionTokens: g.done.Load()},
	}
}

func (s *Server) stream(c *app.RequestContext, g *generation, id, model string, offset int64) {
	w := sse.NewWriter(c)
	defer func() { _ = w.Close() }()
	for sent := offset; ; {
		done, over := g.next(sent)
		for ; sent < done; sent++ {
			if s.cutNow(c, sent) || writeToken(w, g, id, model, sent) != nil {
				return
			}
		}
		if over && sent == g.done.Load() {
			writeEnd(w, g, id, model)
			return
		}
	}
}

// cutNow cuts the connection if that fault is due.
func (s *Server) cutNow(c *app.RequestContext, sent int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CutAfterTokens == 0 || sent < int64(s.faults.CutAfterTokens) {
		return false
	}
	s.faults.CutAfterTokens = 0
	_ = c.GetConn().Close()
	return true
}

func writeToken(w *sse.Writer, g *generation, id, model string, index int64) error {
	delta := &chat.Delta{Content: Token(g.id, index)}
	event := chat.Response{ID: id, Model: model, Choices: []chat.Choice{{Delta: delta}}}
	return writeJSON(w, strconv.FormatInt(index+1, 10), event)
}

func writeEnd(w *sse.Writer, g *generation, id, model string) {
	usage := &chat.Usage{PromptTokens: g.prompt, CompletionTokens: g.done.Load()}
	choices := []chat.Choice{{Delta: &chat.Delta{}, FinishReason: "stop"}}
	event := chat.Response{ID: id, Model: model, Choices: choices, Usage: usage}
	if writeJSON(w, "", event) == nil {
		_ = w.WriteEvent("", "", []byte(chat.EndMark))
	}
}

func writeJSON(w *sse.Writer, id string, event chat.Response) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	return w.WriteEvent(id, "", data)
}
