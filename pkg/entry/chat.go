package entry

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/claim"
	"github.com/lavenderring/lavenderring/pkg/dispatch"
	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
	"github.com/lavenderring/lavenderring/pkg/upstream"
)

// Constants of a model request.
const (
	// chatPath is the path of model requests; a service document lists it under
	// "once" if they are not idempotent.
	chatPath = "/v1/chat/completions"
	// maxPrefixBytes is the length of the part of a prompt that is hashed to
	// find the engine whose prefix cache is likely to hold it.
	maxPrefixBytes = 512
	// maxResumes bounds how often a stream is resumed without a further token.
	maxResumes = 3
	// resumeDelay is the wait before a stream is resumed.
	resumeDelay = 50 * time.Millisecond
	// cancelTimeout bounds the call that cancels an abandoned request and
	// returns its cost.
	cancelTimeout = 2 * time.Second
)

// chatCall is a model request in progress.
type chatCall struct {
	e          *Entry
	r          *request
	ctx        context.Context
	pool       *document.Pool
	dispatch   *dispatch.Pool
	req        chat.Request
	body       []byte
	maxCost    int64
	prefixHash uint64
	idempotent bool
	billing    billing
	// out is the writer of the attempt that answered.
	out answerWriter

	// silent receives the attempt whose engine has been silent for some time, ended how each attempt
	// ended. numRunning is the number of attempts that have not ended.
	silent     chan *attempt
	ended      chan attemptEnd
	numRunning int

	mu             sync.Mutex
	triedUpstreams []string
	// attempts holds the attempts in the order of their start; chosen is the one that answers the client.
	attempts []*attempt
	chosen   *attempt
}

func (e *Entry) serveChat(ctx context.Context, r *request) *Problem {
	call := &chatCall{
		e: e, r: r, ctx: ctx, billing: billing{entry: e, r: r}, silent: make(chan *attempt, 1), ended: make(chan attemptEnd),
	}
	if p := call.parse(r.c.Request.Body()); p != nil {
		return p
	}
	if call.idempotent || r.idempotencyKey == "" {
		return call.run(ctx)
	}
	content := fingerprint.Content(consts.MethodPost, chatPath, r.c.Request.Body())
	return e.runAtMostOnce(ctx, r, content.String(), call.runClaimed)
}

// parse checks the request and encodes the body that is sent to the engine. It
// asks for a stream, so that a broken answer can be resumed, and for a maximum
// output, so that the cost stays within what is reserved.
func (c *chatCall) parse(body []byte) *Problem {
	if err := json.Unmarshal(body, &c.req); err != nil {
		return notRunProblem(consts.StatusBadRequest, kindBadRequest, "the body is not a chat completion request: "+err.Error(), 0)
	}
	if len(c.req.Messages) == 0 || c.req.MaxTokens < 0 {
		return notRunProblem(consts.StatusBadRequest, kindBadRequest, "messages must not be empty, max_tokens not negative", 0)
	}
	c.pool = c.r.doc.PoolForModel(c.req.Model)
	if c.pool == nil {
		return notRunProblem(consts.StatusNotFound, kindNotFound, "the service has no such model", 0)
	}
	c.dispatch = c.e.pool(c.r.accountRef.Service.Service, c.pool.Name)
	c.idempotent = !isNonIdempotent(c.pool, consts.MethodPost, chatPath)
	engineReq := c.req
	engineReq.Stream = true
	if engineReq.MaxTokens == 0 || engineReq.MaxTokens > c.pool.MaxOutputTokens {
		engineReq.MaxTokens = c.pool.MaxOutputTokens
	}
	encoded, err := json.Marshal(engineReq)
	if err != nil {
		return notRunProblem(consts.StatusBadRequest, kindBadRequest, err.Error(), 0)
	}
	c.body = encoded
	c.maxCost = c.r.doc.Limits.MaxPromptTokens(len(encoded)) + engineReq.MaxTokens
	c.prefixHash = xxhash.Sum64(promptPrefix(c.req.Messages))
	c.r.prompt = quarantine.NewPrompt(c.r.budget, c.pool.Name, c.req.Model, messageHashes(c.req.Messages))
	return nil
}

