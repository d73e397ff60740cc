package buffermem

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against answers without end that take the memory of sound ones: however many grow at once, a
// small answer must find room, and the memory in use must stay within the pool.
func TestEndlessAnswersLeaveRoomForSmallOnes(t *testing.T) {
	const capacity, endless, step, small = 32 << 20, 200, 16 << 10, 64 << 10
	p := NewPool(capacity)
	newEndless := func() *Hold { return p.NewHold(t.Context(), func() {}) }
	growing, sizes, givenUp := make([]*Hold, endless), make([]int, endless), 0
	for range 1000 {
		for i := range growing {
			if growing[i] == nil {
				growing[i], sizes[i] = newEndless(), 0
			}
			sizes[i] += step
			if err := growing[i].Resize(sizes[i]); errors.Is(err, ErrShort) {
				growing[i].Release()
				growing[i] = nil // the request goes elsewhere, and another endless answer begins
				givenUp++
			}
			sound := p.NewHold(t.Context(), func() { t.Error("a small answer was given up") })
			if err := sound.Resize(small); err != nil {
				t.Fatalf("a small answer found no room beside %d bytes: %v", p.Used(), err)
			}
			if p.Used() > capacity {
				t.Fatalf("%d bytes are in use", p.Used())
			}
			if err := sound.MarkWhole(); err != nil {
				t.Fatal(err)
			}
			sound.Release()
		}
	}
	if givenUp == 0 {
		t.Error("no endless answer was given up")
	}
}

// Guards against giving up an answer that has been read completely: it only waits for its client.
func TestWholeAnswersAreNotGivenUp(t *testing.T) {
	p := NewPool(100)
	p.spared = 0
	whole, growing, next := p.NewHold(t.Context(), func() { t.Error("the whole answer was given up") }), p.NewHold(t.Context(), func() {}), p.NewHold(t.Context(), nil)
	if err := errors.Join(whole.Resize(60), whole.MarkWhole(), growing.Resize(30), next.Resize(20)); err != nil {
		t.Fatal(err)
	}
	if err := growing.MarkWhole(); !errors.Is(err, ErrShort) || !growing.IsGivenUp() {
		t.Errorf("the answer in progress was not given up, error %v", err)
	}
}

// Guards against giving up an answer in progress while others only wait for their clients: it finds room when they
// have been delivered.
func TestLargestAnswerWaitsForWholeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(100)
		p.spared = 0
		whole, next := p.NewHold(t.Context(), nil), p.NewHold(t.Context(), nil)
		if err := errors.Join(whole.Resize(60), whole.MarkWhole(), next.Resize(20)); err != nil {
			t.Fatal(err)
		}
		if err := next.Resize(101); !errors.Is(err, ErrShort) {
			t.Errorf("more than there is: the error is %v, want %v", err, ErrShort)
		}
		time.AfterFunc(time.Second, whole.Release)
		began := time.Now()
		if err := next.Resize(50); err != nil || time.Since(began) != time.Second {
			t.Errorf("after %s: error %v", time.Since(began), err)
		}
	})
}

// Guards against an answer that waits for room after its request has ended, or after it was given up.
func TestWaitForRoomEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(100)
		p.spared = 0
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		whole, next := p.NewHold(t.Context(), nil), p.NewHold(ctx, nil)
		if err := errors.Join(whole.Resize(60), whole.MarkWhole(), next.Resize(20)); err != nil {
			t.Fatal(err)
		}
		if err := next.Resize(50); !errors.Is(err, ErrFull) {
			t.Errorf("the request ended: the error is %v, want %v", err, ErrFull)
		}
		next.Release()
		givenUp := p.NewHold(t.Context(), func() {})
		if err := givenUp.Resize(30); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Second, func() {
			if err := p.NewHold(t.Context(), nil).Resize(20); err != nil {
				t.Error(err)
			}
		})
		if err := givenUp.Resize(50); !errors.Is(err, ErrShort) {
			t.Errorf("given up: the error is %v, want %v", err, ErrShort)
		}
	})
}

