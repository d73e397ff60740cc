package entry

import (
	"context"
	"time"

	"github.com/lavenderring/lavenderring/pkg/upstream"
)

// connection is one connection over which an engine sends an answer, or its rest.
type connection struct {
	cancel context.CancelFunc
	sentAt time.Time
	// incarnation is the process that answers, once the response header is read; empty if it did not say.
	incarnation string
}

// part is what the reader of a connection received: the response header, an event or the error that
// ended the connection.
type part struct {
	from   *connection
	header *header
	event  upstream.Event
	err    error
}

// header is what a response header says about an engine.
type header struct {
	load        float64
	incarnation string
}

// connect asks the engine for the answer, or with resume for its rest, over a new connection. Its parts are
// sent to d.parts until ctx ends.
func (d *delivery) connect(ctx context.Context, resume bool) *connection {
	ctx, cancel := context.WithCancel(ctx)
	c := &connection{cancel: cancel, sentAt: d.call.e.Now()}
	request := upstream.StreamRequest{
		ID:          d.call.r.id,
		Body:        d.call.body,
		Resume:      resume,
		Offset:      d.offset,
		Incarnation: d.incarnation,
		Urgent:      d.call.pool.Urgent,
	}
	d.readers.Go(func() {
		defer cancel()
		if err := d.read(ctx, c, request); err != nil {
			d.send(ctx, part{from: c, err: err})
		}
	})
	return c
}

// read reads one connection until its answer ends.
func (d *delivery) read(ctx context.Context, c *connection, request upstream.StreamRequest) error {
	stream, err := upstream.Open(ctx, d.lease.Upstream.Address, request, d.markSending)
	if err != nil {
		return err
	}
	defer stream.Close()
	d.send(ctx, part{from: c, header: &header{load: stream.Load, incarnation: stream.Incarnation}})
	for {
		event, err := stream.Next()
		if err != nil {
			return err
		}
		d.send(ctx, part{from: c, event: event})
		if event.End {
			return nil
		}
	}
}

// send passes a part on, unless its connection is given up.
func (d *delivery) send(ctx context.Context, p part) {
	select {
	case d.parts <- p:
	case <-ctx.Done():
	}
}

// markSending records that the request is about to be sent over a connection.
func (d *delivery) markSending() {
	d.sent.Store(true)
	d.call.r.tracker.MarkSending()
}
