package instance

import (
	"slices"

	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
)

// onEmptiedDomains applies a change of the emptied domains and logs it.
func (i *Instance) onEmptiedDomains(before, now configsync.EmptiedDomains) {
	i.entry.SetEmptiedDomains(now.Domains)
	for _, domain := range now.Domains {
		if !slices.Contains(before.Domains, domain) {
			i.log.Event(eventlog.DomainEmptied, "", eventlog.Fields{"domain": domain, "generation": now.Generation})
		}
	}
	for _, domain := range before.Domains {
		if !slices.Contains(now.Domains, domain) {
			i.log.Event(eventlog.DomainRestored, "", eventlog.Fields{"domain": domain, "generation": now.Generation})
		}
	}
}
