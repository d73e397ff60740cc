// Package claim makes a request that may not be repeated run at most once: its
// caller's idempotency key is claimed in the platform's store before dispatch,
// and the outcome is recorded under the claim. A claim is never taken over, so
// it does not matter how long its holder sleeps.
package claim

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderring/lavenderring/pkg/outcome"
)

// Prefix is above all claim shards.
const Prefix = "claims/"

// Bounds of a shard.
const (
	// Retention is how long a finished claim answers retries.
	Retention = 24 * time.Hour
	// MaxAnswerBytes bounds a recorded answer; of a larger one only the fact
	// that the request ran is kept.
	MaxAnswerBytes = 8 << 10
	// maxShardBytes keeps a shard below the platform's largest value.
	maxShardBytes = 900 << 10
)

// Claim is one key's claim.
type Claim struct {
	// Request is the id of the one request that may run.
	Request string `json:"request"`
	// Holder is the incarnation that runs it.
	Holder string `json:"holder"`
	// Fingerprint tells the request's content from another under the same key.
	Fingerprint string `json:"fingerprint"`
	// Outcome is empty while the request runs.
	Outcome outcome.Outcome `json:"outcome,omitempty"`
	// Answer is what the request got, for retries.
	Answer *Answer `json:"answer,omitempty"`
	// AtMillis is when the claim was last written, since 1970.
	AtMillis int64 `json:"at_millis"`
}

// Answer is a recorded answer.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body,omitempty"`
	// Omitted says that the body was too large to keep.
	Omitted bool `json:"omitted,omitempty"`
}

// Shard is one claim object.
type Shard struct {
	Claims map[string]*Claim `json:"claims"`
	// Era is the store's era that the object was made in, Unsettled says that claims of the
	// seconds before may be missing still, Told which incarnations have told theirs.
	Era        uint64          `json:"era,omitempty"`
	Unsettled  bool            `json:"unsettled,omitempty"`
	ReportedBy map[string]bool `json:"told,omitempty"`
}

// FullError refuses a claim: the shard has no room for another.
type FullError struct {
	// Step is "claim"; Peer is the shard's key.
	Step, Key string
}

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("%s: %s is full", e.Step, e.Key) }

func decodeShard(value []byte) (*Shard, error) {
	shard := &Shard{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, shard); err != nil {
			return nil, fmt.Errorf("decode claim shard: %w", err)
		}
	}
	if shard.Claims == nil {
		shard.Claims = map[string]*Claim{}
	}
	return shard, nil
}

func shardKey(shard int) string { return fmt.Sprintf("%s%04d", Prefix, shard) }

func shardOf(key string, shards int) int { return int(xxhash.Sum64String(key) % uint64(shards)) }

// take claims a key for a request, or returns the claim that stands. Finding
// its own request there, the taker knows that an earlier write of its own took
// effect although the answer was lost.
func (s *Shard) acquire(key string, claim Claim) (existing *Claim, acquired bool) {
	if present := s.Claims[key]; present != nil {
		return present, present.Request == claim.Request
	}
	s.Claims[key] = &claim
	return &claim, true
}

// finish records an outcome, if the claim is the request's own.
func (s *Shard) finish(key, request string, result outcome.Outcome, answer *Answer, at time.Time) {
	c := s.Claims[key]
	if c == nil || c.Request != request {
		return
	}
	c.Outcome = result
	c.Answer = answer
	c.AtMillis = at.UnixMilli()
}

// release gives a key back whose request did not run.
func (s *Shard) release(key, request string) {
	if c := s.Claims[key]; c != nil && c.Request == request && c.Outcome == "" {
		delete(s.Claims, key)
	}
}

// prune drops finished claims past their retention. Claims without an outcome
// are kept: forgetting one would let its request run again.
func (s *Shard) prune(now time.Time) {
	for key, c := range s.Claims {
		if c.Outcome != "" && now.Sub(time.UnixMilli(c.AtMillis)) > Retention {
			delete(s.Claims, key)
		}
	}
}

// encode writes the shard, leaving out the oldest recorded answers, though not
// the fact that their requests ran, if it would grow too large.
func (s *Shard) encode() ([]byte, bool, error) {
	value, err := json.Marshal(s)
	if err != nil || len(value) <= maxShardBytes {
		return value, true, err
	}
	s.omitOldestAnswers(len(value) - maxShardBytes)
	value, err = json.Marshal(s)
	return value, len(value) <= maxShardBytes, err
}

func (s *Shard) omitOldestAnswers(bytes int) {
	var answered []*Claim
	for _, c := range s.Claims {
		if c.Answer != nil && len(c.Answer.Body) > 0 {
			answered = append(answered, c)
		}
	}
	sort.Slice(answered, func(i, j int) bool { return answered[i].AtMillis < answered[j].AtMillis })
	for _, c := range answered {
		if bytes <= 0 {
			return
		}
		bytes -= len(c.Answer.Body)
		c.Answer.Body = nil
		c.Answer.Omitted = true
	}
}
