package router

import (
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/follow"
)

// provisionCopies makes the followers of the configuration and of the upstreams.
func (r *Router) provisionCopies() {
	bad := func(err error) {
		r.log.Event(eventlog.ConfigRejected, "", eventlog.Fields{"cause": err.Error()})
	}
	config := r.platform.Config(r.store, r.applyConfig, bad)
	config.Lost = r.lostConfig
	config.Found = func() {}
	upstreams := r.platform.Upstreams(r.store, r.registry, r.upstreamsChanged, bad)
	upstreams.Lost = r.lostUpstreams
	upstreams.Found = r.registry.StoreBack
	r.copies = map[string]*follow.Follower{shareRouting: config, shareUpstreams: upstreams}
}

// lostConfig asks the peers for the configuration that the store does not give.
func (r *Router) lostConfig(err error) {
	r.tellWatchFailed(shareRouting, err)
	if r.config.Table() == nil {
		r.askPeers(shareRouting)
	}
}

// lostUpstreams asks the peers for the upstreams.
func (r *Router) lostUpstreams(err error) {
	r.tellWatchFailed(shareUpstreams, err)
	r.registry.StoreOut()
	r.askPeers(shareUpstreams)
}

func (r *Router) tellWatchFailed(name string, err error) {
	fields := eventlog.Fields{"copy": name, "cause": err.Error()}
	if age, read := r.copies[name].Age(); read {
		fields["age_ms"] = age.Milliseconds()
	}
	r.log.Event(eventlog.WatchFailed, "", fields)
}

// copyAges tells, by copy and in milliseconds, for how long nothing has confirmed it.
func (r *Router) copyAges() map[string]int64 {
	ages := map[string]int64{}
	for name, copied := range r.copies {
		if age, read := copied.Age(); read {
			ages[name] = age.Milliseconds()
		}
	}
	return ages
}
