package emulator

import (
	"testing"
	"time"
)

var testEngine = EngineConfig{
	Slots: 64, Step: 4230 * time.Microsecond, PerContext: 9 * time.Microsecond,
	ReadPerMs: 64.2, PairsPerM: 647 * time.Microsecond, Chunk: 2048, Stride: 5, CacheTokens: 490_000,
}

// A short question's stream runs when a prompt of 50,000 tokens comes to its engine. Five of
// its steps are as long as the chunks that are read in them, so that the pause between two
// events grows beyond 300 ms; beside a prompt of 10,000 tokens it does not.
func TestLongPromptHoldsUpStreams(t *testing.T) {
	for _, c := range []struct {
		prompt int64
		late   bool
	}{{10_000, false}, {50_000, true}} {
		w, e := &World{}, &Engine{EngineConfig: testEngine}
		short := &Request{Prompt: 800, Events: 60}
		w.At(0, func() { w.Send(e, short) })
		w.At(100*time.Millisecond, func() { w.Send(e, &Request{Prompt: c.prompt, Events: 10}) })
		w.Run()
		if late := short.LongestPause > 300*time.Millisecond; late != c.late {
			t.Errorf("beside %d tokens the longest pause is %s", c.prompt, short.LongestPause)
		}
	}
}

// Two requests of one conversation follow each other: the second reads only what is its own.
func TestSharedPartsAreReadOnce(t *testing.T) {
	w, e := &World{}, &Engine{EngineConfig: testEngine}
	shared := []Part{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 4000}}
	for n := range 2 {
		w.At(time.Duration(n)*time.Second, func() { w.Send(e, &Request{Shared: shared, Prompt: 6000, Events: 2}) })
	}
	w.Run()
	if e.Read != 6000+1500 {
		t.Errorf("%d tokens were read", e.Read)
	}
}
