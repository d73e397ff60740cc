package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/lavenderring/lavenderring/pkg/answermem"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/placement"
	"github.com/lavenderring/lavenderring/pkg/reach"
	"github.com/lavenderring/lavenderring/pkg/routing"
)

// Bounds of an attempt.
const (
	// silenceCheckDelay is how long a request may be without an answer before it is checked whether
	// the links to the service have gone silent.
	silenceCheckDelay = 250 * time.Millisecond
	// concurrentSendBytes is the size in bytes above which a body is sent while the answer
	// is being read: an upstream may answer before it has read the whole body.
	concurrentSendBytes = 8 << 10
	// failoverFraction is the fraction of a route's timeout after which an idempotent
	// request without an answer is sent to another upstream.
	failoverFraction = 0.3
	// silenceFactor times the route's latency objective is how long a resumable stream
	// may be silent before it is resumed at another upstream.
	silenceFactor = 3
)

// Steps before anything is sent: an attempt that fails there has not reached an upstream, so
// the next one is not a retry.
const (
	stepDial = "dial"
	// stepBeforeSend is the check between choosing an upstream and sending the request.
	stepBeforeSend = "chosen"
)

// attempt is one transmission of a request to one upstream.
type attempt struct {
	c     *call
	lease *placement.Lease
	conn  *httpconn.Conn
	// via is the name of the instance through which the connection leads; empty for a direct one.
	via string
	// sendDone is closed when sending has ended; sendErr is its result.
	sendDone chan struct{}
	sendErr  error
	// sentAt is when sending began.
	sentAt time.Time
	// keepFor is how long the upstream keeps the idle connection, 0 if it did not say;
	// negative if the connection must not be reused.
	keepFor time.Duration
}

// tryUpstream makes an attempt at one more upstream. It returns nil when the final
// answer has been delivered.
func (c *call) tryUpstream(ctx context.Context) *failure {
	if c.remaining() <= minAttemptTime {
		return &failure{step: "choose", err: errNoTime, noRetry: true}
	}
	run, failed := c.beginRun()
	if failed != nil {
		return failed
	}
	lease, failed := c.chooseForRun(run)
	if failed != nil {
		run.NoteEnd()
		return failed
	}
	c.tried = append(c.tried, lease.ID)
	a := &attempt{c: c, lease: lease, keepFor: -1}
	failed = a.run(ctx)
	a.concludeRun(ctx, run, failed)
	a.release(ctx, failed)
	return failed
}

// release ends the lease with the attempt's result, and returns the connection to the pool or
// drops it.
func (a *attempt) release(ctx context.Context, failed *failure) {
	result := placement.Succeeded
	switch {
	case failed == nil:
	case ctx.Err() != nil || failed.neutral || errors.Is(failed.err, errNoTime):
		result = placement.Neutral
	default:
		result = placement.Failed
	}
	a.lease.Done(result)
	if a.conn == nil {
		return
	}
	reusable := a.keepFor >= 0 && a.isSent() && a.conn.FullyRead()
	switch {
	case a.via != "" && reusable:
		a.conn.Finish(a.keepFor)
	case a.via != "":
		a.conn.Close()
	case reusable:
		a.c.f.Conns.Put(a.conn, a.keepFor)
	default:
		a.c.f.Conns.Drop(a.conn)
	}
}

// isSent reports whether the whole request was written without an error.
func (a *attempt) isSent() bool {
	if a.sendDone == nil {
		return false
	}
	select {
	case <-a.sendDone:
		return a.sendErr == nil
	default:
		return false
	}
}

func (a *attempt) run(ctx context.Context) *failure {
	if failed := a.connect(ctx); failed != nil {
		return failed
	}
	// While the connection was set up, the upstream may have announced that it is leaving. A request
	// sent to it now could arrive after the time that leaving may take, and be cut off there. After
	// this check, only the delay of the network remains in which the upstream may leave unnoticed.
	if !a.lease.InService() {
		return &failure{step: stepBeforeSend, peer: a.lease.Address, err: errLeaving, neutral: true}
	}
	stop := context.AfterFunc(ctx, a.conn.Close)
	defer func() {
		if !stop() {
			a.keepFor = -1
		}
	}()
	a.c.f.meters.beforeSendTime.Update(a.c.f.Now().Sub(a.c.r.Arrived))
	a.logDispatch()
	a.conn.SetDeadline(a.headDeadline())
	a.send()
	response, err := a.awaitHead()
	if err != nil {
		return a.connFailed("head", err)
	}
	head := a.c.f.Codec.DecodeAnswer(response)
	if head.Load != nil {
		a.lease.ReportLoad(head.Load.Running, head.Load.Waiting)
	}
	a.noteIncarnation(&head)
	if failed := a.checkHead(&head); failed != nil {
		return failed
	}
	a.conn.SetDeadline(a.c.deadline)
	if a.c.route.Kind == routing.Stream && head.Status < http.StatusMultipleChoices {
		return a.deliverStream(ctx, response, &head)
	}
	return a.deliverWhole(ctx, response, &head)
}

