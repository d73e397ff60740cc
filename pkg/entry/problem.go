package entry

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/chat"
	"github.com/lavenderring/lavenderring/pkg/outcome"
)

// Problem is the body of the response to a request that was refused or failed,
// application/problem+json (RFC 9457).
type Problem struct {
	// Type and Title name the kind of problem.
	Type  string `json:"type"`
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail describes this occurrence.
	Detail string `json:"detail,omitempty"`
	// Outcome tells whether the request ran.
	Outcome outcome.Outcome `json:"outcome"`
	// Request is the request's id, by which operators can look it up.
	Request string `json:"request,omitempty"`
	// ShortTokens is the number of tokens that the account lacks; 0 for other
	// problems.
	ShortTokens int64 `json:"short_tokens,omitempty"`
	// RetryAfterSeconds is the wait before a retry; 0 if a retry does not help.
	RetryAfterSeconds int64 `json:"retry_after_seconds,omitempty"`
}

// Kinds of problem.
const (
	kindUnauthorized         = "unauthorized"
	kindBadRequest           = "bad-request"
	kindNotFound             = "not-found"
	kindTooLarge             = "too-large"
	kindReadTimeout          = "not-read-in-time"
	kindBudgetExhausted      = "budget-exhausted"
	kindBudgetUnreachable    = "budget-unreachable"
	kindOverloaded           = "overloaded"
	kindDraining             = "draining"
	kindClientGone           = "client-gone"
	kindStoreUnavailable     = "store-unavailable"
	kindUpstreamFailed       = "upstream-failed"
	kindDeadlineExceeded     = "deadline-exceeded"
	kindIdempotencyKeyReused = "idempotency-key-reused"
	kindRequestInProgress    = "request-in-progress"
	kindOutcomeUnknown       = "outcome-unknown"
	kindQuarantined          = "request-quarantined"
	kindSuspected            = "request-suspected"
)

// newProblem returns a Problem; a retryAfter of 0 means that a retry does not
// help.
func newProblem(status int, kind, detail string, result outcome.Outcome, retryAfter time.Duration) *Problem {
	return &Problem{
		Type:              "urn:lavenderring:problem:" + kind,
		Title:             kind,
		Status:            status,
		Detail:            detail,
		Outcome:           result,
		RetryAfterSeconds: int64(math.Ceil(retryAfter.Seconds())),
	}
}

// notRunProblem returns the Problem of a request of which no byte was sent to an
// upstream.
func notRunProblem(status int, kind, detail string, retryAfter time.Duration) *Problem {
	return newProblem(status, kind, detail, outcome.NotRun, retryAfter)
}

// Error implements error.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

func (p *Problem) write(c *app.RequestContext) {
	body, err := json.Marshal(p)
	if err != nil {
		c.SetStatusCode(consts.StatusInternalServerError)
		return
	}
	c.Header(chat.HeaderOutcome, string(p.Outcome))
	if p.RetryAfterSeconds > 0 {
		c.Header("Retry-After", strconv.FormatInt(p.RetryAfterSeconds, 10))
	}
	c.Data(p.Status, "application/problem+json", body)
}
