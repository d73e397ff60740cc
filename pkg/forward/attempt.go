package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lavenderring/lavenderring/pkg/buffermem"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/placement"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
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
	// silenceFraction is the fraction of a route's timeout after which an idempotent
	// request without an answer is sent to another upstream as well.
	silenceFraction = 0.3
	// silenceFactor times the route's latency objective is how long a resumable stream
	// may be silent before it is sent to another upstream as well.
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
	// run is the attempt in the quarantine's count.
	run quarantine.Run
	// body is the request's body. It belongs to the client's connection, which uses its memory again after
	// the request, so a hedge has a copy.
	body []byte
	// gate lets a hedge send; nil for other attempts.
	gate *sendGate
	// resumes says that the client has events of the stream already, goesOn that what began the stream is decided.
	resumes, goesOn bool
	// resumeAfter is the event after which the attempt's stream continues; empty from the beginning.
	resumeAfter string
	// number counts the call's attempts from 1; 0 until the attempt is counted.
	number int
	conn   *httpconn.Conn
	// via is the name of the instance through which the connection leads; empty for a direct one.
	via string
	// cancel releases the context of an attempt that was a hedge; nil for others.
	cancel context.CancelFunc
	// closeWithClient stops the closing of the connection when the client leaves; nil without a connection.
	closeWithClient func() bool
	// sendDone is closed when sending has ended; sendErr is its result.
	sendDone chan struct{}
	sendErr  error
	// sentAt is when sending began; zero if nothing was sent.
	sentAt time.Time
	// heardAt is when the upstream was last heard of, from sentAt on.
	heardAt time.Time
	// keepFor is how long the upstream keeps the idle connection, 0 if it did not say;
	// negative if the connection must not be reused.
	keepFor time.Duration

	// response and head are the answer's head.
	response *http.Response
	head     AnswerHead
	// memory is what the answer takes; nil without a connection, and once the answer has been passed on with
	// it. cancelMemory ends its wait for room.
	memory       *buffermem.Hold
	cancelMemory context.CancelFunc
	// events reads the events of a streamed answer; nil for others. answer is an answer that has been
	// read whole.
	events *eventReader
	answer *wholeAnswer
}

// newAttempt chooses an upstream for one more attempt, whose run begin starts.
func (c *call) newAttempt(begin func() (quarantine.Run, *failure)) (*attempt, *failure) {
	if c.remaining() <= minAttemptTime {
		return nil, &failure{step: "choose", err: errNoTime, noRetry: true}
	}
	run, failed := begin()
	if failed != nil {
		return nil, failed
	}
	lease, failed := c.chooseForRun(run)
	if failed != nil {
		run.NoteEnd()
		return nil, failed
	}
	c.tried = append(c.tried, lease.ID)
	return &attempt{
		c: c, lease: lease, run: run, body: c.r.Body, resumes: c.begun, goesOn: c.origin != nil,
		resumeAfter: c.resumeAfter(), keepFor: -1,
	}, nil
}

// tryUpstream makes an attempt at one more upstream, and at others beside it while it is silent. It returns
// nil when the final answer has been delivered.
func (c *call) tryUpstream(ctx context.Context) *failure {
	a, failed := c.newAttempt(c.beginRun)
	if failed != nil {
		return failed
	}
	failed = a.serve(ctx)
	for failed != nil && c.hedges.isPending() {
		next, hedgeFailed := c.awaitHedge(ctx, a)
		switch {
		case hedgeFailed == nil:
			a = next
			failed = a.deliver(ctx)
			c.endAttempt(ctx, a, failed)
		case hedgeFailed.sentSomething():
			failed = hedgeFailed
		}
	}
	c.abandonHedges()
	return failed
}

// serve carries out the attempt from its connection to the delivery of its answer.
func (a *attempt) serve(ctx context.Context) *failure {
	failed := a.open(ctx)
	if failed == nil {
		a.c.count(a)
		a.watchSilence(ctx)
		failed = a.exchange()
	}
	if failed == nil {
		failed = a.deliver(ctx)
	}
	a.c.endAttempt(ctx, a, failed)
	return failed
}

// endAttempt ends an attempt that delivers nothing more, and records what its failure says about the request.
func (c *call) endAttempt(ctx context.Context, a *attempt, failed *failure) {
	c.hedges.detach(a)
	a.end(ctx, failed)
	c.noteFailed(a, failed)
}

