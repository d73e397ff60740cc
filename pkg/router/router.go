// Package router assembles the components of one instance on the users' platform
// into one process.
package router

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/buffermem"
	"github.com/lavenderring/lavenderring/pkg/coldlimit"
	"github.com/lavenderring/lavenderring/pkg/door"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/follow"
	"github.com/lavenderring/lavenderring/pkg/forward"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
	"github.com/lavenderring/lavenderring/pkg/life"
	"github.com/lavenderring/lavenderring/pkg/meeting"
	"github.com/lavenderring/lavenderring/pkg/member"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/origin"
	"github.com/lavenderring/lavenderring/pkg/overload"
	"github.com/lavenderring/lavenderring/pkg/owndelay"
	"github.com/lavenderring/lavenderring/pkg/peer"
	"github.com/lavenderring/lavenderring/pkg/prepaid"
	"github.com/lavenderring/lavenderring/pkg/quarantine/keeper"
	"github.com/lavenderring/lavenderring/pkg/reach"
	"github.com/lavenderring/lavenderring/pkg/registry"
	"github.com/lavenderring/lavenderring/pkg/retrylimit"
	"github.com/lavenderring/lavenderring/pkg/routing"
	"github.com/lavenderring/lavenderring/pkg/settings"
	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/pkg/tunnel"
)

// Bounds of an instance.
const (
	// readTimeout bounds the reading of one client's request.
	readTimeout = 10 * time.Second
	// maxAdminBodyBytes bounds a body sent to administration paths, which need none.
	maxAdminBodyBytes = 64 << 10
	// maxControlConns bounds the connections of the load balancer and those of operators.
	maxControlConns = 64
)

// Platform holds what the adapter to the users' platform provides.
type Platform struct {
	// NewStore returns a client of the store at an address; it reports the store's availability and
	// era to the listener.
	NewStore func(address string, listener store.Listener) store.Watcher
	// NewConfigFollower and NewUpstreamFollower return followers of the configuration and of
	// the upstreams.
	NewConfigFollower   func(s store.Watcher, onConfig func(*routing.Config), onInvalid func(error)) *follow.Follower
	NewUpstreamFollower func(s store.Watcher, r *registry.Registry, onChange func(), onInvalid func(error)) *follow.Follower
	// NewEmptiedFollower returns a follower of the emptied failure domains.
	NewEmptiedFollower func(s store.Watcher, r *registry.Registry, onChange func()) *follow.Follower
	// CountStoreCalls returns how many calls a store client has made, by kind.
	CountStoreCalls func(s store.Watcher) map[string]int64
	Codec           forward.Codec
	// Health makes health checks of upstreams; nil if they are not asked whether they are cold.
	Health forward.HealthCodec
	// Identity asks upstreams which process they are; nil if an upstream's ID alone says that.
	Identity  forward.IdentityCodec
	Format    door.Format
	ReadyPath string
	// DialUpstream opens direct connections to upstreams; New sets httpconn.DialTCP if it is nil.
	DialUpstream httpconn.DialFunc
}

// Router is one running instance.
type Router struct {
	settings    *settings.Router
	platform    Platform
	incarnation string
	log         *eventlog.Log
	metrics     metrics.Registry
	lifecycle   *life.Lifecycle

	store    store.Watcher
	config   routing.State
	registry *registry.Registry
	peers    *peer.Client
	traffic  peer.Traffic
	table    *member.Table
	gossip   *member.Gossip
	tokens   *prepaid.Node
	// quarantine holds the requests that crash upstreams.
	quarantine *keeper.Keeper
	// origins remembers which upstreams began streams.
	origins *origin.Directory
	// originFaults limits how often faults of origins are logged.
	originFaults faultLimit
	conns        *httpconn.Pool
	forward      *forward.Forwarder
	// links opens connections to upstreams, directly or through other instances; tunnels serves those
	// of other instances.
	links         *reach.Connector
	verifier      *reach.Verifier
	tunnels       *tunnel.Service
	coldLimit     *coldlimit.Limit
	overloadLimit *overload.Limit
	ownDelay      *owndelay.Meter
	// loggedOverloaded is the overload state that was logged last. It needs no lock, because only
	// the background task logOverload uses it.
	loggedOverloaded bool

	clientServer *door.Server
	readyServer  *httpserve.Server
	adminServer  *httpserve.Server
	peerServer   *peer.Server

	storeMonitor *life.StoreMonitor
	// storeEra is the latest era that answers of the store have carried.
	storeEra atomic.Uint64
	// eraSeenMillis is when this process first saw that era, in Unix milliseconds.
	eraSeenMillis atomic.Int64
	// followers holds the followers of the configuration, the upstreams and the emptied failure
	// domains by the names of their copies.
	followers map[string]*follow.Follower
	publisher *follow.Publisher
	// hearing tells whether the store or another instance is heard.
	hearing follow.Hearing
	// validity decides whether the copies may be acted upon.
	validity *follow.Validity
	// ageMonitor needs no lock, because only the background task housekeep uses it.
	ageMonitor follow.AgeMonitor
	// discovery finds the other instances.
	discovery *meeting.Discovery

	memberLogger member.ChangeLogger
	// excessMonitor is used by the background task logExcess only.
	excessMonitor life.ExcessMonitor

	// synced is closed once the instance has a configuration, the upstreams and the emptied failure
	// domains.
	synced chan struct{}

	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
	backgroundTasks  sync.WaitGroup
}

