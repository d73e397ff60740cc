// Package plain is a small stand-in for a plain service. It records each request that it runs, so
// that tests notice a request that ran twice.
package plain

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/oklog/ulid/v2"

	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

// Run is one request that the service ran.
type Run struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Faults are the faults that the service simulates.
type Faults struct {
	// DelayMillis delays each answer after the request ran.
	DelayMillis int64 `json:"delay_millis"`
	// DropAnswers is the number of next requests that run without an answer: their connection is
	// closed.
	DropAnswers int `json:"drop_answers"`
	// WrongID answers the next request with another request's id.
	WrongID bool `json:"wrong_id"`
	// PaddingBytes is the size of the blanks that follow each answer.
	PaddingBytes int `json:"padding_bytes"`
}

// Server is a running stand-in service.
type Server struct {
	http        *httpserve.Server
	crashMarker string
	// incarnation identifies this process in the header of every answer.
	incarnation string

	mu     sync.Mutex
	runs   []Run
	faults Faults
}

// crashExitCode is the exit code of the process after a crashing request.
const crashExitCode = 3

// Start serves on an address. A request whose body contains crashMarker ends the whole process, as a
// crash of the service would; with an empty crashMarker, no request does.
func Start(address, crashMarker string) (*Server, error) {
	http, err := httpserve.Listen(httpserve.Options{Address: address, MaxBodyBytes: maxBodyBytes})
	if err != nil {
		return nil, err
	}
	s := &Server{http: http, crashMarker: crashMarker, incarnation: ulid.Make().String()}
	http.Use(s.setIncarnationHeader)
	http.OPTIONS("/*path", func(context.Context, *app.RequestContext) {})
	http.POST("/_faults", httpserve.HandleJSON(s.SetFaults))
	http.GET("/_runs", s.handleRuns)
	http.NoRoute(s.handleRequest)
	http.Serve()
	return s, nil
}

// Runs returns all requests that ran, in order.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// SetFaults replaces the simulated faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Server) handleRuns(_ context.Context, c *app.RequestContext) {
	c.JSON(consts.StatusOK, s.Runs())
}

// setIncarnationHeader adds the incarnation to an answer.
func (s *Server) setIncarnationHeader(_ context.Context, c *app.RequestContext) {
	c.Header(chat.HeaderIncarnation, s.incarnation)
}

// handleRequest records a request as run and answers it as the faults say.
func (s *Server) handleRequest(_ context.Context, c *app.RequestContext) {
	run := Run{
		ID:     string(c.GetHeader(chat.HeaderRequestID)),
		Method: string(c.Method()),
		Path:   string(c.Path()),
		Body:   string(c.Request.Body()),
	}
	if s.crashMarker != "" && strings.Contains(run.Body, s.crashMarker) {
		os.Exit(crashExitCode)
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	count := len(s.runs)
	delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
	padding := strings.Repeat(" ", s.faults.PaddingBytes)
	drop := s.faults.DropAnswers > 0
	if drop {
		s.faults.DropAnswers--
	}
	id := run.ID
	if s.faults.WrongID {
		s.faults.WrongID = false
		id = "somebody-else"
	}
	s.mu.Unlock()
	time.Sleep(delay)
	if drop {
		_ = c.GetConn().Close()
		return
	}
	c.Header(chat.HeaderRequestID, id)
	c.Header("Content-Type", "application/json")
	c.String(consts.StatusOK, fmt.Sprintf(`{"run":%d,"path":%q}`, count, run.Path)+padding)
}
