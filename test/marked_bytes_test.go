package test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Parameters of the load with clients that leave.
const (
	markedClients, requestsPerMarkedClient = 24, 60
	// maxMarks is the most often that a body repeats its request's id.
	maxMarks = 800
	// maxPatience is the longest that a leaving client waits.
	maxPatience = 6 * time.Millisecond
)

// markedBody is a body that shows whose it is in each of its bytes' neighborhood.
func markedBody(id string, marks int) string { return strings.Repeat(id+";", marks) }

// sendMarked sends a request whose body is marked on a kept connection. A leaving client closes the connection
// within maxPatience. It returns the answer's body; empty if there is none.
func (f *routedFleet) sendMarked(client *http.Client, id string, random *rand.Rand, leaves bool) string {
	f.t.Helper()
	req := f.newRequest(f.instances[0], id, "safe", markedBody(id, 1+random.IntN(maxMarks)))
	return exchangeMarked(client, req, random, leaves)
}

// exchangeMarked sends a request and returns the answer's body; empty if there is none.
func exchangeMarked(client *http.Client, req *http.Request, random *rand.Rand, leaves bool) string {
	if leaves {
		ctx, cancel := context.WithTimeout(req.Context(), time.Duration(random.Int64N(int64(maxPatience))))
		defer cancel()
		req = req.WithContext(ctx)
	}
	resp, err := client.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	return string(body)
}

// sendMarkedByAll sends the requests of all clients, of which half leave, and checks with isOwn that each answer
// belongs to its request.
func sendMarkedByAll(
	t *testing.T, send func(client *http.Client, id string, random *rand.Rand, leaves bool) string, isOwn func(answer, id string) bool,
) {
	t.Helper()
	var running sync.WaitGroup
	var answered atomic.Int32
	for n := range markedClients {
		running.Go(func() {
			random := rand.New(rand.NewPCG(uint64(n), 7))
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for k := range requestsPerMarkedClient {
				id := fmt.Sprintf("m%d-%d", n, k)
				answer := send(client, id, random, n%2 == 0)
				if answer == "" {
					continue
				}
				answered.Add(1)
				if !isOwn(answer, id) {
					t.Errorf("%s got %q", id, answer)
				}
			}
		})
	}
	running.Wait()
	if answered.Load() == 0 {
		t.Error("no request was answered")
	}
}

// Guards against bytes of one connection that reach the request or the answer of another one, beside clients that
// leave while their requests are read, run or answered.
func TestBytesStayWithTheirConnectionBesideLeavingClients(t *testing.T) {
	f := newRoutedFleet(t, 1, 1_000_000)
	sendMarkedByAll(t, f.sendMarked, func(answer, id string) bool { return strings.HasSuffix(answer, " to "+id) })
	for _, u := range f.plainUpstreams {
		for _, run := range u.Runs() {
			if marks := strings.Count(run.Body, ";"); run.Body != markedBody(run.ID, marks) || marks == 0 {
				t.Errorf("%s ran with a body of %d bytes that is not its own", run.ID, len(run.Body))
			}
		}
	}
}

// Guards against the same through package entry ("lavenderring serve"): the upstream's answer names the path that it
// got, which is marked with the request.
func TestOwnDoorKeepsBytesWithTheirConnectionBesideLeavingClients(t *testing.T) {
	f := newFleet(t, options{instances: 1, engines: 1, services: 2, prepaid: 1_000_000})
	sendMarkedByAll(t, f.sendMarked, func(answer, id string) bool { return strings.Contains(answer, id+`"`) })
}

// sendMarked is like that of routedFleet; the request's path is marked, too.
func (f *fleet) sendMarked(client *http.Client, id string, random *rand.Rand, leaves bool) string {
	f.t.Helper()
	body := strings.NewReader(markedBody(id, 1+random.IntN(maxMarks)))
	req, err := http.NewRequest(http.MethodPost, "http://"+f.instances[0].address+"/services/jobs/"+id, body)
	f.must(err)
	req.Header.Set("Authorization", "Bearer "+crewKey)
	return exchangeMarked(client, req, random, leaves)
}
