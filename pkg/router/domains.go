package router

import "github.com/lavenderring/lavenderring/pkg/eventlog"

// onEmptiedDomains passes emptied and restored failure domains on to the pools and logs them.
func (r *Router) onEmptiedDomains() {
	r.forward.Update()
	for _, change := range r.registry.TakeDomainChanges() {
		fields := eventlog.Fields{"domain": change.Domain}
		if age, read := r.followers[copyEmptied].Age(); read {
			fields["copy_age_ms"] = age.Milliseconds()
		}
		event := eventlog.DomainRestored
		if change.Emptied {
			event = eventlog.DomainEmptied
			if sent, ever := r.forward.SinceLastSent(change.Domain); ever {
				fields["last_sent_ms_ago"] = sent.Milliseconds()
			}
		}
		r.log.Event(event, "", fields)
	}
}
