// Package claim makes a non-idempotent request run at most once: its idempotency
// key is claimed in the platform's store before the request is dispatched, and
// the outcome is recorded in the claim. No instance takes over another's claim, so
// the holder stays the only instance that may run the request, however long the
// holder is paused.
package claim

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderring/lavenderring/pkg/outcome"
)

// Prefix is the prefix of the keys of all claim shards in the store.
const Prefix = "claims/"

// Bounds of a shard.
const (
	// Retention is how long a finished claim answers retries.
	Retention = 24 * time.Hour
	// MaxAnswerBytes bounds the body of a recorded answer; of a larger one only
	// the fact that the request ran is kept.
	MaxAnswerBytes = 8 << 10
	// maxShardBytes keeps a shard below the size limit of the platform's values.
	maxShardBytes = 900 << 10
)

// Claim is the claim of one idempotency key.
type Claim struct {
	// Request is the id of the one request that may run.
	Request string `json:"request"`
	// Holder is the incarnation of the instance that runs it.
	Holder string `json:"holder"`
	// Fingerprint identifies the request's content, so that reuse of the key for
	// another request is detected.
	Fingerprint string `json:"fingerprint"`
	// Outcome is empty while the request runs.
	Outcome outcome.Outcome `json:"outcome,omitempty"`
	// Answer is the request's answer, returned to retries.
	Answer *Answer `json:"answer,omitempty"`
	// AtMillis is when the claim was last written, as Unix time in milliseconds.
	AtMillis int64 `json:"at_millis"`
}

// Answer is a recorded answer.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body,omitempty"`
	// Omitted is set if the body was left out because it or the shard was too
	// large.
	Omitted bool `json:"omitted,omitempty"`
}

// Shard is the content of one claim object in the store, encoded as JSON.
type Shard struct {
	Claims map[string]*Claim `json:"claims"`
	// Era is the era of the store in which the shard was last marked unsettled.
	// Unsettled is set while claims that were written in the seconds before that
	// era may be missing; ReportedBy then holds the incarnations that have
	// restored their claims.
	Era        uint64          `json:"era,omitempty"`
	Unsettled  bool            `json:"unsettled,omitempty"`
	ReportedBy map[string]bool `json:"told,omitempty"`
}

// FullError means that a claim was refused because its shard has no room for it.
type FullError struct {
	// Step is "claim"; Key is the shard's key in the store.
	Step, Key string
}

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("%s: shard %s is full", e.Step, e.Key) }

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

// acquire claims a key for a request, or returns the existing claim. An existing
// claim of the same request counts as acquired: an earlier write of that claim took
// effect although its answer was lost.
func (s *Shard) acquire(key string, claim Claim) (existing *Claim, acquired bool) {
	if present := s.Claims[key]; present != nil {
		return present, present.Request == claim.Request
	}
	s.Claims[key] = &claim
	return &claim, true
}

// finish records a request's outcome if the claim is the request's own.
func (s *Shard) finish(key, request string, result outcome.Outcome, answer *Answer, at time.Time) {
	c := s.Claims[key]
	if c == nil || c.Request != request {
		return
	}
	c.Outcome = result
	c.Answer = answer
	c.AtMillis = at.UnixMilli()
}

// release frees a key whose request did not run.
func (s *Shard) release(key, request string) {
	if c := s.Claims[key]; c != nil && c.Request == request && c.Outcome == "" {
		delete(s.Claims, key)
	}
}

// prune removes finished claims that are older than Retention. Claims without an
// outcome are kept: removing one would let its request run again.
func (s *Shard) prune(now time.Time) {
	for key, c := range s.Claims {
		if c.Outcome != "" && now.Sub(time.UnixMilli(c.AtMillis)) > Retention {
			delete(s.Claims, key)
		}
	}
}

// encode encodes the shard and reports whether it fits into maxShardBytes. To make
// it fit, encode removes the bodies of the oldest recorded answers, but not the
// claims, which record that the requests ran.
func (s *Shard) encode() ([]byte, bool, error) {
	value, err := json.Marshal(s)
	if err != nil || len(value) <= maxShardBytes {
		return value, true, err
	}
	s.omitOldestAnswers(len(value) - maxShardBytes)
	value, err = json.Marshal(s)
	return value, len(value) <= maxShardBytes, err
}

// omitOldestAnswers leaves out the oldest answers whose bodies sum up to at least
// the given number of bytes.
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
