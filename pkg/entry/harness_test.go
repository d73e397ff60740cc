package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/bill"
	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/buffermem"
	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/dispatch"
	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
	"github.com/lavenderring/lavenderring/pkg/standin/engine"
	"github.com/lavenderring/lavenderring/pkg/standin/loopback"
	"github.com/lavenderring/lavenderring/pkg/standin/relay"
	"github.com/lavenderring/lavenderring/pkg/store/storefake"
)

const (
	testKey = "crew-key"
	// maxOutputTokens is the maximum answer of the tests' model pool.
	maxOutputTokens = 40
	// waitTimeout bounds the wait of a client for its answer.
	waitTimeout = 60 * time.Second
)

// tokenBudget is a budget of one account that counts what is reserved and billed.
type tokenBudget struct {
	mu       sync.Mutex
	prepaid  int64
	reserved map[*budget.Reservation]int64
	billed   int64
}

// Reserve implements Budgets.
func (b *tokenBudget) Reserve(_ context.Context, _ string, tokens int64, into *budget.Reservation) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.prepaid - b.billed
	for _, reserved := range b.reserved {
		free -= reserved
	}
	if free < tokens {
		return &budget.ShortError{Need: tokens, Found: free, Exhausted: true}
	}
	b.reserved[into] = tokens
	return nil
}

// Settle implements Budgets.
func (b *tokenBudget) Settle(r *budget.Reservation, used int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	billed := min(used, b.reserved[r])
	delete(b.reserved, r)
	b.billed += billed
	return billed
}

// noPeers probes no upstream.
type noPeers struct{}

// Probe implements PeerProber.
func (noPeers) Probe(string) httpconn.PeerState { return httpconn.Answering }

// site is an Entry that serves clients, with its engines.
type site struct {
	t       *testing.T
	entry   *Entry
	server  *httpserve.Server
	address string
	budget  *tokenBudget
	log     *eventlog.Log
	engines []*engine.Server
	doc     *document.Document
}

// newSite starts an Entry with a number of engines; idle is the idle timeout of streams.
func newSite(t *testing.T, engines int, idle time.Duration) *site {
	t.Helper()
	s := &site{
		t:       t,
		address: loopback.Address(),
		budget:  &tokenBudget{prepaid: 1_000_000, reserved: map[*budget.Reservation]int64{}},
		log:     eventlog.Discard("test"),
		doc: &document.Document{
			Service:  "dispatch",
			Limits:   document.Limits{StreamIdleMillis: idle.Milliseconds()},
			Accounts: []document.Account{{Name: "crew", KeySHA256: document.HashKey(testKey), PrepaidTokens: 1_000_000}},
			Pools:    []document.Pool{{Name: "reports", Kind: document.KindModel, Model: "leak-report", MaxOutputTokens: maxOutputTokens}},
		},
	}
	for n := range engines {
		s.addEngine(n)
	}
	state := configsync.NewState(func(f *configsync.ActiveDocument) { s.entry.ApplyConfig(f) })
	s.entry = New(t.Context(), Deps{
		Self: "self", Domain: "a", Config: state, Budgets: s.budget,
		Journal:    bill.NewJournal("self", storefake.New(1), nil, func() string { return "" }),
		PeerProber: noPeers{},
		Answers:    buffermem.NewPool(64 << 20),
		Quarantine: quarantine.NewTable("self", func() {}),
		Log:        s.log, Metrics: metrics.NewRegistry(), Now: time.Now,
	})
	s.apply(1)
	server, err := httpserve.Listen(httpserve.Options{Address: s.address, MaxBodyBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	s.server = server
	s.entry.RegisterRoutes(server)
	server.Serve()
	t.Cleanup(server.Close)
	return s
}

func (s *site) addEngine(n int) {
	s.t.Helper()
	address := loopback.Address()
	e, err := engine.Start(engine.Config{Address: address, TokenMillis: 1})
	if err != nil {
		s.t.Fatal(err)
	}
	s.engines = append(s.engines, e)
	u := document.Upstream{Name: fmt.Sprintf("engine-%d", n), Address: address, Domain: "a"}
	s.doc.Pools[0].Upstreams = append(s.doc.Pools[0].Upstreams, u)
}

// apply brings the site's document into force.
func (s *site) apply(generation uint64) {
	s.t.Helper()
	text, err := toml.Marshal(s.doc)
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err := s.entry.Config.Apply(configsync.Accepted{Service: s.doc.Service, Generation: generation, Text: text}); err != nil {
		s.t.Fatal(err)
	}
}

// messages is the prompt of every request of the tests.
var messages = []chat.Message{{Role: "user", Content: "Moisture 34%: leak?"}}

// preferred returns the index of the engine that the prompt's prefix selects.
func (s *site) preferred() int {
	pool := s.entry.pool(s.doc.Service, s.doc.Pools[0].Name)
	request := dispatch.Request{Prefix: xxhash.Sum64(promptPrefix(messages)), StartBy: time.Now().Add(waitTimeout)}
	lease, err := pool.Acquire(s.t.Context(), request)
	if err != nil {
		s.t.Fatal(err)
	}
	lease.Done(dispatch.Result{Load: -1})
	return slices.IndexFunc(s.doc.Pools[0].Upstreams, func(u document.Upstream) bool { return u.Name == lease.Upstream.Name })
}

// removeEngine replaces an engine's address by one at which nothing listens.
func (s *site) removeEngine(n int) {
	s.t.Helper()
	s.doc.Pools[0].Upstreams[n].Address = loopback.Address()
	s.apply(2)
}

// putRelayBefore puts a relay between the Entry and an engine.
func (s *site) putRelayBefore(n int) *relay.Relay {
	s.t.Helper()
	address, target := loopback.Address(), s.doc.Pools[0].Upstreams[n].Address
	r, err := relay.Start(address, "", target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.doc.Pools[0].Upstreams[n].Address = address
	s.apply(2)
	return r
}

// numEvents returns the number of the Entry's events of a kind.
func (s *site) numEvents(number eventlog.Number) int {
	count := 0
	for _, event := range s.log.Recent("") {
		if event.Number == number {
			count++
		}
	}
	return count
}

// hasResumedAfterAToken reports whether the rest of an answer has been asked for.
func (s *site) hasResumedAfterAToken() bool {
	for _, event := range s.log.Recent("") {
		offset, _ := event.Fields["offset"].(int64)
		if event.Number == eventlog.RequestResumed && offset > 0 {
			return true
		}
	}
	return false
}

// await waits until a condition holds.
func (s *site) await(what string, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("gave up waiting for %s", what)
		}
	}
}

// allowRetries gives the Entry a number of retries.
func (s *site) allowRetries(number float64) {
	s.entry.retries.mu.Lock()
	defer s.entry.retries.mu.Unlock()
	s.entry.retries.saved = number
}

// awaitIdle waits until no request is in progress, so that all bills are written.
func (s *site) awaitIdle() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitTimeout)
	defer cancel()
	if err := s.server.AwaitIdle(ctx); err != nil {
		s.t.Fatal(err)
	}
	if err := s.entry.AwaitSettled(ctx); err != nil {
		s.t.Fatal(err)
	}
}

