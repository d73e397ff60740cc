package httpconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// errGivenUp ends a read in the tests.
var errGivenUp = errors.New("given up")

// lateConn is a connection whose first read times out although data has arrived, as that of a process that
// did not run for a while.
type lateConn struct {
	net.Conn
	numReads int
}

// Read implements net.Conn.
func (c *lateConn) Read(p []byte) (int, error) {
	if c.numReads++; c.numReads == 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(p, "x"), nil
}

// SetReadDeadline implements net.Conn.
func (c *lateConn) SetReadDeadline(time.Time) error { return nil }

// Guards against an instance that takes its own delay for the silence of an upstream whose data has arrived.
func TestArrivedDataIsNoSilence(t *testing.T) {
	conn := NewConn(&lateConn{}, "peer")
	conn.WatchSilence(&SilenceWatch{
		After: time.Minute, Deadline: time.Now().Add(time.Hour),
		OnSilence: func() (time.Duration, error) { return 0, errGivenUp },
	})
	if n, err := conn.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// watchedPipe returns a watched connection and its other end.
func watchedPipe(t *testing.T, watch *SilenceWatch) (*Conn, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	conn := NewConn(near, "peer")
	conn.WatchSilence(watch)
	return conn, far
}

// Guards against a silence that spoils the answer being read: reading goes on where it was.
func TestReadGoesOnAfterSilence(t *testing.T) {
	silences := 0
	var far net.Conn
	watch := &SilenceWatch{After: time.Millisecond, Deadline: time.Now().Add(time.Hour)}
	watch.OnSilence = func() (time.Duration, error) {
		if silences++; silences == 3 {
			go func() { _, _ = far.Write([]byte("x")) }()
			return time.Hour, nil
		}
		return time.Millisecond, nil
	}
	conn, other := watchedPipe(t, watch)
	far = other
	if n, err := conn.Read(make([]byte, 1)); n != 1 || err != nil || silences != 3 {
		t.Errorf("read %d bytes, %v, after %d silences", n, err, silences)
	}
}

// Guards against an answer of another upstream that is not noticed: a wake-up ends the wait at any moment,
// also just before a read begins.
func TestWakeEndsTheWait(t *testing.T) {
	const rounds = 200
	for range rounds {
		conn, _ := watchedPipe(t, &SilenceWatch{
			After: time.Hour, Deadline: time.Now().Add(time.Hour),
			OnSilence: func() (time.Duration, error) { return 0, errGivenUp },
		})
		var waking sync.WaitGroup
		waking.Go(conn.Wake)
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, errGivenUp) {
			t.Fatalf("read returned %v", err)
		}
		waking.Wait()
	}
}

// endlessConn always has data, and honours its read deadline.
type endlessConn struct {
	net.Conn
	deadline time.Time
}

// Read implements net.Conn.
func (c *endlessConn) Read(p []byte) (int, error) {
	if !time.Now().Before(c.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(p, "x"), nil
}

// SetReadDeadline implements net.Conn.
func (c *endlessConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Guards against a peer that sends without end: nothing is read after the deadline.
func TestReadsEndAtTheDeadline(t *testing.T) {
	conn := NewConn(&endlessConn{}, "peer")
	deadline := time.Now().Add(20 * time.Millisecond)
	conn.WatchSilence(&SilenceWatch{
		After: time.Hour, Deadline: deadline,
		OnSilence: func() (time.Duration, error) { return time.Hour, nil },
	})
	time.Sleep(time.Until(deadline))
	if n, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, %v", n, err)
	}
}
