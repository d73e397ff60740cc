// Package placement chooses the upstream of a request. It chooses a model engine
// by the part of the prompt that its cache holds and the expected time to the first
// event, and an upstream of a plain service by the expected wait. It does no I/O.
package placement

import (
	"math"
	"time"

	"github.com/lavenderring/lavenderring/pkg/registry"
)

// Parameters of the load and failure estimates.
const (
	// loadHalfLife is the age at which a reported load has half its weight. Services
	// answer within tens of milliseconds, so older reports say little.
	loadHalfLife = 300 * time.Millisecond
	// smoothingFactor is the weight of the newest sample in exponential averages.
	smoothingFactor = 0.1
	// failureRateHalfLife is the time in which a failure rate decays by half. Rates
	// below minFailureRate count as 0.
	failureRateHalfLife = 2 * time.Second
	minFailureRate      = 0.02
	// avoidAfterFailures is the number of consecutive failures after which an upstream
	// is avoided; a single failure can be the fault of the request.
	avoidAfterFailures = 2
	// minAvoidInterval is how long an avoided upstream gets no requests before one is
	// sent to it again.
	minAvoidInterval = time.Second
	// maxAvoidInterval bounds the interval, which doubles with each further failure.
	maxAvoidInterval = 4 * time.Second
)

// upstreamState is this instance's state for one upstream.
type upstreamState struct {
	registry.Upstream
	// inFlight is the number of this instance's requests at the upstream.
	inFlight int
	// pendingTokens is the estimated number of prompt tokens that the engine still has to prefill
	// for those of this instance's requests that have had no event yet.
	pendingTokens int64

	// coldUntil is when the cold period ends that the registry entry declares.
	coldUntil time.Time
	// assumedColdUntil is when the cold period ends that this instance assumes because the
	// upstream may have restarted without declaring it.
	assumedColdUntil time.Time
	// suspectedColdUntil is the same for an upstream to which a connection failed. numSuspicions counts the
	// failures; lastAsked is its value when the upstream was last asked whether it is cold.
	suspectedColdUntil       time.Time
	numSuspicions, lastAsked int

	// running and waiting are the requests at the upstream that it reported at reportedAt.
	running, waiting int
	reportedAt       time.Time
	// sentSinceReport is the number of this instance's requests sent since the report.
	sentSinceReport int

	consecutiveFailures int
	avoidUntil          time.Time
	// failureRate is the smoothed share of requests that failed, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// hash is the hash of the incarnation's id.
	hash uint64
	// dedicationRank is the position in the order in which engines are dedicated to long
	// prompts.
	dedicationRank int
	// partSentAt holds, by the id of a prompt part, when this instance last sent that part to
	// the upstream.
	partSentAt map[uint64]time.Time
}

// load estimates the number of requests at the upstream: the reported number, decayed by the
// age of the report, plus the requests that this instance has sent since the report. The
// estimate is at least the number of requests that this instance has in flight there.
func (s *upstreamState) load(now time.Time) float64 {
	inFlight := float64(s.inFlight)
	if s.reportedAt.IsZero() {
		return inFlight
	}
	weight := float64(loadHalfLife) / float64(loadHalfLife+now.Sub(s.reportedAt))
	reported := float64(s.running+s.waiting) * weight
	return max(inFlight, reported+float64(s.sentSinceReport))
}

func (s *upstreamState) avoided(now time.Time) bool {
	return s.consecutiveFailures >= avoidAfterFailures && now.Before(s.avoidUntil)
}

// currentFailureRate returns the failure rate decayed by its age. Without the decay, an
// upstream that gets no requests because of its failures could never show that it recovered.
func (s *upstreamState) currentFailureRate(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	halvings := float64(now.Sub(s.failureRateAt)) / float64(failureRateHalfLife)
	if rate := s.failureRate * math.Exp2(-halvings); rate >= minFailureRate {
		return rate
	}
	return 0
}

func (s *upstreamState) recordFailure(now time.Time) {
	s.failureRate = s.currentFailureRate(now)
	s.failureRate += smoothingFactor * (1 - s.failureRate)
	s.failureRateAt = now
	s.consecutiveFailures++
	interval := minAvoidInterval
	for n := avoidAfterFailures; n < s.consecutiveFailures && interval < maxAvoidInterval; n++ {
		interval *= 2
	}
	s.avoidUntil = now.Add(min(interval, maxAvoidInterval))
}

func (s *upstreamState) recordSuccess(now time.Time) {
	s.failureRate = s.currentFailureRate(now) * (1 - smoothingFactor)
	s.failureRateAt = now
	s.consecutiveFailures = 0
}
