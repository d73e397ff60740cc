package forward

import (
	"context"
	"errors"
	"time"

	"github.com/lavenderring/lavenderring/pkg/origin"
	"github.com/lavenderring/lavenderring/pkg/routing"
)

// errMoved means that the configuration no longer allows the route to use the service that began a stream.
var errMoved = errors.New("the route no longer leads to the service that began the stream")

// resumesStream reports whether the client already has events of the stream.
func (c *call) resumesStream() bool {
	return c.route.Kind == routing.Stream && (c.r.LastEventID != "" || c.r.Resumes != "")
}

// selectService returns the name of the service that is to run the request. A stream that the client
// resumes goes on at the service that began it.
func (c *call) selectService(ctx context.Context) (string, *Refusal) {
	if !c.resumesStream() {
		return c.route.SelectService(c.r.ID), nil
	}
	began, err := c.findOrigin(ctx)
	if err != nil {
		return "", &Refusal{Reason: OriginUnknown, RetryAfter: originRetryAfter, Step: "resume", Err: err}
	}
	c.origin = &began
	if c.originVersion() == "" {
		return "", &Refusal{Reason: OriginUnknown, RetryAfter: originRetryAfter, Step: "resume", Err: errVersionUnknown}
	}
	return began.Service, nil
}

// findOrigin returns what began the stream that the client resumes. Versions that this instance sees in
// service prove nothing: others may have come and gone, and the stream may have begun at one of them.
func (c *call) findOrigin(ctx context.Context) (origin.Origin, error) {
	if c.r.Resumes == "" {
		return origin.Origin{}, errVersionUnknown
	}
	began, err := c.f.Origins.Find(ctx, c.accountName(), c.r.Resumes)
	if err == nil && !c.route.LeadsTo(began.Service) {
		err = errMoved
	}
	return began, err
}

// noOrigins remembers nothing.
type noOrigins struct{}

// Record implements Origins.
func (noOrigins) Record(string, string, origin.Origin, time.Duration) {}

// Find implements Origins.
func (noOrigins) Find(context.Context, string, string) (origin.Origin, error) {
	return origin.Origin{}, &origin.UnknownError{}
}

// recordOrigin records which upstream sent the stream's first event, before the client gets the event.
// A request that resumed a stream is recorded, too: the client may name it in its next retry.
func (c *call) recordOrigin(a *attempt) {
	if c.origin == nil {
		began := a.origin()
		c.origin = &began
	}
	if !c.route.Resumable || !c.origin.IsKnown() {
		return
	}
	lifetime := max(c.route.Timeout, c.r.ClientTimeout)
	if lifetime <= 0 {
		lifetime = defaultTimeout
	}
	c.f.Origins.Record(c.accountName(), c.r.ID, *c.origin, lifetime)
}
