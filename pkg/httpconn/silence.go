package httpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// lateReadTimeout bounds the read that looks, after a timeout, for data that has arrived meanwhile.
const lateReadTimeout = time.Millisecond

// SilenceWatch makes the reads of a connection report silence instead of failing with a timeout, which would
// leave an answer half read.
type SilenceWatch struct {
	// After is how long nothing must have been received before OnSilence is called.
	After time.Duration
	// CheckBy is when OnSilence is called first at the latest, whatever has been received; zero for never.
	CheckBy time.Time
	// Deadline is when a read fails.
	Deadline time.Time
	// OnSilence runs in the reading goroutine, also after a Wake. It returns how long to wait until the
	// next call. With an error, the read fails with it.
	OnSilence func() (wait time.Duration, err error)
}

// WatchSilence sets the watch of all following reads; nil ends it. With a watch, SetDeadline and
// SetReadDeadline have no effect on reads.
func (c *Conn) WatchSilence(watch *SilenceWatch) { c.source.watch = watch }

// Wake makes a read in progress, or else the next one, call OnSilence now. It may be called concurrently
// with other methods.
func (c *Conn) Wake() { c.source.wake() }

// source reads from the network connection. Only the reading goroutine uses watch and err.
type source struct {
	raw    net.Conn
	ending *ending
	watch  *SilenceWatch
	// err is the error of the last read.
	err   error
	woken atomic.Bool
	// mu serializes the changes of the read deadline by wake and by the reading goroutine.
	mu sync.Mutex
}

// Read implements io.Reader. The error is io.EOF only after an orderly end of the connection.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.readWatched(p)
	if err == io.EOF { // not wrapped: connections of other kinds wrap it in errors of their own
		err = s.ending.check()
	}
	s.err = err
	return n, err
}

// readWatched reads, and calls OnSilence of the watch when it is due.
func (s *source) readWatched(p []byte) (int, error) {
	if s.watch == nil {
		return s.raw.Read(p)
	}
	if !time.Now().Before(s.watch.Deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	wait := s.watch.After
	for {
		if s.watch.isCheckDue() {
			if err := s.watch.check(); err != nil {
				return 0, err
			}
		}
		n, err := s.readFor(p, wait)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !time.Now().Before(s.watch.Deadline) {
			return 0, err
		}
		if wait, err = s.watch.OnSilence(); err != nil {
			return 0, err
		}
	}
}

func (w *SilenceWatch) isCheckDue() bool {
	return !w.CheckBy.IsZero() && !time.Now().Before(w.CheckBy)
}

// check makes the call that is due by CheckBy, and sets when the next one is.
func (w *SilenceWatch) check() error {
	wait, err := w.OnSilence()
	w.CheckBy = time.Now().Add(wait)
	return err
}

// readFor reads for at most a time, or until the watch's deadline. Data that has arrived is returned even if
// the time is over: a process that did not run for a while must not take its own delay for silence.
func (s *source) readFor(p []byte, wait time.Duration) (int, error) {
	until := time.Now().Add(wait)
	if s.watch.Deadline.Before(until) {
		until = s.watch.Deadline
	}
	s.setReadDeadline(until)
	n, err := s.raw.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	s.woken.Store(false)
	_ = s.raw.SetReadDeadline(time.Now().Add(lateReadTimeout))
	return s.raw.Read(p)
}

// setReadDeadline sets the deadline of the next read, unless the read has been woken before it began.
func (s *source) setReadDeadline(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.woken.Load() {
		until = pastTime
	}
	_ = s.raw.SetReadDeadline(until)
}

func (s *source) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.woken.Store(true)
	_ = s.raw.SetReadDeadline(pastTime)
}

// pastTime is a deadline that has passed.
var pastTime = time.Unix(1, 0)