// connect takes an idle connection from the pool or opens one.
func (a *attempt) connect(ctx context.Context) *failure {
	address := a.lease.Address
	if a.conn = a.c.f.Conns.Get(address); a.conn != nil {
		return nil
	}
	maxConns := a.c.target.MaxConnections
	if maxConns > 0 && a.c.f.Conns.NumOpen(address) >= max(maxConns/max(a.c.f.NumInstances(), 1), 1) {
		return &failure{step: stepDial, peer: address, err: errConnections, neutral: true}
	}
	connection, err := a.c.f.Links.Connect(ctx, reach.Target{
		Service: a.lease.Service, ID: a.lease.ID, Address: address, Domain: a.lease.Domain, Deadline: a.c.deadline,
	})
	if err != nil {
		if ctx.Err() == nil {
			a.lease.ReportUnreachable()
		}
		return &failure{step: stepDial, peer: address, err: err}
	}
	a.conn, a.via = connection.Conn, connection.Via
	if a.via != "" {
		a.c.f.meters.tunnelled.Inc(1)
	}
	if connection.DirectFailed {
		a.lease.ReportUnreachable()
	}
	return nil
}

func (a *attempt) logDispatch() {
	fields := eventlog.Fields{
		"upstream": a.lease.ID, "address": a.lease.Address, "domain": a.lease.Domain, "sent": a.c.numSent + 1,
		"prompt_tokens": a.c.r.PromptTokens, "long": a.lease.Long,
	}
	if a.via != "" {
		fields["via"] = a.via
	}
	if a.c.route.Kind == routing.Stream {
		fields["version"] = a.lease.Version
	}
	if after := a.c.resumeAfter(); after != "" {
		fields["after_event"], fields["resumes"] = after, a.c.r.Resumes
	}
	a.c.f.Log.Event(eventlog.RequestDispatched, a.c.r.ID, fields)
}

// awaitHead reads the head of the answer.
func (a *attempt) awaitHead() (*http.Response, error) {
	if a.via != "" {
		return a.conn.ReadHead(a.c.r.Method)
	}
	check := time.AfterFunc(silenceCheckDelay, func() {
		a.c.f.Links.CheckSilence(a.lease.Service, a.lease.Address, silenceCheckDelay)
	})
	defer check.Stop()
	response, err := a.conn.ReadHead(a.c.r.Method)
	if err == nil {
		a.c.f.Links.NoteHeard(a.lease.Service)
	}
	return response, err
}

// headDeadline returns when an attempt without an answer is given up: before the
// request's deadline if another upstream may still be tried.
func (a *attempt) headDeadline() time.Time {
	c := a.c
	if !c.route.Retryable() || c.numSent+1 >= c.route.MaxAttempts {
		return c.deadline
	}
	maxWait := time.Duration(failoverFraction * float64(c.route.Timeout))
	if c.route.Kind == routing.Stream {
		maxWait = silenceFactor * c.route.Objective
	}
	if a.lease.Long {
		// The engine of a long prompt may still be in prefill, and another engine would take as
		// long again: the client would leave before that, and both prefills would be billed for
		// nothing.
		return c.deadline
	}
	if earlier := c.f.Now().Add(maxWait); earlier.Before(c.deadline) {
		return earlier
	}
	return c.deadline
}

