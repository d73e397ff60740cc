package door

import (
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/lavenderring/lavenderring/pkg/forward"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
)

// streamWriter wraps the library's chunked writer, so that an answer that broke off
// never gets the final chunk, which would mark it as complete.
type streamWriter struct {
	chunks interface {
		Write([]byte) (int, error)
		Flush() error
		Finalize() error
	}
	w *responseWriter
}

// Write implements network.ExtWriter.
func (s *streamWriter) Write(p []byte) (int, error) { return s.chunks.Write(p) }

// Flush implements network.ExtWriter.
func (s *streamWriter) Flush() error { return s.chunks.Flush() }

// Finalize implements network.ExtWriter. The library calls it when the handler
// has returned; an error closes the connection without the final chunk.
func (s *streamWriter) Finalize() error {
	if s.w.aborted {
		return errAborted
	}
	err := s.chunks.Finalize()
	if err != nil {
		s.w.Abort()
	}
	return err
}

// Begin implements forward.Client.
func (w *responseWriter) Begin(status int, header []forward.Header) error {
	w.setHead(status, header)
	chunks := resp.NewChunkedBodyWriter(&w.c.Response, w.c.GetWriter())
	w.c.Response.HijackWriter(&streamWriter{chunks: chunks, w: w})
	return nil
}

// Event implements forward.Client.
func (w *responseWriter) Event(piece []byte) error {
	out := w.c.Response.GetHijackWriter()
	if _, err := out.Write(piece); err != nil {
		return err
	}
	return out.Flush()
}

// Abort implements forward.Client.
func (w *responseWriter) Abort() {
	w.aborted = true
	httpserve.Abort(w.ctx, w.c)
}
