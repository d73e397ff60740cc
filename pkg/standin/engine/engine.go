// Package engine is a small stand-in for a model engine. It batches requests continuously, in a
// simple form, streams answers that can be resumed and cancelled, counts usage, and reports its
// load with a delay, as engines do.
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

// Bounds and timing of the stand-in. loadReportInterval is how often the reported load is updated.
const (
	maxBodyBytes       = 16 << 20
	bytesPerToken      = 4
	maxTextBytes       = 64 << 10 // of one event of the EndlessText fault
	loadReportInterval = 200 * time.Millisecond
	defaultTokenMillis = 10
)

// Config configures a stand-in engine.
type Config struct {
	// Address is the IP address and port to listen on.
	Address string
	// Slots is the number of requests that generate at once. Default 8.
	Slots int
	// TokenMillis is the time for one token, in milliseconds. Default 10.
	TokenMillis int
	// CrashMarker ends the whole process when the body of a request contains it, as a crash of the
	// engine would; empty for no crashes.
	CrashMarker string
}

// crashExitCode is the exit code of the process after a crashing request.
const crashExitCode = 3

// Faults are the faults that the engine simulates.
type Faults struct {
	// CutAfterTokens closes the connection of the next stream that reaches this many tokens, once;
	// 0 for none.
	CutAfterTokens int `json:"cut_after_tokens"`
	// NewIncarnation lets another process answer after the cut, which knows the requests of the one before.
	NewIncarnation bool `json:"new_incarnation"`
	// WrongID answers the next request with another request's id.
	WrongID bool `json:"wrong_id"`
	// Frozen accepts requests and does not answer them.
	Frozen bool `json:"frozen"`
	// PauseMillis lets all streams fall silent for this long, in milliseconds, once, when a stream has
	// sent PauseAfterTokens tokens; 0 for no pause.
	PauseMillis      int64 `json:"pause_millis"`
	PauseAfterTokens int   `json:"pause_after_tokens"`
	// RefuseResumes answers requests for the rest of an answer as if their requests were unknown.
	RefuseResumes bool `json:"refuse_resumes"`
	// RepeatTokens is the number of tokens that each resumed stream repeats.
	RepeatTokens int64 `json:"repeat_tokens"`
	// EndlessText follows the first token of each stream with text without end.
	EndlessText bool `json:"endless_text"`
}

// generation is the run of one request. It continues when the client's connection breaks.
type generation struct {
	id              string
	promptTokens    int64
	targetTokens    int64
	generatedTokens atomic.Int64
	finished        chan struct{}
	cancel          context.CancelFunc
	changed         *sync.Cond
	isOver          bool
}

// Server is a running stand-in engine.
type Server struct {
	http  *httpserve.Server
	cfg   Config
	slots chan struct{}

	mu sync.Mutex
	// incarnation identifies this process in the header of every answer.
	incarnation string
	generations map[string]*generation
	faults      Faults
	// pausedUntil ends the silence of the pause fault.
	pausedUntil  time.Time
	numRunning   int
	numWaiting   int
	reportedLoad string
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
	s := &Server{http: http, cfg: cfg, slots: make(chan struct{}, cfg.Slots), generations: map[string]*generation{}}
	s.reportedLoad = "0/0"
	s.incarnation = ulid.Make().String()
	http.Use(s.setIncarnationHeader)
	http.OPTIONS("/*path", func(context.Context, *app.RequestContext) {})
	http.POST("/v1/chat/completions", s.handleCompletion)
	http.POST("/cancel/:id", s.handleCancel)
	http.GET("/load", s.handleLoad)
	http.POST("/faults", httpserve.HandleJSON(s.SetFaults))
	http.GET("/usage", s.handleUsage)
	http.Serve()
	go s.reportLoad()
	return s, nil
}

// SetFaults replaces the simulated faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Usage returns, by request ID, the prompt and generated tokens that the engine counted.
func (s *Server) Usage() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for id, g := range s.generations {
		out[id] = g.promptTokens + g.generatedTokens.Load()
	}
	return out
}

func (s *Server) handleUsage(_ context.Context, c *app.RequestContext) {
	c.JSON(consts.StatusOK, s.Usage())
}

// setIncarnationHeader adds the incarnation to an answer.
func (s *Server) setIncarnationHeader(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Header(chat.HeaderIncarnation, s.incarnation)
}

func (s *Server) handleLoad(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Header(chat.HeaderLoad, s.reportedLoad)
}

