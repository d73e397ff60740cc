package kit

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine is the handler of a replica that answers with streams of one token an event.
type Engine struct {
	D *Deployment
	// Pause is the time before each event.
	Pause time.Duration

	mu sync.Mutex
	// prompt holds the prompt tokens of the requests that ran, by id: they count once a request.
	prompt map[string]int64
}

// tokenCount returns the two numbers of X-Lavenderring-Token-Count.
func tokenCount(e *Exchange) (prompt, output int64) {
	in, out, _ := strings.Cut(e.Request.Header.Get(Names.Tokens), ",")
	prompt, _ = strconv.ParseInt(in, 10, 64)
	output, _ = strconv.ParseInt(out, 10, 64)
	return prompt, output
}

// Handle implements Handler.
func (g *Engine) Handle(e *Exchange) bool {
	prompt, output := tokenCount(e)
	g.mu.Lock()
	if g.prompt == nil {
		g.prompt = map[string]int64{}
	}
	g.prompt[e.ID] = prompt
	g.mu.Unlock()
	g.D.RecordQuietly("replica %s runs %s: %d prompt tokens, %d events", e.Replica.ID, e.ID, prompt, output)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		Names.RequestID, e.ID, Names.Seal, e.Replica.ID, e.ID)
	if _, err := io.WriteString(e.Conn, head); err != nil {
		return false
	}
	for n := int64(1); n <= output; n++ {
		time.Sleep(g.Pause)
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
		if _, err := fmt.Fprintf(e.Conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(e.Conn, "0\r\n\r\n")
	return err == nil
}

// PromptTokens returns the prompt tokens of all requests that ran.
func (g *Engine) PromptTokens() (total int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, tokens := range g.prompt {
		total += tokens
	}
	return total
}

// Stream sends a request to a router and counts the events that arrive.
func Stream(client *http.Client, r *Router, request Request) (status int, events int64, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.Front+request.Path, strings.NewReader(request.Body))
	if err != nil {
		return 0, 0, err
	}
	req.Host = Host
	req.Header.Set("Authorization", "Bearer "+Key)
	req.Header.Set(Names.RequestID, request.ID)
	req.Header.Set(Names.Deadline, fmt.Sprint(request.Deadline.Milliseconds()))
	for name, value := range request.Header {
		req.Header.Set(name, value)
	}
	timed := *client
	timed.Timeout = request.Deadline + 500*time.Millisecond
	resp, err := timed.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if resp.StatusCode == http.StatusOK && strings.HasPrefix(lines.Text(), "data:") {
			events++
		}
	}
	return resp.StatusCode, events, lines.Err()
}
