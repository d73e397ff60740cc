package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/lavenderring/lavenderring/platform"
)

// How clients behave.
const (
	// longestThink is the longest pause of a client between two requests.
	longestThink = 60 * time.Millisecond
	// clientWait is how long a client says it will wait; givesUp in how many requests it
	// leaves early, after at most leavesWithin.
	clientWait   = 2500 * time.Millisecond
	givesUp      = 20
	leavesWithin = 60 * time.Millisecond
	// poorShare is in how many requests one is of the account that runs out.
	poorShare = 6
)

// sending is one request of a client, and what became of it.
type sending struct {
	id, route, key string
	// content is the request's body; empty for one of its own.
	content      string
	instance     *instance
	began, ended time.Time
	status       int
	body         string
	sealed       bool
	answerTo     string
	err          error
	// left says that the client left early.
	left bool
}

// client sends requests to one instance after the other, on connections that are kept
// until the instance closes them or is gone.
func (r *run) client(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(n)+1))
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	at := r.fleet.instances[n%len(r.fleet.instances)]
	for k := 0; ctx.Err() == nil; k++ {
		s := r.draw(rng, at, fmt.Sprintf("c%d-%d", n, k))
		s.send(transport, rng)
		r.note(s)
		if s.err != nil || s.status >= http.StatusInternalServerError {
			transport.CloseIdleConnections()
			at = r.fleet.instances[rng.IntN(len(r.fleet.instances))]
		}
		time.Sleep(upTo(rng, longestThink))
	}
}

func (r *run) draw(rng *rand.Rand, at *instance, id string) *sending {
	s := &sending{id: id, key: richKey, instance: at, route: routes[rng.IntN(len(routes))].Name}
	if rng.IntN(poorShare) == 0 {
		s.key = poorKey
	}
	s.left = rng.IntN(givesUp) == 0
	return s
}

// send sends the request and reads the whole answer.
func (s *sending) send(transport *http.Transport, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), clientWait+lateSlack)
	defer cancel()
	if s.left {
		leave := time.AfterFunc(upTo(rng, leavesWithin), cancel)
		defer leave.Stop()
	}
	s.began = time.Now()
	defer func() { s.ended = time.Now() }()
	names := platform.UpstreamHeaders
	content := s.content
	if content == "" {
		content = "body of " + s.id
	}
	url := "http://" + s.instance.clients + "/" + s.route + "/x"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(content))
	if err != nil {
		s.err = err
		return
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+s.key)
	req.Header.Set(names.RequestID, s.id)
	req.Header.Set(names.Deadline, fmt.Sprint(clientWait.Milliseconds()))
	req.Header.Set(names.Tokens, fmt.Sprintf("%d,%d", promptTokens, outputTokens))
	resp, err := transport.RoundTrip(req)
	if err != nil {
		s.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	s.status, s.answerTo = resp.StatusCode, resp.Header.Get(names.RequestID)
	s.sealed = resp.Header.Get(names.Seal) != ""
	read, err := io.ReadAll(resp.Body)
	s.body, s.err = string(read), err
}

// events is how many whole events of a stream the client has.
func (s *sending) events() int64 { return int64(strings.Count(s.body, "\n\n")) }