// New provisions an instance: everything is created and bound to its address, nothing runs.
func New(s *settings.Router, p Platform, logOut io.Writer) (*Router, error) {
	if p.DialUpstream == nil {
		p.DialUpstream = httpconn.DialTCP
	}
	r := &Router{
		settings:      s,
		platform:      p,
		incarnation:   s.Name + "-" + ulid.Make().String(),
		log:           eventlog.New(s.Name, logOut),
		metrics:       metrics.NewRegistry(),
		registry:      registry.New(time.Now),
		conns:         httpconn.NewPool(time.Now),
		overloadLimit: overload.New(time.Now),
		ownDelay:      &owndelay.Meter{},
		synced:        make(chan struct{}),
	}
	r.backgroundCtx, r.cancelBackground = context.WithCancel(context.Background())
	r.lifecycle = life.New(r.log)
	r.storeMonitor = life.NewStoreMonitor(r.log)
	r.store = p.NewStore(s.StoreAddress, store.Listener{OnCall: r.recordStoreResult, OnEra: r.noteEra})
	r.provisionFleet()
	r.provisionLinks()
	r.provisionForward()
	r.provisionFollowers()
	if err := r.bind(); err != nil {
		r.cancelBackground()
		return nil, err
	}
	r.log.Event(eventlog.InstanceStarting, "", eventlog.Fields{"incarnation": r.incarnation, "domain": s.Domain})
	return r, nil
}

// notePeerHeard records an answer of another instance.
func (r *Router) notePeerHeard(incarnation string) {
	r.table.MarkHeard(incarnation)
	r.hearing.Heard()
}

// recordStoreResult records whether the store answered a call.
func (r *Router) recordStoreResult(err error) {
	if err == nil {
		r.hearing.Heard()
	}
	if r.storeMonitor.Record(err) {
		r.tokens.NoteStoreAvailable()
	}
}

func (r *Router) provisionFleet() {
	s := r.settings
	r.table = member.NewTable(member.Config{
		Self: &memberpb.Member{
			Incarnation: r.incarnation,
			Name:        s.Name,
			Region:      s.Region,
			Domain:      s.Domain,
			PeerAddress: s.PeerAddress,
		},
		Now: time.Now,
	})
	r.peers = peer.NewClient(r.table.Address, r.notePeerHeard, &r.traffic, nil)
	r.quarantine = keeper.New(keeper.Deps{
		Self:     s.Name,
		Members:  r.table,
		Exchange: r.peers.ExchangeQuarantine,
		Store:    r.store,
		Log:      r.log,
		Metrics:  r.metrics,
		Now:      time.Now,
	})
	r.origins = origin.New(origin.Deps{
		Self:    s.Name,
		Store:   r.store,
		Others:  r.originMembers,
		Peers:   r.peers,
		OnFault: r.logOriginFault,
		Metrics: r.metrics,
		Now:     time.Now,
	})
	r.gossip = &member.Gossip{
		Table:          r.table,
		Send:           r.sendHeartbeat,
		Probe:          r.peers.Probe,
		PrefillStats:   r.prefillStats,
		OnPrefillStats: r.recordPeerStats,
		Era:            r.storeEra.Load,
		OnEra:          func(era uint64) { r.tokens.NotePeerEra(era) },

		Quarantine: r.quarantine,
	}
	r.discovery = meeting.New(
		meeting.Config{Name: s.Name, Address: s.PeerAddress, Seeds: s.Seeds},
		meeting.Deps{Table: r.table, Gossip: r.gossip, Store: r.store, Log: r.log},
	)
	cfg := prepaid.Config{
		Self:    r.incarnation,
		Name:    s.Name,
		Address: s.PeerAddress,
		Shards:  s.LedgerShards,
		Ahead:   time.Duration(s.AheadSeconds) * time.Second,
	}
	r.tokens = prepaid.NewNode(cfg, prepaid.Deps{
		Ledger:    newLedger(r.store, s.LedgerShards),
		Peers:     tokenPeers{client: r.peers, table: r.table},
		Fleet:     fleetView{table: r.table, joined: r.discovery.Joined, discover: r.discoverAt},
		Observer:  tokenLog{r.log},
		Amounts:   r.prepaidAmounts,
		VerifyEra: r.verifyEra,
		Now:       time.Now,
	})
}

