// Package registry tracks which upstreams are in service, according to their entries in the store.
package registry

import (
	"fmt"
	"time"

	"github.com/lavenderring/lavenderring/pkg/store"
)

// Upstream is the entry of one incarnation of an upstream.
type Upstream struct {
	// ID names the upstream; it may be the same after a restart.
	ID string `json:"id"`
	// Born is the Unix time of its start in milliseconds, by its own clock; 0 if unknown. An entry
	// with the same ID and another value is another incarnation, which has none of the state of
	// the previous one.
	Born    int64  `json:"born,omitempty"`
	Service string `json:"service"`
	// Address is its IP address and port. After the upstream is gone the address may belong to an
	// upstream of another service.
	Address string `json:"address"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Version is the version of its software.
	Version string `json:"version"`
	// Slots is the number of requests that it runs concurrently.
	Slots int `json:"slots"`
	// Leaving says that the upstream finishes its running requests and accepts no new ones.
	Leaving bool `json:"leaving"`
	// Written is the store position of the entry's last change.
	Written store.Position `json:"-"`
	// ColdDuration is how much longer the upstream counts as cold after its start.
	ColdDuration time.Duration `json:"slow_for"`
}

// Incarnation identifies the upstream's process among all that have used the same ID.
func (u *Upstream) Incarnation() string { return fmt.Sprint(u.ID, "/", u.Born) }
