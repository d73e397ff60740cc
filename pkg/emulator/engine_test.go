package emulator

import (
	"testing"
	"time"
)

var testConfig = EngineConfig{
	MaxRunning: 64, MinStepTime: 4230 * time.Microsecond, StepTimePerKToken: 9 * time.Microsecond,
	PrefillTokensPerMs: 64.2, TimePerMPairs: 647 * time.Microsecond, MaxChunkTokens: 2048,
	TokensPerEvent: 5, CacheTokens: 490_000,
}

// The stream of a short question runs when a prompt of 50,000 tokens arrives at its engine.
// The five steps of one of its events take as long as the chunks prefilled in them, so the
// pause between two events exceeds 300 ms. With a prompt of 10,000 tokens it does not.
func TestLongPromptHoldsUpStreams(t *testing.T) {
	for _, c := range []struct {
		prompt int64
		late   bool
	}{{10_000, false}, {50_000, true}} {
		s, e := &Simulator{}, &Engine{EngineConfig: testConfig}
		short := &Request{PromptTokens: 800, NumEvents: 60}
		s.Schedule(0, func() { s.Send(e, short) })
		s.Schedule(100*time.Millisecond, func() { s.Send(e, &Request{PromptTokens: c.prompt, NumEvents: 10}) })
		s.Run()
		if late := short.LongestPause > 300*time.Millisecond; late != c.late {
			t.Errorf("with a prompt of %d tokens, the longest pause of the other stream is %s", c.prompt, short.LongestPause)
		}
	}
}

// Two requests of one conversation follow each other. The engine must prefill only the second
// request's own part.
func TestSharedPartsAreReadOnce(t *testing.T) {
	s, e := &Simulator{}, &Engine{EngineConfig: testConfig}
	shared := []Part{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 4000}}
	for n := range 2 {
		s.Schedule(time.Duration(n)*time.Second, func() { s.Send(e, &Request{SharedParts: shared, PromptTokens: 6000, NumEvents: 2}) })
	}
	s.Run()
	if e.PrefilledTokens != 6000+1500 {
		t.Errorf("the engine prefilled %d tokens, want 7500", e.PrefilledTokens)
	}
}
