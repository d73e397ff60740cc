package routing

import (
	"net"
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table is an index of one version of the configuration.
type Table struct {
	Config *Config
	// Since is when this process put the version into force.
	Since time.Time

	byHost   map[string][]*Route // longest prefix first
	byKey    map[string]*Account
	services map[string]*Service
	// minPriority is the lowest, that is most urgent, priority of the stream routes to a
	// service, by its name.
	minPriority map[string]int
}

// NewTable indexes a configuration.
func NewTable(config *Config, now time.Time) *Table {
	t := &Table{
		Config:   config,
		Since:    now,
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Account{},
		services: map[string]*Service{},

		minPriority: map[string]int{},
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		t.byHost[route.Host] = append(t.byHost[route.Host], route)
	}
	t.indexPriorities()
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range config.Accounts {
		account := &config.Accounts[i]
		for _, key := range account.Keys {
			t.byKey[key] = account
		}
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	return t
}

func (t *Table) indexPriorities() {
	for i := range t.Config.Routes {
		route := &t.Config.Routes[i]
		if route.Kind != Stream {
			continue
		}
		for _, target := range route.Targets {
			if lowest, found := t.minPriority[target.Service]; !found || route.Priority < lowest {
				t.minPriority[target.Service] = route.Priority
			}
		}
	}
}

// Urgent reports whether no stream route to any service of the route is more urgent.
func (t *Table) Urgent(route *Route) bool {
	for _, target := range route.Targets {
		if lowest, found := t.minPriority[target.Service]; found && route.Priority > lowest {
			return false
		}
	}
	return true
}

// Route returns the host's route with the longest prefix of the path, or nil. A port in host is
// ignored.
func (t *Table) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Account returns the account of a key, or nil.
func (t *Table) Account(key string) *Account { return t.byKey[key] }

// Service returns the named service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// LeadsTo reports whether the route's requests may be sent to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// SelectService returns the name of the service for the request with the id, or "" if the
// route has none. Within one version of the configuration it depends on the id alone, so that
// all attempts of a request go to the same service.
func (r *Route) SelectService(id string) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, target := range r.Targets {
		if point < target.Weight {
			return target.Service
		}
		point -= target.Weight
	}
	return ""
}

// State holds the table in force. It is safe for concurrent use.
type State struct {
	table atomic.Pointer[Table]
}

// Table returns the table in force, or nil before the first one.
func (s *State) Table() *Table { return s.table.Load() }

// Apply puts a configuration into force if its version is higher than the one in
// force, and reports whether it did. Late answers, stale reads and peers may deliver
// older versions at any time; these are ignored.
func (s *State) Apply(config *Config, now time.Time) bool {
	next := NewTable(config, now)
	for {
		current := s.table.Load()
		if current != nil && current.Config.Version >= config.Version {
			return false
		}
		if s.table.CompareAndSwap(current, next) {
			return true
		}
	}
}