// maxCost returns the tokens that are reserved for one attempt.
func (s *site) maxCost() int64 {
	body, err := json.Marshal(chat.Request{Model: "leak-report", MaxTokens: maxOutputTokens, Stream: true, Messages: messages})
	if err != nil {
		s.t.Fatal(err)
	}
	limits := s.entry.Config.Snapshot().Services[s.doc.Service].Document.Limits
	return limits.MaxPromptTokens(len(body)) + maxOutputTokens
}

// reply is what a client got for a model request.
type reply struct {
	id     string
	status int
	body   string
	err    error
}

// ask sends a model request and reads the whole reply.
func (s *site) ask(stream bool) reply {
	body, err := json.Marshal(chat.Request{
		Model: "leak-report", MaxTokens: maxOutputTokens, Stream: stream,
		Messages: messages,
	})
	if err != nil {
		return reply{err: err}
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+s.address+chatPath, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	read, err := io.ReadAll(resp.Body)
	return reply{id: resp.Header.Get(chat.HeaderRequestID), status: resp.StatusCode, body: string(read), err: err}
}

// end returns the last bytes of a reply.
func (r reply) end() string {
	const maxBytes = 250
	return r.body[max(len(r.body)-maxBytes, 0):]
}

// text returns the text of a reply, and whether the reply is whole.
func (r reply) text(stream bool) (text string, whole bool) {
	if r.err != nil || r.status != http.StatusOK {
		return "", false
	}
	if !stream {
		var response chat.Response
		if json.Unmarshal([]byte(r.body), &response) != nil || len(response.Choices) != 1 {
			return "", false
		}
		return response.Choices[0].Message.Content, true
	}
	var out strings.Builder
	for line := range strings.Lines(r.body) {
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data:")
		var response chat.Response
		if !found || json.Unmarshal([]byte(data), &response) != nil {
			continue
		}
		for _, choice := range response.Choices {
			if choice.Delta != nil {
				out.WriteString(choice.Delta.Content)
			}
		}
	}
	return out.String(), strings.HasSuffix(strings.TrimSpace(r.body), chat.EndMark)
}

// expectWhole checks that a reply is the whole answer to its request, each token once and in order.
func (s *site) expectWhole(r reply, stream bool) {
	s.t.Helper()
	text, whole := r.text(stream)
	if !whole {
		s.t.Errorf("stream %t: the answer is not whole: status %d, error %v: %s", stream, r.status, r.err, r.end())
		return
	}
	s.expectTokens(r.id, text)
}

// expectTokens checks that a text consists of the first tokens of the answer to a request.
func (s *site) expectTokens(request, text string) {
	s.t.Helper()
	var want strings.Builder
	for i := int64(0); want.Len() < len(text); i++ {
		want.WriteString(engine.Token(request, i))
	}
	if text != want.String() {
		s.t.Errorf("request %s got %q, its tokens begin with %q", request, text, want.String())
	}
}

// expectBilled checks that each request has one bill and that
// the account was charged what the bills say.
func (s *site) expectBilled(replies []reply) {
	s.t.Helper()
	s.awaitIdle()
	var total int64
	for _, r := range replies {
		bills := 0
		for _, event := range s.log.Recent(r.id) {
			if event.Number != eventlog.RequestBilled {
				continue
			}
			bills++
			tokens, _ := event.Fields["tokens"].(int64)
			total += tokens
		}
		if bills != 1 {
			s.t.Errorf("request %q has %d bills", r.id, bills)
		}
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.budget.billed != total || len(s.budget.reserved) != 0 {
		s.t.Errorf("bills of %d tokens, account charged %d, %d reservations left", total, s.budget.billed, len(s.budget.reserved))
	}
}

// expectCounted checks that the account was charged what the engines, which can all be reached, counted.
func (s *site) expectCounted() {
	s.t.Helper()
	var counted int64
	for _, e := range s.engines {
		for _, tokens := range e.Usage() {
			counted += tokens
		}
	}
	if s.budget.billed != counted {
		s.t.Errorf("charged %d tokens, the engines counted %d", s.budget.billed, counted)
	}
}
