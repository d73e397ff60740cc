package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/lavenderring/lavenderring/pkg/outcome"
	"github.com/lavenderring/lavenderring/pkg/store/storefake"
)

// Clients send requests under the same keys again and again, at several instances
// at once, while writes meet conflicts, lose their answers, or meet an outage. At
// most one request of a key acquires it, and once an outcome is recorded every
// later request finds that one.
func TestAtMostOneRequestOfAKeyRuns(t *testing.T) {
	checkClaims(t, 60, false)
}

// Guards against a request that runs twice: its key was claimed, the store was rolled back to a copy
// that is older than the claim, and a retry claimed the key again. The instance that claimed the key
// must restore the claim, and a key that the store lacks must be free only once all live instances
// have restored theirs.
func TestAtMostOneRequestOfAKeyRunsWhenTheStoreGoesBack(t *testing.T) {
	checkClaims(t, 300, true)
}

func checkClaims(t *testing.T, histories int, restores bool) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = histories
	properties := gopter.NewProperties(parameters)
	properties.Property("one run for each key", prop.ForAll(func(seed uint64) string {
		failure := ""
		synctest.Test(t, func(t *testing.T) { failure = claimHistory(t, seed, restores) })
		return failure
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// fixedFleet lists the other instances of a history, which stay live throughout.
type fixedFleet []string

// Others implements Fleet.
func (f fixedFleet) Others() []string { return f }

// numRequests is the number of requests in one history.
const numRequests = 60

func claimHistory(t *testing.T, seed uint64, restores bool) string {
	rng := rand.New(rand.NewPCG(seed, 8))
	store := storefake.New(seed)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	defer time.Sleep(2 * maxReportDelay) // lets operations in progress end
	var claimers []*Claimer
	names := fixedFleet{"a", "b", "c"}
	for n, name := range names {
		c := NewClaimer(name, store, slices.Delete(slices.Clone(names), n, n+1), 2, time.Now)
		go c.Run(ctx)
		claimers = append(claimers, c)
	}
	ran := map[string]string{}
	sent := 0
	send := func() string {
		sent++
		key := Key("s/a", fmt.Sprint(rng.IntN(4)))
		request := fmt.Sprintf("request-%d", sent)
		c := claimers[rng.IntN(len(claimers))]
		sendCtx, done := context.WithTimeout(ctx, time.Second)
		defer done()
		existing, acquired, err := c.Acquire(sendCtx, key, Claim{Request: request, Holder: "i"})
		switch {
		case err != nil:
			c.Release(ctx, key, request)
		case acquired && ran[key] != "" && ran[key] != request:
			return fmt.Sprintf("both %s and %s ran under key %s", ran[key], request, key)
		case acquired:
			ran[key] = request
			if rng.IntN(2) == 0 {
				c.Finish(ctx, key, request, outcome.Ran, &Answer{Status: 200, Body: []byte(request)})
			}
		case existing.Outcome == outcome.Ran && string(existing.Answer.Body) != ran[key]:
			return fmt.Sprintf("the answer of %s is recorded, but %s ran", existing.Answer.Body, ran[key])
		}
		return ""
	}
	for sent < numRequests {
		store.SetFaults(rng.IntN(6) == 0, 0.4*rng.Float64())
		if restores && rng.IntN(8) == 0 {
			store.RollBack(1 + rng.IntN(6))
			for _, c := range claimers {
				c.NoteStoreRollback()
			}
		}
		if failure := send(); failure != "" {
			return failure
		}
	}
	return ""
}

// Guards against claims that are removed because the recorded answers are too large
// for the shard's value: removing a claim would let its request run again. The
// oldest answers must be left out instead.
func TestFullShardForgetsAnswersNotClaims(t *testing.T) {
	s, err := decodeShard(nil)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_700_000_000, 0)
	const claims = 200
	for n := range claims {
		key := fmt.Sprint(n)
		s.acquire(key, Claim{Request: key})
		s.finish(key, key, outcome.Ran, &Answer{Body: make([]byte, MaxAnswerBytes)}, now.Add(time.Duration(n)*time.Second))
	}
	value, fits, err := s.encode()
	if err != nil || !fits || len(value) > maxShardBytes {
		t.Fatalf("encode: %d bytes, fits = %v, err = %v", len(value), fits, err)
	}
	if len(s.Claims) != claims || !s.Claims["0"].Answer.Omitted || s.Claims["199"].Answer.Omitted {
		t.Error("claims were removed, or other answers than the oldest were left out")
	}
}

// Finished claims are removed after Retention, so that shards do not grow without
// bound; a claim without an outcome is kept, as its request may have run.
func TestPruneKeepsTheUnknown(t *testing.T) {
	s, err := decodeShard(nil)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_700_000_000, 0)
	s.acquire("done", Claim{Request: "1"})
	s.finish("done", "1", outcome.Ran, nil, now)
	s.acquire("open", Claim{Request: "2", AtMillis: now.UnixMilli()})
	s.prune(now.Add(Retention + time.Second))
	if s.Claims["done"] != nil || s.Claims["open"] == nil {
		t.Errorf("claims after prune: %v", s.Claims)
	}
}