func (r *Router) provisionForward() {
	r.coldLimit = coldlimit.New(r.settings.Name, r.liveNames, time.Now)
	r.forward = forward.New(forward.Deps{
		Domain:   r.settings.Domain,
		Config:   &r.config,
		Registry: r.registry,
		Budgets:  r.tokens,
		Codec:    r.platform.Codec,
		Conns:    r.conns,
		Links:    r.links,
		Log:      r.log,
		Metrics:  r.metrics,
		Overload: r.overloadLimit,

		AnswerMemoryBytes: r.settings.AnswerMemory(),

		ColdLimit:   r.coldLimit,
		ColdOverage: r.settings.ColdOverage,
		ColdSlack:   r.settings.ColdSlack,
		Health:      r.platform.Health,
		Identity:    r.platform.Identity,

		PeerProber: httpconn.NewPeerProber(r.platform.DialUpstream, r.conns, r.verifier.Verify, time.Now),
		Quarantine: r.quarantine.Table(),
		Origins:    r.origins,
		Retries: retrylimit.Settings{
			Ratio:  r.settings.RetryRatio,
			Extra:  r.settings.RetryExtra,
			Window: r.settings.RetryWindow(),
		},
		NumInstances:   r.table.CountLive,
		Synced:         r.synced,
		StoreAvailable: r.storeMonitor.Available,
		UpstreamsAge:   r.upstreamsAge,
		OwnDelay:       r.ownDelay,
		ConfigCurrent:  r.configCurrent,
		Now:            time.Now,
	})
}

// discoverAt adds the instance at an address, if there is one, to the known ones.
func (r *Router) discoverAt(address string) { r.discovery.DiscoverAt(r.backgroundCtx, address) }

// liveNames returns the names of all live instances.
func (r *Router) liveNames() []string {
	var names []string
	for _, m := range r.table.Live() {
		names = append(names, m.Name)
	}
	return names
}

func (r *Router) bind() error {
	s := r.settings
	var err error
	handlers := peer.Handlers{
		Members:    r,
		Loans:      tokenService{r.tokens},
		Copies:     r,
		Quarantine: keeper.Service{Keeper: r.quarantine},
		Tunnels:    r.tunnels,
		Origins:    origin.Service{Directory: r.origins},
	}
	if r.peerServer, err = peer.Listen(s.PeerAddress, handlers, &r.traffic, nil); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	r.clientServer, err = door.Listen(door.Options{
		Address:     s.ClientAddress,
		ReadTimeout: readTimeout,
		Limits:      r.clientLimits,
		MaxConns:    s.ClientConnections(),
		Memory:      buffermem.NewRequestPool(s.RequestMemory(), time.Now),
		Format:      r.platform.Format,
		Pipeline:    r.forward,
		Overloaded:  r.shedsClients,
	})
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	if r.readyServer, err = httpserve.Listen(r.controlOptions(s.ReadyAddress)); err != nil {
		return fmt.Errorf("listen for the load balancer: %w", err)
	}
	if r.adminServer, err = httpserve.Listen(r.controlOptions(s.AdminAddress)); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	r.registerAdminRoutes()
	return nil
}

// controlOptions returns the options of a server for the load balancer or operators.
func (r *Router) controlOptions(address string) httpserve.Options {
	return httpserve.Options{Address: address, MaxBodyBytes: maxAdminBodyBytes, MaxConns: maxControlConns}
}

// clientLimits returns the configuration's limits on what clients send.
func (r *Router) clientLimits() httpserve.Limits {
	table := r.config.Table()
	if table == nil {
		return httpserve.Limits{}
	}
	limits := table.Config.Limits
	return httpserve.Limits{
		HeadBytes:   limits.HeaderBytes,
		BodyBytes:   limits.BodyBytes,
		HeadTimeout: limits.HeaderTimeout,
		IdleTimeout: limits.IdleTimeout,
	}
}

// NoteSettings logs that the settings file was read again; err is what is wrong
// with it. The instance keeps the settings that it was started with.
func (r *Router) NoteSettings(err error) { life.NoteSettings(r.log, err) }

// State returns the state of the instance's lifecycle.
func (r *Router) State() string { return r.lifecycle.State() }
