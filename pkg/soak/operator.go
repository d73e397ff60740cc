package soak

import (
	"sync"
	"time"

	"github.com/lavenderring/lavenderring/pkg/routing"
	"github.com/lavenderring/lavenderring/platform/standin"
)

// Names and sizes of the configuration under test.
const (
	host          = "fleet.example"
	plainService  = "jobs"
	engineService = "models"
	// richKey belongs to an account whose tokens never run out, poorKey to one whose tokens do.
	richKey, poorKey = "key-rich", "key-poor"
	poorAccount      = "poor"
	richTokens       = 1 << 40
	poorTokens       = 6000
	topUpTokens      = 2000
	// promptTokens and outputTokens bound the cost of one request.
	promptTokens, outputTokens = 100, 20
	streamEvents               = 6
	// answerDelay is how long an upstream takes for an answer, or for each event of a stream.
	answerDelay = 5 * time.Millisecond
	// routeTimeout is the longest time that a client waits for an answer.
	routeTimeout = 3 * time.Second
)

// routes are always configured; optionalRoute is added and removed by operator.change.
var routes = []routing.Route{
	{Name: "once", Kind: routing.Once, MaxAttempts: 2, Targets: []routing.Target{{Service: plainService, Weight: 1}}},
	{Name: "safe", Kind: routing.Idempotent, MaxAttempts: 2, Targets: []routing.Target{{Service: plainService, Weight: 1}}},
	{Name: "stream", Kind: routing.Stream, MaxAttempts: 2, Targets: []routing.Target{{Service: engineService, Weight: 1}}},
	{
		Name: resumableRoute, Kind: routing.Stream, MaxAttempts: 3, Resumable: true,
		Targets: []routing.Target{{Service: engineService, Weight: 1}},
	},
}

const (
	optionalRoute  = "optional"
	resumableRoute = "resumable"
)

// operator writes the configuration, directly at the store stand-in: its writes succeed
// whatever faults the store has for instances.
type operator struct {
	store *standin.Server

	mu       sync.Mutex
	version  uint64
	optional bool
	// prepaid is the prepaid amount of the poor account, in tokens.
	prepaid int64
}

// change writes the next version, with the optional route added or removed and the poor
// account topped up.
func (o *operator) change() error {
	o.mu.Lock()
	o.optional = !o.optional
	o.prepaid += topUpTokens
	o.mu.Unlock()
	return o.write()
}

// write writes the configuration under the next version.
func (o *operator) write() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	return o.store.Configure(o.config())
}

func (o *operator) config() *routing.Config {
	config := &routing.Config{
		Version:     o.version,
		KeyRequired: true,
		Services: []routing.Service{
			{Name: plainService, MaxConnections: 4000, ColdPerSecond: coldPerSecond, ColdDuration: coldDuration, HealthPath: standin.HealthPath},
			{
				Name: engineService, MaxConnections: 4000, ColdPerSecond: coldPerSecond, ColdDuration: coldDuration,
				HealthPath: standin.HealthPath, Engine: &routing.Engine{Slots: 64, MemoryTokens: 1 << 20, TokensPerEvent: 1},
			},
		},
		Limits: routing.Limits{HeaderBytes: 16384, BodyBytes: 65536, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Accounts: []routing.Account{
			{Name: "rich", Keys: []string{richKey}, Priority: -1, PrepaidTokens: richTokens},
			{Name: poorAccount, Keys: []string{poorKey}, Priority: -1, PrepaidTokens: o.prepaid},
		},
	}
	all := routes
	if o.optional {
		all = append(append([]routing.Route{}, routes...), routing.Route{
			Name: optionalRoute, Kind: routing.Idempotent, MaxAttempts: 2,
			Targets: []routing.Target{{Service: plainService, Weight: 1}},
		})
	}
	for _, r := range all {
		r.Host, r.Prefix, r.Timeout = host, "/"+r.Name+"/", routeTimeout
		r.Objective, r.MaxPause = routeTimeout/8, routeTimeout/8
		config.Routes = append(config.Routes, r)
	}
	return config
}

// state returns whether the optional route is configured, and the poor account's prepaid
// amount.
func (o *operator) state() (optional bool, prepaid int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.optional, o.prepaid
}
