package door

import (
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/lavenderring/lavenderring/pkg/forward"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
)

// streamWriter stands between the library and its chunked writer, so that an
// answer that broke off is never ended as a whole one.
type streamWriter struct {
	chunks interface {
		Write([]byte) (int, error)
		Flush() error
		Finalize() error
	}
	w *writer
}

// Write implements network.ExtWriter.
func (s *streamWriter) Write(p []byte) (int, error) { return s.chunks.Write(p) }

// Flush implements network.ExtWriter.
func (s *streamWriter) Flush() error { return s.chunks.Flush() }

// Finalize implements network.ExtWriter. The library calls it when the handler
// has returned; its error closes the connection without the end mark.
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
func (w *writer) Begin(status int, header []forward.Header) error {
	w.head(status, header)
	chunks := resp.NewChunkedBodyWriter(&w.c.Response, w.c.GetWriter())
	w.c.Response.HijackWriter(&streamWriter{chunks: chunks, w: w})
	return nil
}

// Event implements forward.Client.
func (w *writer) Event(piece []byte) error {
	out := w.c.Response.GetHijackWriter()
	if _, err := out.Write(piece); err != nil {
		return err
	}
	return out.Flush()
}

// Abort implements forward.Client.
func (w *writer) Abort() {
	w.aborted = true
	httpserve.Abort(w.ctx, w.c)
}
