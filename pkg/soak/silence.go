package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lavenderring/lavenderring/platform/standin"
)

// Parameters of the upstreams that are silent for a moment, of those that send bytes without end, and of
// the runs in which few retries are allowed. All are drawn from random sequences of their own, so that the
// other faults of a seed stay the same.
const (
	// In one of silentDivisor runs, at most maxSilentAtOnce upstreams at once are silent every
	// maxSilenceInterval or earlier, for minSilence to maxSilence.
	silentDivisor, maxSilentAtOnce = 2, 3
	maxSilenceInterval             = 2500 * time.Millisecond
	minSilence, maxSilence         = 500 * time.Millisecond, 2 * time.Second
	// One of endlessDivisor runs with failures has upstreams that send without end, at most maxEndless.
	endlessDivisor, maxEndless = 3, 3
	// numEndlessAnswers is how many of an upstream's next answers have no end. It is small because each
	// takes up to endlessChunkBytes each millisecond until its caller closes the connection.
	numEndlessAnswers = 4
	// In one of fewRetriesDivisor runs, all instances together may make fewRetries retries in a window.
	fewRetriesDivisor, fewRetries = 2, 3
	// earlyMargin is how much sooner than its client's deadline a request must have ended to count as
	// ended by an instance.
	earlyMargin = 200 * time.Millisecond
)

// newSilences draws the silent upstreams of a run.
func newSilences(seed uint64, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 4))
	if rng.IntN(silentDivisor) != 0 {
		return nil
	}
	var plan []Fault
	for at := warmUpDuration; at < length; at += randDuration(rng, maxSilenceInterval) {
		duration := minSilence + randDuration(rng, maxSilence-minSilence)
		for range 1 + rng.IntN(maxSilentAtOnce) {
			plan = append(plan, Fault{Start: at, Duration: duration, Kind: UpstreamPause, Target: rng.IntN(1 << 16)})
		}
	}
	return plan
}

// newEndlessAnswers draws the upstreams of a run that send without end.
func newEndlessAnswers(seed uint64, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 5))
	if rng.IntN(endlessDivisor) != 0 {
		return nil
	}
	var plan []Fault
	for range 1 + rng.IntN(maxEndless) {
		at := warmUpDuration + randDuration(rng, max(length-warmUpDuration, time.Second))
		duration := minFaultDuration + randDuration(rng, maxFaultDuration-minFaultDuration)
		plan = append(plan, Fault{Start: at, Duration: duration, Kind: AnswersEndless, Target: rng.IntN(1 << 16)})
	}
	return plan
}

// endlessAnswers returns the faults of an upstream whose answers have no end, in the head or in the body.
func endlessAnswers(target int) standin.UpstreamFaults {
	if target%2 == 0 {
		return standin.UpstreamFaults{EndlessHead: numEndlessAnswers}
	}
	return standin.UpstreamFaults{EndlessBody: numEndlessAnswers}
}

// hasFewRetries reports whether few retries are allowed in a run.
func hasFewRetries(seed uint64) bool {
	return rand.New(rand.NewPCG(seed, 6)).IntN(fewRetriesDivisor) == 0
}

// checkEnded checks that a request was not ended before its time while there was no failure: beside planned
// work and upstreams that are silent for a moment, each answer in progress can be kept. It counts the requests
// without any answer that did not run and whose connections had been accepted: these may cross the end of the
// connection.
func (r *runner) checkEnded(s *request, ran []standin.Run) {
	if s.leavesEarly || r.excusesEnd(s) {
		return
	}
	ended := s.err != nil || s.status == http.StatusBadGateway || s.status == http.StatusGatewayTimeout
	early := s.end.Sub(s.start) < clientTimeout-earlyMargin
	switch {
	case ended && early && len(ran) > 0:
		r.reportViolation("%s: ran and was ended after %v without a failure: status %d, %v, upstreams silent: %t", s, s.end.Sub(s.start), s.status, s.err, r.silenceBetween(s.start, s.end))
	case errors.Is(s.err, io.ErrUnexpectedEOF):
		r.reportViolation("%s: did not run, and its answer was cut off without a failure: status %d, %s, %v", s, s.status, s.excerpt(), s.err)
	case s.err != nil && len(ran) == 0 && !s.notAccepted:
		r.unanswered++
	}
}

// excusesEnd reports whether a failure may have ended a request.
func (r *runner) excusesEnd(s *request) bool {
	return r.failureBetween(s.start.Add(-faultEffectDuration), s.end) || r.crashBetween(s.start, s.end)
}

// silenceBetween reports whether an upstream was silent in a period.
func (r *runner) silenceBetween(from, to time.Time) bool {
	return r.faultBetween(from, to, func(s *injectedFault) bool { return s.kind == UpstreamPause })
}
