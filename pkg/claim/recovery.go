package claim

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// The store may be rolled back to a copy of itself that is some seconds old. The claims of these
// seconds are missing in the copy, and a retry would claim its key again and run a second time. Each
// instance therefore restores its recent claims. Until all live instances have done so the shard is
// *unsettled*: a key that it lacks is neither free nor claimed.

// ErrUnsettled means that it is not known whether a key was claimed before the store was rolled back.
var ErrUnsettled = errors.New("claim: not all instances have reported their claims since the store was rolled back")

// Timing of the restoring of claims.
const (
	// recentClaimLifetime is how long after its last write a claim can be restored. A copy to which
	// the store is rolled back is only some seconds old, so it has the older claims.
	recentClaimLifetime = time.Minute
	// maxReportDelay bounds the random delay before an instance writes its claims to a shard, so
	// that the writes do not all start at once.
	maxReportDelay = 300 * time.Millisecond
	// unsettledPollInterval is the interval at which Acquire looks up a key again that an unsettled
	// shard lacks.
	unsettledPollInterval = 100 * time.Millisecond
)

// Fleet lists the other instances.
type Fleet interface {
	// Others returns the incarnations of the other live instances.
	Others() []string
}

// beginEra marks the shard as unsettled, with no instance having reported its claims, if era is a later
// one than the first and the shard has not been marked in it yet.
func (s *Shard) beginEra(era store.Era) {
	if era > store.FirstEra && s.Era != uint64(era) {
		s.Era, s.Unsettled, s.ReportedBy = uint64(era), true, nil
	}
}

// restore adds the recent claims that the shard lacks, and the outcomes of claims that it has without
// an outcome.
func (s *Shard) restore(recent map[string]*Claim) {
	for key, claim := range recent {
		present := s.Claims[key]
		if present == nil || (present.Request == claim.Request && present.Outcome == "") {
			s.Claims[key] = claim
		}
	}
}

// markReported records that the instance self has restored its claims. Once all other instances have
// done so as well, the shard is settled and keys that it lacks can be claimed.
func (s *Shard) markReported(self string, others []string) {
	if s.ReportedBy == nil {
		s.ReportedBy = map[string]bool{}
	}
	s.ReportedBy[self] = true
	for _, other := range others {
		if !s.ReportedBy[other] {
			return
		}
	}
	s.Unsettled, s.ReportedBy = false, nil
}

// recentClaims returns the claims that were written within recentClaimLifetime.
func (s *Shard) recentClaims(now time.Time) map[string]*Claim {
	since := now.Add(-recentClaimLifetime).UnixMilli()
	claims := map[string]*Claim{}
	for key, claim := range s.Claims {
		if claim.AtMillis >= since {
			claims[key] = claim
		}
	}
	return claims
}

// NoteStoreRollback makes this instance write its recent claims to every shard. It is called after the
// store was rolled back to an older copy.
func (c *Claimer) NoteStoreRollback() {
	for _, queue := range c.queues {
		go func() {
			time.Sleep(rand.N(maxReportDelay))
			queue.TryPut(operation{apply: func(*Shard) {}, done: make(chan error, 1)}) // if the queue is full, an operation in it writes the claims
		}()
	}
}
