package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/lavenderring/lavenderring/platform"
)

// Behaviour of the clients.
const (
	// maxClientPause is the longest pause of a client between two requests.
	maxClientPause = 60 * time.Millisecond
	// clientTimeout is the deadline that a client sends with a request. In one of
	// leaveDivisor requests it closes the connection early, after at most maxLeaveDelay.
	clientTimeout = 2500 * time.Millisecond
	leaveDivisor  = 20
	maxLeaveDelay = 60 * time.Millisecond
	// One of poorDivisor requests is sent for the account whose tokens run out.
	poorDivisor = 6
)

// request is one request of a client and its result.
type request struct {
	id, route, key string
	// requestBody is the request's body; if empty, send makes one that contains the id.
	requestBody string
	instance    *instance
	start, end  time.Time
	status      int
	answerBody  string
	sealed      bool
	answerID    string
	err         error
	// notAccepted is set if no process accepted the connection that the request was sent on.
	notAccepted bool
	// leavesEarly is set if the client closes the connection early.
	leavesEarly bool
	// first is the request that began the stream that this one resumes, and numBefore the number of
	// events that the client has of it; nil and 0 for other requests.
	first     *request
	numBefore int64
}

// habit is how a client uses connections.
type habit int

// The habits of clients. Of each numHabits successive clients, the last two have those of their own.
const (
	// yields leaves an instance after an error or a 5xx answer.
	yields habit = iota
	// stays sends on the open connection until an error: at a stopping instance until its process is gone.
	stays
	// opens sends each request on a connection of its own, until an error.
	opens
	numHabits = 6
)

// habitOf returns the habit of client n.
func habitOf(n int) habit {
	switch n % numHabits {
	case numHabits - 2:
		return stays
	case numHabits - 1:
		return opens
	}
	return yields
}

// runClient sends requests until ctx ends, on a persistent connection to one instance unless its habit is
// another. When it leaves the instance, it goes on at one that it picks at random.
func (r *runner) runClient(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(n)+1))
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableKeepAlives: habitOf(n) == opens}
	defer transport.CloseIdleConnections()
	target := r.fleet.instances[n%len(r.fleet.instances)]
	for k := 0; ctx.Err() == nil; k++ {
		s := r.newRequest(rng, target, fmt.Sprintf("c%d-%d", n, k))
		s.send(transport, rng)
		r.record(s)
		if s.err != nil || habitOf(n) == yields && s.status >= http.StatusInternalServerError {
			transport.CloseIdleConnections()
			target = r.fleet.instances[rng.IntN(len(r.fleet.instances))]
		}
		if s.mayBeResumed() {
			next := s.resumption(target)
			next.send(transport, rng)
			r.record(next)
		}
		time.Sleep(randDuration(rng, maxClientPause))
	}
}

// newRequest draws the route, the account and whether the client leaves early.
func (r *runner) newRequest(rng *rand.Rand, target *instance, id string) *request {
	s := &request{id: id, key: richKey, instance: target, route: routes[rng.IntN(len(routes))].Name}
	if rng.IntN(poorDivisor) == 0 {
		s.key = poorKey
	}
	s.leavesEarly = rng.IntN(leaveDivisor) == 0
	return s
}

// mayBeResumed reports whether the client has a part of a stream and may ask for the rest.
func (s *request) mayBeResumed() bool {
	return s.route == resumableRoute && s.err != nil && s.events() > 0
}

// resumption returns the request by which the client resumes the stream at an instance.
func (s *request) resumption(target *instance) *request {
	return &request{
		id: s.id + "-resumed", key: s.key, route: s.route, requestBody: s.content(), instance: target,
		first: s, numBefore: s.events(),
	}
}

// content returns the body that is sent.
func (s *request) content() string {
	if s.requestBody != "" {
		return s.requestBody
	}
	return "body of " + s.id
}

// send sends the request and reads the whole answer.
func (s *request) send(transport *http.Transport, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout+timeoutSlack)
	defer cancel()
	if s.leavesEarly {
		leave := time.AfterFunc(randDuration(rng, maxLeaveDelay), cancel)
		defer leave.Stop()
	}
	s.start = time.Now()
	defer func() { s.end = time.Now() }()
	names := platform.UpstreamHeaders
	url := "http://" + s.instance.clientAddress + "/" + s.route + "/x"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(s.content()))
	if err != nil {
		s.err = err
		return
	}
	address := ""
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { address = info.Conn.LocalAddr().String() }}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+s.key)
	req.Header.Set(names.RequestID, s.id)
	req.Header.Set(names.Deadline, fmt.Sprint(clientTimeout.Milliseconds()))
	req.Header.Set(names.Tokens, fmt.Sprintf("%d,%d", promptTokens, outputTokens))
	if s.first != nil {
		req.Header.Set(names.Resumes, s.first.id)
		req.Header.Set(names.LastEventID, fmt.Sprint(s.numBefore))
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		s.err, s.notAccepted = err, s.instance.clientRelay.Refused(address)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	s.status, s.answerID = resp.StatusCode, resp.Header.Get(names.RequestID)
	s.sealed = resp.Header.Get(names.Seal) != ""
	read, err := io.ReadAll(resp.Body)
	s.answerBody, s.err = string(read), err
}

// events returns the number of whole events of a stream that the client has received.
func (s *request) events() int64 { return int64(strings.Count(s.answerBody, "\n\n")) }
