package httpserve

import "time"

// Limits bounds what one client may send, and how long it may take. A zero field means the server's default.
type Limits struct {
	// HeadBytes bounds a request's head; a larger one is answered with 431.
	HeadBytes int
	// BodyBytes bounds a request's body; a larger one is answered with 413.
	BodyBytes int
	// HeadTimeout bounds the time from the first byte of a request to the end of its head.
	HeadTimeout time.Duration
	// IdleTimeout bounds the time in which nothing of a next request arrives.
	IdleTimeout time.Duration
}

// Excess counts what a server did not take on because of its bounds.
type Excess struct {
	// ConnsClosed is the number of connections that were closed because too many were open.
	ConnsClosed int64
	// RequestsRefused is the number of requests that were refused because others took the memory for them.
	RequestsRefused int64
}

// Excess returns what the server did not take on since its start.
func (s *Server) Excess() Excess {
	return Excess{ConnsClosed: s.numExcess.Load(), RequestsRefused: s.numFull.Load()}
}

// limits returns the limits in force.
func (s *Server) limits() Limits {
	var limits Limits
	if s.opts.Limits != nil {
		limits = s.opts.Limits()
	}
	limits.HeadBytes = positiveOr(limits.HeadBytes, maxHeaderBytes)
	limits.BodyBytes = positiveOr(limits.BodyBytes, s.opts.MaxBodyBytes)
	limits.HeadTimeout = min(positiveOr(limits.HeadTimeout, s.opts.ReadTimeout), s.opts.ReadTimeout)
	limits.IdleTimeout = positiveOr(limits.IdleTimeout, idleTimeout)
	return limits
}

// positiveOr returns a value, or another if it is not positive.
func positiveOr[T int | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}
