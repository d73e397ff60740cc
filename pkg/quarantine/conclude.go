package quarantine

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/pause"
)

// Evidence is what the end of an attempt reveals about the upstream.
type Evidence string

// Kinds of evidence.
const (
	// NoEvidence means that nothing is known about the upstream: the client disconnected, the
	// deadline passed, or nothing was sent.
	NoEvidence Evidence = "none"
	// WholeAnswer means that the upstream sent its complete answer, which clears the request.
	WholeAnswer Evidence = "answer"
	// NoAnswer means that the attempt ended without a complete answer while the connection was
	// still open. It counts as a crash only if the process is already gone.
	NoAnswer Evidence = "no answer"
	// ConnectionEnded means that the upstream closed or reset the connection before its answer was
	// complete: its process may have crashed.
	ConnectionEnded Evidence = "connection ended"
)

// Attempt describes one attempt to run a request at an upstream, and how it ended.
type Attempt struct {
	Origin   Origin
	Upstream Upstream
	Evidence Evidence
}

// ProbeFunc reports whether the upstream's address refuses connections, which means that its process
// is gone. A probe made after the upstream has restarted does not detect the crash; in that case the
// next incarnation reveals it.
type ProbeFunc func() (refuses bool)

// Conclusion is the consequence of an attempt's end for the request.
type Conclusion struct {
	// Cleared reports that the request was suspected and no longer is.
	Cleared bool
	// Crash is the request's record after a crash; nil if no crash was detected.
	Crash *Record
}

// Conclude records how a run ended, and probes the upstream if it may have crashed. It is called once, in
// place of NoteAnswer, NoteCrash and NoteEnd.
func (r Run) Conclude(ctx context.Context, attempt Attempt, probe ProbeFunc, now func() time.Time) Conclusion {
	switch attempt.Evidence {
	case WholeAnswer:
		return Conclusion{Cleared: r.NoteAnswer()}
	case ConnectionEnded:
		at := now()
		suspected := r.NoteConnectionEnd(attempt.Origin, attempt.Upstream, at)
		conclusion := r.probe(ctx, attempt, probe, at)
		if suspected && conclusion.Crash == nil {
			// Lets the other instances receive the record before this one retries the request.
			pause.For(ctx, JudgeDelay)
		}
		return conclusion
	case NoAnswer:
		return r.probe(ctx, attempt, probe, now())
	default:
		r.NoteEnd()
		return Conclusion{}
	}
}

// probe checks whether the upstream's process is gone, and records a crash if so. Otherwise the run
// ends without consequences.
func (r Run) probe(ctx context.Context, attempt Attempt, probe ProbeFunc, at time.Time) Conclusion {
	if !probe() {
		r.NoteEnd()
		return Conclusion{}
	}
	crash := r.NoteCrash(attempt.Origin, attempt.Upstream, at)
	record := crash.Await(ctx)
	return Conclusion{Crash: &record}
}
