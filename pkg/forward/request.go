// Package forward processes a client's request from its arrival to its final answer:
// it finds the route and the account, reserves the cost, chooses upstreams,
// makes the attempts that are allowed, and delivers one whole answer.
package forward

import (
	"net/http"
	"time"
)

// Header is one header field.
type Header struct{ Name, Value string }

// Request is one client request as the client-facing server decoded it. A client that
// sends the same request again sends another Request.
type Request struct {
	// ID identifies the request; the client chose it.
	ID string
	// Method, Target (path and query as sent) and Host make up the request line.
	Method, Target, Host string
	// Path is the target without its query.
	Path string
	// Header holds the fields that are passed on to the upstream.
	Header []Header
	Body   []byte
	// HeadBytes is the size of the request's head.
	HeadBytes int
	// Key is the account's key; empty for none.
	Key string
	// ClientTimeout is how long the client will wait; 0 if it did not say.
	ClientTimeout time.Duration
	// Arrived is when the request had been read completely.
	Arrived time.Time
	// Model is the model that the request names; empty for none.
	Model string
	// Prompt lists the parts of the prompt in order; the last belongs to this
	// request alone.
	Prompt []PromptPart
	// PromptTokens and MaxOutputTokens bound what the request costs.
	PromptTokens, MaxOutputTokens int64
	// HasTokenBounds says that the two bounds were given.
	HasTokenBounds bool
	// LastEventID is set by a client that resumes a stream.
	LastEventID string
	// Resumes is the ID of the request whose answer brought the first event of the stream that the
	// client resumes; empty for a new stream.
	Resumes string
}

// PromptPart is a part of a prompt; parts with the same id are the same in all requests.
type PromptPart struct {
	ID     uint64
	Tokens int64
}

// Dispatch holds what this instance adds to a request for one attempt at an upstream.
type Dispatch struct {
	// Instance identifies the only process of the upstream that may run the request.
	Instance string
	// Account is the client account's name; empty if no key is needed.
	Account string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Priority is the request's priority at an engine; negative for none.
	Priority int
	// LastEventID is the event after which a stream continues; empty for a stream from its
	// beginning.
	LastEventID string
}

// AnswerHead is the head of an upstream's answer.
type AnswerHead struct {
	Status int
	// ID is the request's id as the upstream returns it. IsOwn says that it is that of the request to which the
	// answer came; otherwise nothing in the answer counts for that request.
	ID    string
	IsOwn bool
	// Sealed says that the answer carries the upstream's seal.
	Sealed bool
	// NotRun says that the upstream did not and will not run the request.
	NotRun bool
	// WrongIncarnation says that another process than the one addressed listens at the address.
	WrongIncarnation bool
	// Encoded says that the body has a content encoding, which upstreams do not apply: an
	// intermediary has changed it.
	Encoded bool
	// Load is the upstream's load; nil if it did not report one.
	Load *Load
	// KeepFor is how long the upstream keeps an idle connection; 0 if it did not say,
	// negative if it closes this one.
	KeepFor time.Duration
	// Header holds the fields that are passed on to the client.
	Header []Header
}

// Load is the load that an upstream reports.
type Load struct{ Running, Waiting, Slots int }

// Codec writes requests to upstreams and reads their answers in the platform's
// format.
type Codec interface {
	// EncodeRequest appends the head of a request.
	EncodeRequest(to []byte, r *Request, d *Dispatch) []byte
	// DecodeAnswer reads the head of what came as the answer to a request.
	DecodeAnswer(response *http.Response, requestID string) AnswerHead
}

// Client receives the answer of one request. Exactly one of Answer, Refuse
// and Begin is called first.
type Client interface {
	// Answer delivers a whole answer.
	Answer(status int, header []Header, body []byte) error
	// Refuse ends the request with an answer of this instance's own.
	Refuse(refusal *Refusal)
	// Begin starts a streamed answer.
	Begin(status int, header []Header) error
	// Event writes and flushes a piece of it.
	Event(piece []byte) error
	// Abort ends a streamed answer so that the client sees that it is incomplete.
	Abort()
}

// WrittenNotifier is a Client that writes a whole answer after Answer has returned.
type WrittenNotifier interface {
	// OnWritten has done called when the answer has been written or discarded. It is called once, after Answer.
	OnWritten(done func())
}

// DepartureChecker is a Client that can tell whether it has left.
type DepartureChecker interface {
	// IsGone reports whether the client has closed its connection, or the sending side of it. It may be called
	// from any goroutine.
	IsGone() bool
}

// isGone reports whether a client is known to have left.
func isGone(client Client) bool {
	checker, ok := client.(DepartureChecker)
	return ok && checker.IsGone()
}