func (s *Server) reportLoad() {
	for range time.Tick(loadReportInterval) {
		s.mu.Lock()
		s.reportedLoad = fmt.Sprintf("%d/%d", s.numRunning, s.numWaiting)
		s.mu.Unlock()
	}
}

// handleCancel cancels a generation and returns its usage once it has ended.
func (s *Server) handleCancel(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	g := s.generations[c.Param("id")]
	s.mu.Unlock()
	if g == nil {
		c.SetStatusCode(consts.StatusNotFound)
		return
	}
	g.cancel()
	<-g.finished
	c.JSON(consts.StatusOK, chat.Usage{PromptTokens: g.promptTokens, CompletionTokens: g.generatedTokens.Load()})
}

// handleCompletion starts or resumes a generation and returns its answer.
func (s *Server) handleCompletion(ctx context.Context, c *app.RequestContext) {
	if s.cfg.CrashMarker != "" && strings.Contains(string(c.Request.Body()), s.cfg.CrashMarker) {
		os.Exit(crashExitCode)
	}
	var req chat.Request
	if err := json.Unmarshal(c.Request.Body(), &req); err != nil {
		c.SetStatusCode(consts.StatusBadRequest)
		return
	}
	id := string(c.GetHeader(chat.HeaderRequestID))
	offset, resume := s.resumeOffset(c)
	g, status := s.findOrStart(id, &req, resume)
	if g == nil {
		c.SetStatusCode(status)
		return
	}
	if s.isFrozen() {
		time.Sleep(time.Hour)
	}
	responseID := s.setHeaders(c, id)
	if req.Stream {
		s.streamAnswer(c, g, responseID, req.Model, offset)
		return
	}
	<-g.finished
	c.JSON(consts.StatusOK, fullResponse(g, responseID, req.Model))
}

func (s *Server) resumeOffset(c *app.RequestContext) (int64, bool) {
	text := string(c.GetHeader(chat.HeaderResumeOffset))
	offset, err := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(offset-s.faults.RepeatTokens, 0), text != "" && err == nil
}

func (s *Server) isFrozen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Frozen
}

// setHeaders sets the headers of the answer and returns the request ID that the answer carries.
func (s *Server) setHeaders(c *app.RequestContext, id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.WrongID {
		s.faults.WrongID = false
		id = "somebody-else"
	}
	c.Header(chat.HeaderRequestID, id)
	c.Header(chat.HeaderLoad, s.reportedLoad)
	return id
}

// findOrStart returns the generation of a request to resume, or starts a new one. It returns nil
// and a status if there is none to resume, or if a new request has the ID of an earlier one.
func (s *Server) findOrStart(id string, req *chat.Request, resume bool) (*generation, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.generations[id]
	if resume && s.faults.RefuseResumes {
		return nil, consts.StatusGone
	}
	if resume {
		return g, consts.StatusGone
	}
	if g != nil {
		return nil, consts.StatusConflict
	}
	ctx, cancel := context.WithCancel(context.Background())
	g = &generation{
		id:           id,
		promptTokens: countPromptTokens(req),
		targetTokens: answerTokens(id, req.MaxTokens),
		finished:     make(chan struct{}),
		cancel:       cancel,
		changed:      sync.NewCond(&sync.Mutex{}),
	}
	s.generations[id] = g
	s.numWaiting++
	go s.generate(ctx, g)
	return g, 0
}

func countPromptTokens(req *chat.Request) int64 {
	var bytes int
	for _, m := range req.Messages {
		bytes += len(m.Content)
	}
	return int64((bytes + bytesPerToken - 1) / bytesPerToken)
}

// answerTokens returns the length of a request's answer, which depends only on its ID and maximum.
func answerTokens(id string, maxTokens int64) int64 {
	if maxTokens <= 1 {
		return max(maxTokens, 1)
	}
	return maxTokens/2 + int64(xxhash.Sum64String(id)%uint64(maxTokens/2+1))
}

// generate waits for a free slot and generates tokens until the answer is complete or cancelled.
func (s *Server) generate(ctx context.Context, g *generation) {
	defer close(g.finished)
	s.slots <- struct{}{}
	s.adjustLoad(-1, 1)
	defer func() {
		<-s.slots
		s.adjustLoad(0, -1)
		g.update(func() { g.isOver = true })
	}()
	for g.generatedTokens.Load() < g.targetTokens {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(s.cfg.TokenMillis) * time.Millisecond):
			g.update(func() { g.generatedTokens.Add(1) })
		}
	}
}

