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

// Problem is a refusal or failure as callers get it, application/problem+json.
type Problem struct {
	// Type and Title name the kind of problem.
	Type  string `json:"type"`
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail says more.
	Detail string `json:"detail,omitempty"`
	// Outcome says whether the request ran.
	Outcome outcome.Word `json:"outcome"`
	// Request is the request's id, to be named to the operators.
	Request string `json:"request,omitempty"`
	// ShortTokens is how many tokens the account lacks, where that is the cause.
	ShortTokens int64 `json:"short_tokens,omitempty"`
	// RetryAfterSeconds is when to come back; 0 if that does not help.
	RetryAfterSeconds int64 `json:"retry_after_seconds,omitempty"`
}

// Kinds of problem.
const (
	kindUnauthorized  = "unauthorized"
	kindBadRequest    = "bad-request"
	kindNotFound      = "not-found"
	kindTooLarge      = "too-large"
	kindBudget        = "budget-exhausted"
	kindBudgetUnknown = "budget-unreachable"
	kindOverloaded    = "overloaded"
	kindDraining      = "draining"
	kindStore         = "store-unavailable"
	kindUpstream      = "upstream-failed"
	kindDeadline      = "deadline-exceeded"
	kindKeyReused     = "idempotency-key-reused"
	kindInProgress    = "request-in-progress"
	kindKeyUnknown    = "outcome-unknown"
	kindQuarantined   = "request-quarantined"
	kindSuspected     = "request-suspected"
)

// problem makes a Problem; retryAfter 0 means that coming back does not help.
func problem(status int, kind, detail string, word outcome.Word, retryAfter time.Duration) *Problem {
	return &Problem{
		Type:              "urn:lavenderring:problem:" + kind,
		Title:             kind,
		Status:            status,
		Detail:            detail,
		Outcome:           word,
		RetryAfterSeconds: int64(math.Ceil(retryAfter.Seconds())),
	}
}

// notRun makes a refusal of a request that truly did not run.
func notRun(status int, kind, detail string, retryAfter time.Duration) *Problem {
	return problem(status, kind, detail, outcome.NotRun, retryAfter)
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
