package httpserve

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"

	"github.com/lavenderring/lavenderring/pkg/buffermem"
)

// Sizes of a body's buffer.
const (
	// prefetchBytes is how much of a body the library receives before it calls the request's handler.
	prefetchBytes = 1 << 10
	// firstBodyBytes is the size of the buffer for a body when its reading begins, and announcedBytes the largest
	// one for which an announced size is believed.
	firstBodyBytes = 4 << 10
	announcedBytes = 64 << 10
	// maxBodyReadBytes bounds one read of a body: the library gathers so much of a chunk.
	maxBodyReadBytes = 4 << 10
)

// Errors of a request whose body is not read whole. It has not been passed on and never will be.
var (
	// ErrBodyTooLarge means that the body is larger than its limit.
	ErrBodyTooLarge = errors.New("body exceeds its limit")
	// ErrMemoryFull means that requests take the memory for them.
	ErrMemoryFull = errors.New("requests take the memory for them")
	// ErrReadTimeout means that the body did not arrive in time.
	ErrReadTimeout = errors.New("body did not arrive in time")
	// ErrBodyBroken means that the body ended early, or that its chunks are malformed.
	ErrBodyBroken = errors.New("body is broken")
)

// memoryRetryAfter is the Retry-After, in seconds, of a request that found no memory, where the owner of the server does
// not say otherwise.
const memoryRetryAfter = "1"

// rejectBody answers a request whose body is not read whole. It is the default of Options.RejectBody.
func rejectBody(_ context.Context, c *app.RequestContext, err error) {
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		c.SetStatusCode(consts.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrMemoryFull):
		c.SetStatusCode(consts.StatusServiceUnavailable)
		c.Header("Retry-After", memoryRetryAfter)
	case errors.Is(err, ErrReadTimeout):
		c.SetStatusCode(consts.StatusRequestTimeout)
	default:
		c.SetStatusCode(consts.StatusBadRequest)
	}
}

// receiveBody reads a request's body whole into memory that has been taken for it. If it cannot, the request is
// answered, its connection ends after that, and it returns false.
func (s *Server) receiveBody(ctx context.Context, c *app.RequestContext, reader *requestReader) bool {
	err := reader.readBody(c)
	if err == nil {
		return true
	}
	if errors.Is(err, ErrMemoryFull) {
		s.numFull.Add(1)
	}
	c.Request.SetBodyRaw(nil) // otherwise the library reads the rest
	c.SetConnectionClose()
	s.opts.RejectBody(ctx, c, err)
	c.Abort()
	return false
}

// readBody reads a body whole and makes it that of the request.
func (r *requestReader) readBody(c *app.RequestContext) error {
	if !c.Request.IsBodyStream() {
		return r.classify(r.hold.MarkWhole())
	}
	length, limit := c.Request.Header.ContentLength(), r.conn.server.limits().BodyBytes
	stream := c.Request.BodyStream()
	body, err := r.readStream(stream, length, limit)
	if err != nil {
		return r.classify(err)
	}
	if err := r.hold.MarkWhole(); err != nil {
		return r.classify(err)
	}
	if err := ext.ReleaseBodyStream(stream); err != nil {
		return ErrBodyBroken
	}
	c.Request.SetBodyRaw(body)
	if length < 0 {
		c.Request.Header.SetContentLength(len(body))
	}
	return nil
}

// readStream reads a body of a length, or of one that is not announced if that is negative.
func (r *requestReader) readStream(stream io.Reader, length, limit int) ([]byte, error) {
	m := buffermem.Message{Length: length, Limit: limit, FirstBytes: firstBodyBytes, Take: r.takeBody}
	if length < 0 {
		m.MaxReadBytes = maxBodyReadBytes
	} else {
		m.FirstBytes = announcedBytes
	}
	return buffermem.ReadAll(stream, m)
}

// takeBody takes the memory of a body, beside that of the buffer.
func (r *requestReader) takeBody(bytes int) error { return r.take(len(r.buffer), bytes) }

// classify returns what an error means for the client.
func (r *requestReader) classify(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, buffermem.ErrTooLong):
		return ErrBodyTooLarge
	case r.hold.IsGivenUp(), errors.Is(err, buffermem.ErrShort), errors.Is(err, buffermem.ErrFull):
		return ErrMemoryFull
	case !time.Now().Before(r.readBy):
		return ErrReadTimeout
	default:
		return ErrBodyBroken
	}
}