// update changes the generation and wakes up the goroutines in waitForTokens.
func (g *generation) update(change func()) {
	g.changed.L.Lock()
	defer g.changed.L.Unlock()
	change()
	g.changed.Broadcast()
}

// waitForTokens waits until there are more tokens than have been sent or the generation is over.
// It returns the number of generated tokens.
func (g *generation) waitForTokens(sent int64) (generated int64, isOver bool) {
	g.changed.L.Lock()
	defer g.changed.L.Unlock()
	for g.generatedTokens.Load() <= sent && !g.isOver {
		g.changed.Wait()
	}
	return g.generatedTokens.Load(), g.isOver
}

// adjustLoad adds to the numbers of waiting and running requests.
func (s *Server) adjustLoad(waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.numWaiting += waiting
	s.numRunning += running
}

// Token returns the text of one token of a request's answer. It differs between requests and
// between positions, so that tests can recognize answers of other requests and incomplete ones.
func Token(id string, index int64) string {
	return fmt.Sprintf("%x.%d ", xxhash.Sum64String(id)%0xffff, index)
}

func fullResponse(g *generation, id, model string) chat.Response {
	text := ""
	for i := int64(0); i < g.generatedTokens.Load(); i++ {
		text += Token(g.id, i)
	}
	message := &chat.Message{Role: "assistant", Content: text}
	return chat.Response{
		ID:      id,
		Model:   model,
		Choices: []chat.Choice{{Message: message, FinishReason: "stop"}},
		Usage:   &chat.Usage{PromptTokens: g.promptTokens, CompletionTokens: g.generatedTokens.Load()},
	}
}

// streamAnswer streams the tokens of a generation from an offset on.
func (s *Server) streamAnswer(c *app.RequestContext, g *generation, id, model string, offset int64) {
	w := sse.NewWriter(c)
	defer func() { _ = w.Close() }()
	for sent := offset; ; {
		generated, isOver := g.waitForTokens(sent)
		for ; sent < generated; sent++ {
			s.pauseIfDue(sent)
			if s.cutIfDue(c, sent) || writeToken(w, g, id, model, sent) != nil {
				return
			}
			s.sendEndlessTextIfDue(w, id, model)
		}
		if isOver && sent == g.generatedTokens.Load() {
			writeEnd(w, g, id, model)
			return
		}
	}
}

// pauseIfDue starts the pause of the PauseMillis fault if it is due, and waits while a pause lasts.
func (s *Server) pauseIfDue(sent int64) {
	s.mu.Lock()
	if s.faults.PauseMillis > 0 && sent >= int64(s.faults.PauseAfterTokens) {
		s.pausedUntil = time.Now().Add(time.Duration(s.faults.PauseMillis) * time.Millisecond)
		s.faults.PauseMillis = 0
	}
	remaining := time.Until(s.pausedUntil)
	s.mu.Unlock()
	time.Sleep(remaining)
}

// sendEndlessTextIfDue sends text until the connection is closed if the EndlessText fault is due.
func (s *Server) sendEndlessTextIfDue(w *sse.Writer, id, model string) {
	s.mu.Lock()
	due := s.faults.EndlessText
	s.mu.Unlock()
	delta := &chat.Delta{Content: strings.Repeat("text ", maxTextBytes/len("text "))}
	event := chat.Response{ID: id, Model: model, Choices: []chat.Choice{{Delta: delta}}}
	for due && writeJSON(w, "", event) == nil {
	}
}

// cutIfDue closes the connection if the CutAfterTokens fault is due.
func (s *Server) cutIfDue(c *app.RequestContext, sent int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CutAfterTokens == 0 || sent < int64(s.faults.CutAfterTokens) {
		return false
	}
	s.faults.CutAfterTokens = 0
	if s.faults.NewIncarnation {
		s.incarnation = ulid.Make().String()
	}
	_ = c.GetConn().Close()
	return true
}

func writeToken(w *sse.Writer, g *generation, id, model string, index int64) error {
	delta := &chat.Delta{Content: Token(g.id, index)}
	event := chat.Response{ID: id, Model: model, Choices: []chat.Choice{{Delta: delta}}}
	return writeJSON(w, strconv.FormatInt(index+1, 10), event)
}

func writeEnd(w *sse.Writer, g *generation, id, model string) {
	usage := &chat.Usage{PromptTokens: g.promptTokens, CompletionTokens: g.generatedTokens.Load()}
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