// send writes the request; a long body is written while the answer is read.
func (a *attempt) send() {
	c := a.c
	c.numSent++
	a.sentAt = c.f.Now()
	c.f.lastSent.record(a.lease.Domain, a.sentAt)
	c.mayHaveRun = true // reset only when the upstream says that it did not run the request
	d := Dispatch{Instance: a.lease.ID, Remaining: c.remaining(), Priority: -1, LastEventID: c.resumeAfter()}
	if c.account != nil {
		d.Account = c.account.Name
	}
	if c.target.Engine != nil {
		d.Priority = c.priority()
	}
	head := c.f.Codec.EncodeRequest(make([]byte, 0, typicalHeadBytes), c.r, &d)
	a.sendDone = make(chan struct{})
	write := func() {
		a.sendErr = a.conn.Send(head, c.r.Body)
		close(a.sendDone)
	}
	if len(c.r.Body) > concurrentSendBytes {
		go write()
		return
	}
	write()
}

// typicalHeadBytes is the initial buffer size for a request head, in bytes.
const typicalHeadBytes = 1024

// resumeAfter returns the id of the event after which the next attempt's stream continues;
// empty to start from the beginning.
func (c *call) resumeAfter() string {
	if c.lastEventID != "" {
		return c.lastEventID
	}
	return c.r.LastEventID
}

// maxPriority is the least urgent priority that engines accept.
const maxPriority = 9

// priority returns the request's priority at an engine: the account's takes precedence over
// the route's.
func (c *call) priority() int {
	if c.account != nil && c.account.Priority >= 0 {
		return min(c.account.Priority, maxPriority)
	}
	return min(max(c.route.Priority, 0), maxPriority)
}

// checkHead returns a failure if the answer's head shows that the answer must be discarded.
func (a *attempt) checkHead(head *AnswerHead) *failure {
	peer := a.lease.Address
	switch {
	case head.NotRun:
		// The upstream states that this attempt did not run, which says nothing about
		// earlier attempts.
		a.c.mayHaveRun = a.c.earlierMayHaveRun
		full := head.Status == http.StatusServiceUnavailable || head.Status == http.StatusTooManyRequests
		return &failure{step: "status", peer: peer, err: errRefused, neutral: full}
	case head.ID != "" && head.ID != a.c.r.ID:
		a.c.f.Log.Event(eventlog.AnswerMismatch, a.c.r.ID, eventlog.Fields{"upstream": a.lease.ID, "answer_to": head.ID})
		return a.outcomeUnknown("head", errAnswerMismatch)
	case head.Encoded:
		return a.outcomeUnknown("head", errEncoded)
	case !head.Sealed && head.Status < http.StatusInternalServerError:
		return a.outcomeUnknown("head", errUnsealed)
	}
	return nil
}

// outcomeUnknown returns the failure of an attempt that may have run.
func (a *attempt) outcomeUnknown(step string, err error) *failure {
	a.c.earlierMayHaveRun = true
	return &failure{step: step, peer: a.lease.Address, err: err}
}

// connFailed returns the failure of an attempt whose connection timed out or ended.
func (a *attempt) connFailed(step string, err error) *failure {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		if a.c.remaining() <= minAttemptTime {
			return a.outcomeUnknown(step, errNoTime)
		}
		return a.outcomeUnknown(step, errUpstreamSilent)
	}
	failed := a.outcomeUnknown(step, err)
	failed.connEnded = !isTooLong(err)
	failed.neutral = errors.Is(err, answermem.ErrFull) // says nothing about the upstream
	return failed
}

// deliverWhole buffers the whole answer before its first byte goes to the client, so that if
// the answer breaks off, the request can still be retried or refused.
func (a *attempt) deliverWhole(ctx context.Context, response *http.Response, head *AnswerHead) *failure {
	memory, cancel := a.newMemory(ctx)
	defer cancel()
	body, err := readAnswer(response, memory)
	if err != nil {
		memory.Release()
		return a.connFailed("body", err)
	}
	if !response.Close {
		a.keepFor = head.KeepFor
	}
	answer := &wholeAnswer{head: *head, body: body, memory: memory}
	switch {
	case meansNotRun(head.Status):
		// Clients read this status as "not run", but the upstream did not say so (NotRun).
		answer.discard()
		return a.outcomeUnknown("status", errRefused).markAnswered()
	case head.Status >= http.StatusInternalServerError:
		a.c.upstreamFailure.discard()
		a.c.upstreamFailure = answer
		return a.outcomeUnknown("status", errUpstreamFailure).markAnswered()
	}
	a.c.deliver(answer)
	return nil
}

// meansNotRun reports whether clients read a status as "not run".
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
