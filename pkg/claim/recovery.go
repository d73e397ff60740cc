package claim

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// The store may come back from a copy of itself that is some seconds old. Claims of these seconds
// are missing in the copy, and a retry would claim its key anew and run a second time. Each instance
// brings back the claims that it has seen lately; until all living ones have done so the shard is
// *unsettled*, and a key that it lacks is neither free nor claimed.

// ErrUnsettled means that it is not known whether a key was claimed before the store went back.
var ErrUnsettled = errors.New("claim: not all instances have told what they claimed before the store went back")

// How claims are brought back.
const (
	// rememberedFor is how long ago a claim was written that is remembered: a copy is some
	// seconds old.
	recentClaimLifetime = time.Minute
	// tellSpread is the time over which an instance writes to its shards.
	maxReportDelay = 300 * time.Millisecond
	// unsettledPoll is the pause before a key is looked up again in an unsettled shard.
	unsettledPollInterval = 100 * time.Millisecond
)

// Fleet tells of the other instances.
type Fleet interface {
	// Others returns the incarnations of the others that live.
	Others() []string
}

// enterEra makes a shard, which was copied from an older era's object, the one of an era.
func (s *Shard) beginEra(era store.Era) {
	if era > store.FirstEra && s.Era != uint64(era) {
		s.Era, s.Unsettled, s.ReportedBy = uint64(era), true, nil
	}
}

// bringBack adds claims that the shard lacks, and the outcomes of those that it has without.
func (s *Shard) restore(recent map[string]*Claim) {
	for key, claim := range recent {
		present := s.Claims[key]
		if present == nil || (present.Request == claim.Request && present.Outcome == "") {
			s.Claims[key] = claim
		}
	}
}

// settle notes that an instance has told and, once all others have, lets keys be claimed again.
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

// recent returns the claims that were written lately.
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

// NoteEra says that the store came back from a copy: every shard is told what this instance has seen.
func (c *Claimer) NoteEra() {
	for _, queue := range c.queues {
		go func() {
			time.Sleep(rand.N(maxReportDelay))
			queue.TryPut(operation{apply: func(*Shard) {}, done: make(chan error, 1)}) // a full queue tells with what it holds
		}()
	}
}
