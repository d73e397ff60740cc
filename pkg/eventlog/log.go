// Package eventlog writes numbered events as JSON lines, from which one time line
// over all processes can be made, and keeps the latest events in memory.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// maxRecentEvents is the number of latest events that a Log always keeps in memory; it drops
// older ones when it holds twice as many.
const maxRecentEvents = 1024

// Fields holds an event's values by field name.
type Fields = logrus.Fields

// Event is one event in a log.
type Event struct {
	// Time is the time at which the process wrote the event, by its own clock.
	Time time.Time `json:"time"`
	// Process is the name of the process that wrote the event.
	Process string `json:"process"`
	// Seq is the event's sequence number within its process.
	Seq uint64 `json:"seq"`
	// Number and Name identify the kind of event.
	Number Number `json:"event"`
	Name   string `json:"msg"`
	// Request is the id of the request that the event belongs to, if any.
	Request string `json:"request,omitempty"`
	// Fields holds the other values.
	Fields Fields `json:"fields,omitempty"`
}

// Log writes the events of one process. It is safe for concurrent use.
type Log struct {
	process string
	logger  *logrus.Logger
	// allow reports whether a line may be written, before it is formatted; nil allows all lines.
	allow func() bool

	mu     sync.Mutex
	seq    uint64
	recent []Event
}

// New returns a log that writes JSON lines to out. If out is a BoundedWriter, its bounds apply.
func New(process string, out io.Writer) *Log {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log := &Log{process: process, logger: logger}
	if bounded, ok := out.(*BoundedWriter); ok {
		log.allow = bounded.Allow
	}
	return log
}

// Discard returns a log that keeps events in memory only.
func Discard(process string) *Log { return New(process, io.Discard) }

// Event writes an event; request may be empty.
func (l *Log) Event(number Number, request string, fields Fields) {
	event := l.record(number, request, fields)
	if l.allow != nil && !l.allow() {
		return
	}
	entry := l.logger.WithTime(event.Time).WithFields(logrus.Fields{
		"process": event.Process,
		"seq":     event.Seq,
		"event":   int(number),
	})
	if request != "" {
		entry = entry.WithField("request", request)
	}
	if len(fields) > 0 {
		entry = entry.WithField("fields", fields)
	}
	entry.Info(event.Name)
}

func (l *Log) record(number Number, request string, fields Fields) Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	event := Event{
		Time:    time.Now(),
		Process: l.process,
		Seq:     l.seq,
		Number:  number,
		Name:    Catalogue[number].Name,
		Request: request,
		Fields:  fields,
	}
	l.recent = append(l.recent, event)
	if len(l.recent) >= 2*maxRecentEvents {
		l.recent = append([]Event(nil), l.recent[maxRecentEvents:]...)
	}
	return event
}

// Recent returns the events in memory, oldest first: those of one request, or all
// if request is empty.
func (l *Log) Recent(request string) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := make([]Event, 0, len(l.recent))
	for _, event := range l.recent {
		if request == "" || event.Request == request {
			events = append(events, event)
		}
	}
	return events
}
