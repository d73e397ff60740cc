package routing

import (
	"net"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table answers look-ups in one version of the configuration.
type Table struct {
	Config *Config
	// Since is when this process brought the version into force.
	Since time.Time

	byHost   map[string][]*Route // longest prefix first
	byKey    map[string]*Account
	services map[string]*Service
	// firstRank is the most urgent rank of the streams that go to a service.
	firstRank map[string]int
}

// NewTable indexes a configuration.
func NewTable(config *Config, now time.Time) *Table {
	t := &Table{
		Config:   config,
		Since:    now,
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Account{},
		services: map[string]*Service{},

		firstRank: map[string]int{},
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		t.byHost[route.Host] = append(t.byHost[route.Host], route)
	}
	t.rankRoutes()
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

func (t *Table) rankRoutes() {
	for i := range t.Config.Routes {
		route := &t.Config.Routes[i]
		if route.Kind != Stream {
			continue
		}
		for _, target := range route.Targets {
			if first, known := t.firstRank[target.Service]; !known || route.Priority < first {
				t.firstRank[target.Service] = route.Priority
			}
		}
	}
}

// Urgent reports that no stream to any service of the route ranks before it.
func (t *Table) Urgent(route *Route) bool {
	for _, target := range route.Targets {
		if first, known := t.firstRank[target.Service]; known && route.Priority > first {
			return false
		}
	}
	return true
}

// Route returns the route of the longest prefix that begins the path, or nil.
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

// Account returns the account that holds a key, or nil.
func (t *Table) Account(key string) *Account { return t.byKey[key] }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Target returns the service for a request by its id, so that a request's every
// attempt goes to one service; empty if the route has none.
func (r *Route) Target(id string) string {
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

// Apply brings a configuration into force if its version is higher than the one
// in force, and reports whether it did. Late answers, stale reads and peers may
// bring older versions at any time; none of them moves anything back.
func (s *State) Apply(config *Config, now time.Time) bool {
	next := NewTable(config, now)
	for {
		present := s.table.Load()
		if present != nil && present.Config.Version >= config.Version {
			return false
		}
		if s.table.CompareAndSwap(present, next) {
			return true
		}
	}
}
