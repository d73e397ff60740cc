// Package eventlog writes numbered events as JSON lines and keeps the newest in
// memory, so that one time line over all processes can be made from them.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// recentEvents bounds the events an instance keeps to be asked for.
const recentEvents = 1024

// Fields carries an event's typed values by name.
type Fields = logrus.Fields

// Event is one entry of a log.
type Event struct {
	// Time is when the process wrote it, by its own clock.
	Time time.Time `json:"time"`
	// Process names the writer.
	Process string `json:"process"`
	// Seq orders the events of one process.
	Seq uint64 `json:"seq"`
	// Number and Name identify the kind.
	Number Number `json:"event"`
	Name   string `json:"msg"`
	// Request is the request's id, where there is one.
	Request string `json:"request,omitempty"`
	// Fields holds the rest.
	Fields Fields `json:"fields,omitempty"`
}

// Log writes the events of one process. It is safe for concurrent use.
type Log struct {
	process string
	logger  *logrus.Logger
	// allow is asked before a line is made; nil allows all.
	allow func() bool

	mu     sync.Mutex
	seq    uint64
	recent []Event
}

// New returns a log that writes JSON lines to out.
func New(process string, out io.Writer) *Log {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log := &Log{process: process, logger: logger}
	if bounded, ok := out.(*Bounded); ok {
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
	if len(l.recent) >= 2*recentEvents {
		l.recent = append([]Event(nil), l.recent[recentEvents:]...)
	}
	return event
}

// Recent returns the newest events, oldest first, for one request or for all
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