// messageHashes returns the hashes of the messages, which are the parts of the prompt.
func messageHashes(messages []chat.Message) []uint64 {
	hashes := make([]uint64, 0, len(messages))
	for _, m := range messages {
		digest := xxhash.New()
		_, _ = digest.WriteString(m.Role + "\x00") // a hash never fails
		_, _ = digest.WriteString(m.Content)
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// promptPrefix returns the first maxPrefixBytes of the messages' contents.
func promptPrefix(messages []chat.Message) []byte {
	var prefix []byte
	for _, m := range messages {
		prefix = append(prefix, m.Content...)
		if len(prefix) >= maxPrefixBytes {
			return prefix[:maxPrefixBytes]
		}
	}
	return prefix
}

// runClaimed runs a request whose idempotency key is claimed, and returns the
// answer to record.
func (c *chatCall) runClaimed(ctx context.Context) (*claim.Answer, *Problem) {
	if p := c.run(ctx); p != nil {
		return nil, p
	}
	body, err := json.Marshal(c.out.response())
	if err != nil {
		return nil, nil
	}
	return &claim.Answer{Status: consts.StatusOK, ContentType: "application/json", Body: body}, nil
}

// run reserves tokens and makes attempts until the whole answer is delivered or
// no retry is allowed.
func (c *chatCall) run(ctx context.Context) *Problem {
	if p := c.e.checkQuarantine(c.r); p != nil {
		return p
	}
	first := c.newAttempt()
	if p := c.billing.reserve(ctx, c.maxCost, &first.reservation); p != nil {
		return p
	}
	c.billing.open(ctx, first.reservation.Tokens())
	c.e.retries.deposit()
	c.start(ctx, first)
	end := c.awaitAnswer(ctx)
	c.out = end.attempt.out
	if !end.whole {
		c.billing.close(false)
		c.out.fail(end.problem)
		return end.problem
	}
	if c.numRunning == 0 {
		c.billing.close(true)
		c.out.finish()
		return nil
	}
	c.out.finish()
	c.r.Fingerprint() // the request's buffers are used again once it has been answered
	c.e.settling.Add(1)
	go c.settleOthers()
	return nil
}

// settleOthers waits until the attempts beside the one that answered are canceled on their engines and settled, and
// closes the bill. The client has its answer meanwhile: an engine that was silent may not say either what its attempt
// cost.
func (c *chatCall) settleOthers() {
	defer c.e.settling.Add(-1)
	for ; c.numRunning > 0; c.numRunning-- {
		<-c.ended
	}
	c.billing.close(true)
}

// attemptProblem describes a failed attempt to the client.
func (c *chatCall) attemptProblem(err error) *Problem {
	if errors.Is(err, errClientGone) {
		c.e.Log.Event(eventlog.CallerGone, c.r.id, nil)
	}
	return c.e.upstreamProblem(c.r, err)
}

// canRetry reports whether another engine may be tried after err; sent is false if
// the attempt failed before any byte of the request was sent. Another engine
// generates a different text, so nothing of the first may have been delivered.
func (c *chatCall) canRetry(err error, sent bool) bool {
	if c.answerBegan() || errors.Is(err, errClientGone) || !c.e.Now().Before(c.r.deadline) {
		return false
	}
	return c.idempotent || (!sent && !c.r.tracker.MaybeSent())
}

// failedBeforeSending reports whether an attempt failed before any byte of the
// request was sent.
func failedBeforeSending(err error) bool {
	var call *upstream.CallError
	return errors.As(err, &call) && call.Step == "dial"
}

// cancelOnEngine cancels a failed attempt on its engine and returns its cost in
// tokens. If the engine cannot report the cost, the attempt may have used all
// that was reserved, and a budget must never be overspent: maxCost is billed,
// and the bill's outcome is unknown unless a later attempt succeeds.
func (c *chatCall) cancelOnEngine(address string, sent bool) int64 {
	if !sent {
		return 0
	}
	ctx, cancel := context.WithTimeout(c.e.background, cancelTimeout)
	defer cancel()
	usage, err := upstream.Cancel(ctx, address, c.r.id)
	if errors.Is(err, upstream.ErrUnknownRequest) {
		return 0
	}
	if err != nil {
		return c.maxCost
	}
	return usage.Total()
}
