package httpserve

import (
	"context"
	"errors"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// transport is the library's transport, whose connections are read through a requestReader.
type transport struct {
	network.Transporter
}

func newTransport(options *config.Options) network.Transporter {
	return &transport{standard.NewTransporter(options)}
}

// ListenAndServe implements network.Transporter.
func (t *transport) ListenAndServe(onData network.OnData) error {
	return t.Transporter.ListenAndServe(func(ctx context.Context, accepted any) error {
		written, ok := accepted.(network.Conn)
		c := connOf(ctx)
		if !ok || c == nil {
			return errNoConn
		}
		reader := newRequestReader(ctx, written, c)
		defer reader.release()
		return onData(ctx, reader)
	})
}

// errNoConn means that the library passed on something else than an accepted connection.
var errNoConn = errors.New("not an accepted connection")