// Guards against memory that is not returned, and against a repeated release or one of an answer that was given
// up, which would count twice.
func TestPoolIsEmptyAfterAllReleases(t *testing.T) {
	p := NewPool(100)
	p.spared = 0
	a, b, c := p.NewHold(t.Context(), func() {}), p.NewHold(t.Context(), nil), p.NewHold(t.Context(), nil)
	if err := errors.Join(a.Resize(70), b.Resize(30), c.Resize(20)); err != nil || p.Used() != 50 {
		t.Errorf("%d bytes are in use, error %v", p.Used(), err)
	}
	if err := b.Resize(10); err != nil || p.Used() != 30 {
		t.Errorf("%d bytes are in use after a decrease, error %v", p.Used(), err)
	}
	for range 2 {
		a.Release()
		b.Release()
		c.Release()
	}
	(*Hold)(nil).Release()
	if p.Used() != 0 || len(p.growing) != 0 {
		t.Errorf("%d bytes are in use after all releases, %d answers are known", p.Used(), len(p.growing))
	}
}

// Guards against a stream that is given up, because of the small buffer between its events, for another answer.
func TestSmallBuffersAreSpared(t *testing.T) {
	p := NewPool(2 * sparedBytes)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	stream, whole, next := p.NewHold(t.Context(), func() { t.Error("the stream was given up") }), p.NewHold(t.Context(), nil), p.NewHold(ended, nil)
	if err := errors.Join(whole.Resize(sparedBytes), whole.MarkWhole(), stream.Resize(sparedBytes)); err != nil {
		t.Fatal(err)
	}
	if err := next.Resize(1); !errors.Is(err, ErrFull) {
		t.Errorf("the error is %v, want %v", err, ErrFull)
	}
}

// Guards against senders that stop just short and keep out others: a message that has stalled makes room for any other.
func TestStalledRequestsAreGivenUpFirst(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewRequestPool(100, func() time.Time { return now })
	givenUp := 0
	stalled, moving, next := p.NewHold(t.Context(), func() { givenUp++ }), p.NewHold(t.Context(), func() { t.Error("a message that progresses was given up") }), p.NewHold(t.Context(), nil)
	for _, h := range []*Hold{stalled, moving, next} {
		h.NoteProgress()
	}
	if err := errors.Join(stalled.TryResize(10), moving.TryResize(80)); err != nil {
		t.Fatal(err)
	}
	now = now.Add(2 * stallTime)
	moving.NoteProgress()
	next.NoteProgress()
	if err := next.TryResize(20); err != nil || givenUp != 1 || !stalled.IsGivenUp() {
		t.Errorf("got %v, %d messages were given up", err, givenUp)
	}
}

// Guards against requests that wait for memory instead of being refused at once.
func TestTryResizeDoesNotWait(t *testing.T) {
	p := NewRequestPool(100, time.Now)
	whole, next := p.NewHold(t.Context(), nil), p.NewHold(t.Context(), nil)
	if err := errors.Join(whole.TryResize(90), whole.MarkWhole()); err != nil {
		t.Fatal(err)
	}
	if err := next.TryResize(20); !errors.Is(err, ErrFull) {
		t.Errorf("got %v, want ErrFull", err)
	}
	whole.Reset()
	if err := next.TryResize(20); err != nil || p.Used() != 20 {
		t.Errorf("got %v, %d bytes are in use", err, p.Used())
	}
}

// Guards against a hold that is used for a next message and keeps the state of the one before.
func TestResetHoldIsThatOfANextMessage(t *testing.T) {
	p := NewRequestPool(100, time.Now)
	h, larger := p.NewHold(t.Context(), func() {}), p.NewHold(t.Context(), func() {})
	if err := errors.Join(h.TryResize(60), h.MarkWhole()); err != nil {
		t.Fatal(err)
	}
	h.Reset()
	if err := errors.Join(h.TryResize(70), larger.TryResize(20)); err != nil {
		t.Fatal(err)
	}
	if err := larger.TryResize(40); err != nil || !h.IsGivenUp() {
		t.Errorf("got %v, the message was not given up as one that is being read", err)
	}
	h.Reset()
	if err := h.TryResize(60); err != nil || p.Used() != 100 {
		t.Errorf("got %v, %d bytes are in use", err, p.Used())
	}
}
