// Package plain is a small stand-in for a plain service. It records each run,
// so that a request that ran twice is seen.
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

const maxBodyBytes = 16 << 20

// Run is one request that the service ran.
type Run struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Faults switches what goes wrong.
type Faults struct {
	// DelayMillis delays each answer after its run.
	DelayMillis int64 `json:"delay_millis"`
	// DropAnswers is how many of the next requests run and are not answered.
	DropAnswers int `json:"drop_answers"`
	// WrongID answers the next request with another request's id.
	WrongID bool `json:"wrong_id"`
}

// Server is the stand-in.
type Server struct {
	http  *httpserve.Server
	fatal string
	// incarnation is told in every answer.
	incarnation string

	mu     sync.Mutex
	runs   []Run
	faults Faults
}

// exitFatal is the exit code after a fatal request.
const exitFatal = 3

// Start listens on an address. A request whose body has the text fatal ends the whole process, as a
// fault of the service's would; empty for none.
func Start(address, fatal string) (*Server, error) {
	http, err := httpserve.Listen(httpserve.Options{Address: address, MaxBodyBytes: maxBodyBytes})
	if err != nil {
		return nil, err
	}
	s := &Server{http: http, fatal: fatal, incarnation: ulid.Make().String()}
	http.Use(s.tellIncarnation)
	http.OPTIONS("/*path", func(context.Context, *app.RequestContext) {})
	http.POST("/_faults", httpserve.HandleJSON(s.SetFaults))
	http.GET("/_runs", s.getRuns)
	http.NoRoute(s.run)
	http.Serve()
	return s, nil
}

// Runs returns everything that ran.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// SetFaults switches faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Server) getRuns(_ context.Context, c *app.RequestContext) { c.JSON(consts.StatusOK, s.Runs()) }

func (s *Server) tellIncarnation(_ context.Context, c *app.RequestContext) {
	c.Header(chat.HeaderIncarnation, s.incarnation)
}

func (s *Server) run(_ context.Context, c *app.RequestContext) {
	run := Run{
		ID:     string(c.GetHeader(chat.HeaderRequestID)),
		Method: string(c.Method()),
		Path:   string(c.Path()),
		Body:   string(c.Request.Body()),
	}
	if s.fatal != "" && strings.Contains(run.Body, s.fatal) {
		os.Exit(exitFatal)
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	count := len(s.runs)
	delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
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
	c.String(consts.StatusOK, fmt.Sprintf(`{"run":%d,"path":%q}`, count, run.Path))
}