// end concludes the attempt. It uses nothing of the call that changes.
func (a *attempt) end(ctx context.Context, failed *failure) {
	if a.closeWithClient != nil && !a.closeWithClient() {
		a.keepFor = -1
	}
	if a.cancelMemory != nil {
		a.cancelMemory()
		a.memory.Release()
	}
	a.concludeRun(ctx, failed)
	a.release(ctx, failed)
	if a.sendDone != nil {
		<-a.sendDone // the connection is closed, or everything has been sent
	}
	if a.cancel != nil {
		a.cancel()
	}
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

// open connects to the upstream.
func (a *attempt) open(ctx context.Context) *failure {
	if failed := a.connect(ctx); failed != nil {
		return failed
	}
	a.closeWithClient = context.AfterFunc(ctx, a.conn.Close)
	a.conn.SetDeadline(a.c.deadline)
	a.memory, a.cancelMemory = a.newMemory(ctx)
	if failed := a.checkCold(); failed != nil {
		return failed
	}
	if failed := a.identify(); failed != nil {
		return failed
	}
	// While the connection was set up, the upstream may have announced that it is leaving. A request
	// sent to it now could arrive after the time that leaving may take, and be cut off there. After
	// this check, only the delay of the network remains in which the upstream may leave unnoticed.
	if !a.lease.InService() {
		return &failure{step: stepBeforeSend, peer: a.lease.Address, err: errLeaving, neutral: true}
	}
	if err := a.c.f.Validity.Check(); err != nil {
		err = errors.Join(errOutdated, err)
		return &failure{step: stepBeforeSend, peer: a.lease.Address, err: err, neutral: true, noRetry: true}
	}
	if isGone(a.c.client) {
		return &failure{step: stepBeforeSend, peer: a.lease.Address, err: errClientGone, neutral: true, noRetry: true}
	}
	return a.confirmRun()
}

// exchange sends the request and reads the head of the answer.
func (a *attempt) exchange() *failure {
	if a.gate != nil && !a.gate.pass() {
		return &failure{step: stepBeforeSend, peer: a.lease.Address, err: errSuperseded, neutral: true}
	}
	a.c.f.meters.beforeSendTime.Update(a.c.f.Now().Sub(a.c.r.Arrived))
	a.logDispatch()
	a.send()
	response, err := a.awaitHead()
	if err != nil {
		return a.connFailed("head", err)
	}
	a.heardAt = a.c.f.Now()
	a.response, a.head = response, a.c.f.Codec.DecodeAnswer(response, a.c.r.ID)
	if !a.head.IsOwn {
		a.c.f.Log.Event(eventlog.AnswerMismatch, a.c.r.ID, eventlog.Fields{"upstream": a.lease.ID, "answer_to": a.head.ID})
		return a.outcomeUnknown("head", errAnswerMismatch)
	}
	if a.head.Load != nil {
		a.lease.ReportLoad(a.head.Load.Running, a.head.Load.Waiting)
	}
	a.noteIncarnation(&a.head)
	if failed := a.checkHead(); failed != nil {
		return failed
	}
	if a.c.route.Kind == routing.Stream && a.head.Status < http.StatusMultipleChoices {
		a.events = newEventReader(response.Body, a.memory, a.noteHeard)
	}
	return nil
}

// readAhead reads what can be delivered first: an event that the client does not have, or any other answer
// whole. An answer that brings neither is a failure.
func (a *attempt) readAhead() *failure {
	if a.events != nil {
		return a.readNewEvent()
	}
	if failed := a.readWhole(); failed != nil || a.c.route.Kind != routing.Stream {
		return failed
	}
	failed := a.outcomeUnknown("status", errNoStream).markAnswered()
	failed.answer, a.memory = a.answer, nil
	return failed
}

// readNewEvent reads until the first event that the client does not have.
func (a *attempt) readNewEvent() *failure {
	for {
		err := a.events.fill()
		switch {
		case errors.Is(err, io.EOF):
			return a.streamEnded(errNoStream)
		case err != nil:
			return a.streamFailed(err)
		case dropDelivered(a.events.complete(), a.resumeAfter).hasData():
			a.run.NoteAnswering(a.c.f.Now())
			return nil
		}
		a.events.skip()
	}
}

// deliver delivers the answer to the client.
func (a *attempt) deliver(ctx context.Context) *failure {
	a.watchSilence(ctx)
	if a.events != nil {
		return a.deliverStream()
	}
	return a.deliverWhole()
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
		a.lease.ReportNotConnected()
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
		"upstream": a.lease.ID, "address": a.lease.Address, "domain": a.lease.Domain, "sent": a.number,
		"prompt_tokens": a.c.r.PromptTokens, "long": a.lease.Long,
	}
	if a.via != "" {
		fields["via"] = a.via
	}
	if a.c.f.UpstreamsAge != nil {
		if age, known := a.c.f.UpstreamsAge(); known {
			fields["upstreams_age_ms"] = age.Milliseconds()
		}
	}
	if delay := a.c.f.OwnDelay.Delay(); delay > 0 {
		fields["own_delay_ms"] = delay.Milliseconds()
	}
	if a.c.route.Kind == routing.Stream {
		fields["version"] = a.lease.Version
		if !a.isIdentified() {
			fields["answers_born"] = a.conn.PeerBorn
		}
	}
	if a.resumeAfter != "" {
		fields["after_event"], fields["resumes"] = a.resumeAfter, a.c.r.Resumes
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

// silenceBound returns how long the upstream may be silent before another one is tried as well, and false
// if none may be.
func (a *attempt) silenceBound() (bound time.Duration, bounded bool) {
	route := a.c.route
	switch {
	case !route.Retryable():
		return 0, false
	case a.response == nil && a.lease.Long:
		// The engine of a long prompt may still be in prefill, and another engine would take as
		// long again: the client would leave before that, and both prefills would be billed for
		// nothing.
		return 0, false
	case route.Kind != routing.Stream:
		bound = time.Duration(silenceFraction * float64(route.Timeout))
	case a.response == nil:
		bound = silenceFactor * route.Objective
	default:
		bound = silenceFactor * max(route.MaxPause, route.Objective)
	}
	return bound, bound > 0
}

// watchSilence makes reading the answer wait until the deadline, and tries another upstream as well when
// this one has been silent for too long.
func (a *attempt) watchSilence(ctx context.Context) {
	bound, bounded := a.silenceBound()
	if !bounded {
		bound = a.c.remaining()
	}
	watch := &httpconn.SilenceWatch{
		After:     bound,
		Deadline:  a.c.deadline,
		OnSilence: func() (time.Duration, error) { return a.c.onSilence(ctx, a) },
	}
	if a.events == nil {
		watch.CheckBy = a.c.f.Now().Add(bound) // a head or a body that comes slowly is no answer either
	}
	a.conn.WatchSilence(watch)
}

// send writes the request; a long body is written while the answer is read.
func (a *attempt) send() {
	c := a.c
	a.sentAt = c.f.Now()
	a.heardAt = a.sentAt
	c.f.lastSent.record(a.lease.Domain, a.sentAt)
	d := Dispatch{Instance: a.lease.ID, Remaining: c.remaining(), Priority: -1, LastEventID: a.resumeAfter}
	if c.account != nil {
		d.Account = c.account.Name
	}
	if c.target.Engine != nil {
		d.Priority = c.priority()
	}
	head := c.f.Codec.EncodeRequest(make([]byte, 0, typicalHeadBytes), c.r, &d)
	a.sendDone = make(chan struct{})
	write := func() {
		a.sendErr = a.conn.Send(head, a.body)
		close(a.sendDone)
	}
	if len(a.body) > concurrentSendBytes {
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
func (a *attempt) checkHead() *failure {
	peer, head := a.lease.Address, &a.head
	switch {
	case head.NotRun:
		full := head.Status == http.StatusServiceUnavailable || head.Status == http.StatusTooManyRequests
		return &failure{step: "status", peer: peer, err: errRefused, neutral: full, notRun: true}
	case head.Encoded:
		return a.outcomeUnknown("head", errEncoded)
	case !head.Sealed && head.Status < http.StatusInternalServerError:
		return a.outcomeUnknown("head", errUnsealed)
	}
	return nil
}

// outcomeUnknown returns the failure of an attempt that may have run.
func (a *attempt) outcomeUnknown(step string, err error) *failure {
	return &failure{step: step, peer: a.lease.Address, err: err}
}

// connFailed returns the failure of an attempt whose connection timed out or ended, or that was given up for
// another one's answer.
func (a *attempt) connFailed(step string, err error) *failure {
	if errors.Is(err, errSuperseded) {
		return a.silent(step, errSuperseded)
	}
	if httpconn.IsTimeout(err) {
		if a.c.remaining() <= minAttemptTime {
			return a.silent(step, errNoTime)
		}
		return a.silent(step, errUpstreamSilent)
	}
	failed := a.outcomeUnknown(step, err)
	failed.connEnded = !isTooLong(err) && !errors.Is(err, httpconn.ErrNoAnswer) && !errors.Is(err, reach.ErrPathLost)
	failed.neutral = errors.Is(err, buffermem.ErrFull) // says nothing about the upstream
	return failed
}

// silent returns the failure of an attempt whose upstream was silent when the wait for it ended.
func (a *attempt) silent(step string, err error) *failure {
	failed := a.outcomeUnknown(step, err)
	failed.silence = a.c.f.Now().Sub(a.heardAt)
	return failed
}

// readWhole reads the whole answer before its first byte goes to the client, so that if the answer breaks
// off, the request can still be retried or refused.
func (a *attempt) readWhole() *failure {
	if a.answer != nil {
		return nil
	}
	body, err := readAnswer(a.response, a.memory)
	if err != nil {
		return a.connFailed("body", err)
	}
	if !a.response.Close {
		a.keepFor = a.head.KeepFor
	}
	answer := &wholeAnswer{head: a.head, body: body, memory: a.memory}
	switch {
	case a.resumes: // this answer cannot follow the events that the client has
		return a.outcomeUnknown("status", errNoStream).markAnswered()
	case meansNotRun(a.head.Status):
		// Clients read this status as "not run", but the upstream did not say so (NotRun).
		return a.outcomeUnknown("status", errRefused).markAnswered()
	case a.head.Status >= http.StatusInternalServerError:
		failed := a.outcomeUnknown("status", errUpstreamFailure).markAnswered()
		failed.answer, a.memory = answer, nil
		return failed
	}
	a.answer = answer
	return nil
}

func (a *attempt) deliverWhole() *failure {
	if failed := a.readWhole(); failed != nil {
		return failed
	}
	if a.head.Status < http.StatusMultipleChoices {
		a.run.NoteWhole(a.c.f.Now())
	}
	a.c.abandonHedges()
	a.memory = nil // the answer keeps it until it has been written
	a.c.deliver(a.answer)
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
