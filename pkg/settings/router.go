package settings

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// Router holds the start-up settings of one instance on the users' platform.
type Router struct {
	Resources
	// Name identifies the instance; a restarted instance keeps it.
	Name string `toml:"name"`
	// Region and Domain are the instance's region and failure domain.
	Region string `toml:"region"`
	Domain string `toml:"domain"`
	// ClientAddress is the IP address and port where clients are served.
	ClientAddress string `toml:"client_address"`
	// ReadyAddress is the IP address and port of the load balancer's readiness checks.
	ReadyAddress string `toml:"ready_address"`
	// PeerAddress is the IP address and port for other instances.
	PeerAddress string `toml:"peer_address"`
	// AdminAddress is the IP address and port for metrics, health and recent events.
	AdminAddress string `toml:"admin_address"`
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string `toml:"store_address"`
	// Seeds lists peer addresses of other instances, for an instance that starts
	// while the store is unavailable. Default none.
	Seeds []string `toml:"seeds"`
	// LedgerShards is the number of ledger objects. It must be the same at all
	// instances and must not change on a store in use. Default 4: every instance
	// writes every object, and with fewer objects more writes conflict when budgets
	// run short.
	LedgerShards int `toml:"ledger_shards"`
	// RetryRatio, RetryExtra and RetryWindowSeconds bound the retries that all
	// instances together send to a service. Defaults 0.2, 50 and 10 s.
	RetryRatio         float64 `toml:"retry_ratio"`
	RetryExtra         float64 `toml:"retry_extra"`
	RetryWindowSeconds float64 `toml:"retry_window_seconds"`
	// ColdOverage and ColdSlack bound the requests that all instances together send to a cold
	// upstream in any second: ColdOverage times the number that it is configured to take per
	// second, plus ColdSlack. Defaults 1 and 0.
	ColdOverage float64 `toml:"cold_overage"`
	ColdSlack   float64 `toml:"cold_slack"`
	// GraceSeconds is the time between the signal to stop and the kill of the
	// process. Default 8.
	GraceSeconds float64 `toml:"grace_seconds"`
	// LeavingBoundMS and ConfigBoundMS bound the time, in milliseconds, from the store's
	// acknowledgement of a change until no instance sends requests to a leaving upstream, or
	// serves by an older configuration. Defaults 2000. Below about 500 the intervals derived
	// from them do not shrink any further.
	LeavingBoundMS int64 `toml:"leaving_bound_ms"`
	ConfigBoundMS  int64 `toml:"config_bound_ms"`
	// EmptyingBoundMS bounds the time, in milliseconds, from the store's acknowledgement that a
	// failure domain is emptied until no instance sends requests to its upstreams. Default 2000.
	EmptyingBoundMS int64 `toml:"emptying_bound_ms"`
	// AheadSeconds is how many seconds of an account's demand for tokens the instance holds
	// at most, in reserve for an outage of the store. Default 12.
	AheadSeconds int64 `toml:"ahead_seconds"`
}

// LoadRouter reads and checks a settings file. The error is an *InvalidError
// with all faults, or wraps that of reading the file.
func LoadRouter(path string) (*Router, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseRouter(path, text)
}

// ParseRouter decodes and checks the text of a settings file; path is used in errors only.
func ParseRouter(path string, text []byte) (*Router, error) {
	r := &Router{
		LedgerShards:       4,
		RetryRatio:         0.2,
		RetryExtra:         50,
		RetryWindowSeconds: 10,
		ColdOverage:        1,
		GraceSeconds:       8,
		LeavingBoundMS:     2000,
		ConfigBoundMS:      2000,
		EmptyingBoundMS:    2000,
		AheadSeconds:       12,
	}
	if err := decode(path, text, r); err != nil {
		return nil, err
	}
	if faults := r.check(path); len(faults) > 0 {
		return nil, &InvalidError{Faults: faults}
	}
	return r, nil
}

func (r *Router) check(path string) []Fault {
	c := &checker{path: path}
	c.require(r.Name != "" && !strings.ContainsAny(r.Name, "/ "), "name", r.Name, "a name without slash or blank")
	c.require(r.Region != "", "region", r.Region, "a region's name")
	c.require(r.Domain != "", "domain", r.Domain, "a failure domain's name")
	c.requireAddress("client_address", r.ClientAddress)
	c.requireAddress("ready_address", r.ReadyAddress)
	c.requireAddress("peer_address", r.PeerAddress)
	c.requireAddress("admin_address", r.AdminAddress)
	c.requireAddress("store_address", r.StoreAddress)
	for i, seed := range r.Seeds {
		c.requireAddress(fmt.Sprintf("seeds[%d]", i), seed)
	}
	c.requireRange("ledger_shards", int64(r.LedgerShards), 1, 4096)
	c.require(r.RetryRatio >= 0 && r.RetryRatio <= 1, "retry_ratio", r.RetryRatio, "0 to 1")
	c.require(r.RetryExtra >= 0, "retry_extra", r.RetryExtra, "0 or more")
	c.require(r.RetryWindowSeconds > 0, "retry_window_seconds", r.RetryWindowSeconds, "more than 0")
	c.require(r.ColdOverage > 0, "cold_overage", r.ColdOverage, "more than 0")
	c.require(r.ColdSlack >= 0, "cold_slack", r.ColdSlack, "0 or more")
	c.require(r.GraceSeconds > 1, "grace_seconds", r.GraceSeconds, "more than 1")
	c.requireRange("leaving_bound_ms", r.LeavingBoundMS, 100, 3_600_000)
	c.requireRange("config_bound_ms", r.ConfigBoundMS, 100, 3_600_000)
	c.requireRange("emptying_bound_ms", r.EmptyingBoundMS, 100, 3_600_000)
	r.Resources.check(c)
	c.requireRange("ahead_seconds", r.AheadSeconds, 1, 600)
	return c.faults
}

// GracePeriod returns the time between the signal to stop and the kill of the process.
func (r *Router) GracePeriod() time.Duration { return seconds(r.GraceSeconds) }

// ChangeBound returns the shorter of LeavingBoundMS and ConfigBoundMS, within which every change of
// the configuration or the upstreams must be in force.
func (r *Router) ChangeBound() time.Duration { return min(r.LeavingBound(), r.ConfigBound()) }

// LeavingBound returns the time within which all instances must have stopped sending to an upstream that leaves.
func (r *Router) LeavingBound() time.Duration {
	return time.Duration(r.LeavingBoundMS) * time.Millisecond
}

// ConfigBound returns the time within which a change of the configuration must be in force.
func (r *Router) ConfigBound() time.Duration {
	return time.Duration(r.ConfigBoundMS) * time.Millisecond
}

// EmptyingBound returns the time within which all instances must have stopped sending to an emptied
// failure domain.
func (r *Router) EmptyingBound() time.Duration {
	return time.Duration(r.EmptyingBoundMS) * time.Millisecond
}

// RetryWindow returns the time window of the bound on retries.
func (r *Router) RetryWindow() time.Duration { return seconds(r.RetryWindowSeconds) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
