package forward

import (
	"github.com/lavenderring/lavenderring/pkg/origin"
	"github.com/lavenderring/lavenderring/pkg/placement"
)

// recordOrigin records which upstream sent the stream's first event, before the client gets the event.
func (c *call) recordOrigin(lease *placement.Lease) {
	if c.origin == nil {
		c.origin = &origin.Origin{Service: lease.Service, Version: lease.Version}
	}
}
