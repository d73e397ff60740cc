package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lavenderring/lavenderring/pkg/httpconn"
)

// Bounds of a question to an upstream about itself before a request.
const (
	// questionTimeout bounds the wait for the answer; upstreams answer within a round trip and the wait for a
	// slot.
	questionTimeout = 250 * time.Millisecond
	// maxQuestionBytes is the largest body of the answer after which the connection is used again.
	maxQuestionBytes = 16 << 10
)

// errMaybeCold means that an upstream may be cold and takes no more requests at the moment.
var errMaybeCold = errors.New("upstream did not say that it is not cold")

// HealthCodec encodes health checks of upstreams and decodes their answers.
type HealthCodec interface {
	// EncodeHealth appends a health check that only the named incarnation answers.
	EncodeHealth(buf []byte, address, path, instance string) []byte
	DecodeHealth(response *http.Response) Health
}

// Health is what an upstream says about itself in the answer to a health check.
type Health struct {
	// Instance is the incarnation that answers; empty if it did not say.
	Instance string
	// Cold is how much longer the upstream is cold, 0 if it is not; valid if StatesCold.
	Cold       time.Duration
	StatesCold bool
}

// checkCold asks an upstream that counts as cold only because a connection failed whether it is. The connection
// ends unless the upstream says that it is not.
func (a *attempt) checkCold() *failure {
	if a.c.f.Health == nil || a.c.target.HealthPath == "" {
		return nil
	}
	check := a.lease.StartColdCheck()
	if check == nil {
		return nil
	}
	a.c.f.meters.coldChecks.Inc(1)
	health, err := a.askHealth()
	if health.StatesCold && health.Instance == a.lease.ID {
		check.Conclude(health.Cold)
	}
	if err == nil && !a.lease.InService() {
		err = errMaybeCold
	}
	if err != nil {
		return &failure{step: stepBeforeSend, peer: a.lease.Address, err: err, neutral: true}
	}
	return nil
}

// errQuestionClose means that an upstream closes the connection after its answer.
var errQuestionClose = errors.New("the connection ends after the answer to a question")

// askHealth makes a health check over the attempt's connection and leaves it ready for a request.
func (a *attempt) askHealth() (Health, error) {
	codec := a.c.f.Health
	head := codec.EncodeHealth(make([]byte, 0, typicalHeadBytes), a.lease.Address, a.c.target.HealthPath, a.lease.ID)
	response, _, err := a.ask(head)
	if response == nil {
		return Health{}, err
	}
	return codec.DecodeHealth(response), err
}

// ask sends a question without a body over the attempt's connection, and reads the whole answer. With an
// error, the connection cannot be used for a request; the answer is valid unless it is nil.
func (a *attempt) ask(head []byte) (*http.Response, []byte, error) {
	until := a.c.f.Now().Add(questionTimeout)
	if a.c.deadline.Before(until) {
		until = a.c.deadline
	}
	a.conn.SetDeadline(until)
	defer a.conn.SetDeadline(a.c.deadline)
	if err := a.conn.Send(head, nil); err != nil {
		return nil, nil, err
	}
	response, err := a.conn.ReadHead(http.MethodGet)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxQuestionBytes))
	if err != nil {
		return nil, nil, &httpconn.Error{Step: "body", Peer: a.lease.Address, Err: err}
	}
	if response.Close || len(body) == maxQuestionBytes || !a.conn.FullyRead() {
		return response, body, errQuestionClose
	}
	return response, body, nil
}
