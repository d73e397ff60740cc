// Package routing holds the routing configuration, and looks up the route, the
// upstream service and the client account of a request in it.
package routing

import "time"

// Kind states whether requests of a route may be retried.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once requests run at most once each time that the client sends them.
	Once Kind = "once"
	// Stream requests are answered by a stream of events. They run at most once unless
	// the route is resumable.
	Stream Kind = "stream"
)

// Config is one version of the configuration. It is immutable.
type Config struct {
	// Version increases with each change. A lower version never replaces a higher one.
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Accounts []Account `json:"accounts"`
	// KeyRequired reports whether requests need the key of an account, except on public
	// routes.
	KeyRequired bool `json:"keyed"`
}

// Route directs the requests for a host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the longest time that a client is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Objective is the target for the time to the answer: later answers count as late.
	Objective time.Duration `json:"objective"`
	// MaxPause is the longest pause between two events of a stream that counts as on time.
	MaxPause time.Duration `json:"pause"`
	// MaxAttempts is the maximum number of upstreams that one request is sent to.
	MaxAttempts int `json:"max_attempts"`
	// Priority is the priority of requests; 0 is the most urgent.
	Priority int `json:"priority"`
	// Public routes need no key.
	Public bool `json:"public"`
	// Resumable streams may continue at another upstream after the id of an event.
	Resumable bool `json:"resumable"`
	// Targets are the services among which the route's requests are divided.
	Targets []Target `json:"targets"`
}

// Retryable reports whether a request that may have run may be retried.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Target is a service's share of the requests of a route, in proportion to Weight.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name string `json:"name"`
	// MaxConnections is the number of connections that one upstream accepts from all clients
	// together.
	MaxConnections int `json:"max_connections"`
	// HealthPath is the path of the upstreams' health checks; empty if they have none.
	HealthPath string `json:"health_path,omitempty"`
	// Engine describes model engines; nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
	// ColdPerSecond is the number of requests a second, from all instances together, that a cold upstream
	// survives; 0 for no bound. An upstream is cold for ColdDuration after its start.
	ColdPerSecond float64       `json:"cold_per_second,omitempty"`
	ColdDuration  time.Duration `json:"cold_for,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int `json:"slots"`
	// MemoryTokens is the number of tokens that an engine's cache holds.
	MemoryTokens int64 `json:"memory_tokens"`
	// TokensPerEvent is the maximum number of output tokens in one event.
	TokensPerEvent int64 `json:"tokens_per_event"`
}

// Limits bound the size and duration of requests from clients.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int           `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Account is a client account, identified by any of its keys.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority overrides that of the route; negative for none.
	Priority int `json:"priority"`
	// PrepaidTokens is the total number of tokens that the account may consume; negative for no
	// bound.
	PrepaidTokens int64 `json:"prepaid_tokens"`
}
