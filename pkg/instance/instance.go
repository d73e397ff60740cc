// Package instance assembles the components of one process of the fleet and runs
// its background tasks.
package instance

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/bill"
	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/buffermem"
	"github.com/lavenderring/lavenderring/pkg/claim"
	"github.com/lavenderring/lavenderring/pkg/configsync"
	"github.com/lavenderring/lavenderring/pkg/entry"
	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/httpconn"
	"github.com/lavenderring/lavenderring/pkg/httpserve"
	"github.com/lavenderring/lavenderring/pkg/life"
	"github.com/lavenderring/lavenderring/pkg/member"
	"github.com/lavenderring/lavenderring/pkg/member/memberpb"
	"github.com/lavenderring/lavenderring/pkg/peer"
	"github.com/lavenderring/lavenderring/pkg/quarantine/keeper"
	"github.com/lavenderring/lavenderring/pkg/reach"
	"github.com/lavenderring/lavenderring/pkg/ring"
	"github.com/lavenderring/lavenderring/pkg/settings"
	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/pkg/tlsfiles"
	"github.com/lavenderring/lavenderring/pkg/tokens"
	"github.com/lavenderring/lavenderring/pkg/tunnel"
	"github.com/lavenderring/lavenderring/platform"
)

// Limits of an instance.
const (
	// drainTimeout limits the wait for requests in progress at a planned stop.
	// It exceeds the longest deadline and stream that documents allow.
	drainTimeout = 15 * time.Minute
	// flushTimeout limits the return of tokens and the writing of bills and
	// outcomes at a planned stop.
	flushTimeout = 20 * time.Second
	// minSignedAhead is the minimum number of tokens that a witness countersigns
	// in advance.
	minSignedAhead = 64
	// configFetchQueueSize is the maximum number of queued configuration reads.
	configFetchQueueSize = 64
	// maxBodyBytes limits a client's request body until its service is known.
	maxBodyBytes = 8 << 20
	// maxControlConns bounds the connections of operators and the load balancer.
	maxControlConns = 64
	// defaultAnswerMemory is the memory for answers, in bytes, of a process without a limit.
	defaultAnswerMemory = 64 << 20
)

// Instance is one running process of the fleet.
type Instance struct {
	settings    *settings.Settings
	incarnation string
	log         *eventlog.Log
	metrics     metrics.Registry
	lifecycle   *life.Lifecycle

	store       *platform.Client
	peerClient  *peer.Client
	peerTraffic peer.Traffic
	table       *member.Table
	gossip      *member.Gossip
	// storeEra is the latest era that an answer of the store reported. eraQueryRunning is set while
	// notePeerEra reads from the store to learn its era.
	storeEra        atomic.Uint64
	eraQueryRunning atomic.Bool
	config          *configsync.State
	configSyncer    *configsync.Syncer
	budgets         *budget.Node
	journal         *bill.Journal
	billKeeper      *bill.Keeper
	claims          *claim.Claimer
	// quarantine tracks the requests that crash upstreams.
	quarantine *keeper.Keeper
	// verifier tells crashed upstreams from lost links; checks answers the verifiers of others.
	verifier         *reach.Verifier
	checks           *tunnel.Service
	entry            *entry.Entry
	configFetches    *ring.Queue[configFetch]
	heartbeatTrigger *ring.Queue[struct{}]
	changeLogger     member.ChangeLogger // used by runHeartbeats only
	excessMonitor    life.ExcessMonitor  // used by the background task that logs excess only
	// registeredAt is when this instance was last registered in the store; used by
	// discover only.
	registeredAt time.Time

	clientServer *httpserve.Server
	adminServer  *httpserve.Server
	peerServer   *peer.Server

	clientServerTLS, peerServerTLS, peerClientTLS *tls.Config // nil for plain connections

	storeMonitor *life.StoreMonitor

	// syncedGenerations is the generationSum that syncLedger last wrote to the
	// ledger; used by syncLedger only.
	syncedGenerations uint64

	// backgroundCtx is the context of the background tasks; it ends after
	// flushOnStop.
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
	backgroundTasks  sync.WaitGroup
}

// New creates the components of an instance and binds its addresses without
// running anything. The error names what could not be loaded or bound.
func New(s *settings.Settings, logOut io.Writer) (*Instance, error) {
	i := &Instance{
		settings:         s,
		incarnation:      s.Name + "-" + ulid.Make().String(),
		log:              eventlog.New(s.Name, logOut),
		metrics:          metrics.NewRegistry(),
		configFetches:    ring.New[configFetch](configFetchQueueSize),
		heartbeatTrigger: ring.New[struct{}](1),
	}
	i.backgroundCtx, i.cancelBackground = context.WithCancel(context.Background())
	i.lifecycle = life.New(i.log)
	i.storeMonitor = life.NewStoreMonitor(i.log)
	if err := i.provisionTLS(); err != nil {
		return nil, err
	}
	i.provisionFleet()
	i.provisionLinks()
	i.provisionRequestHandling()
	if err := i.bind(); err != nil {
		i.cancelBackground()
		return nil, err
	}
	i.log.Event(eventlog.InstanceStarting, "", eventlog.Fields{"incarnation": i.incarnation, "domain": s.Domain})
	return i, nil
}

// NoteSettings logs that the settings file was read again; err is what is wrong
// with it. The instance keeps the settings that it was started with.
func (i *Instance) NoteSettings(err error) { life.NoteSettings(i.log, err) }

func (i *Instance) provisionTLS() error {
	var err error
	if files := i.settings.CallerTLS; files != (settings.TLSFiles{}) {
		i.clientServerTLS, err = tlsfiles.ServerConfig(tlsfiles.Files(files))
	}
	if files := i.settings.PeerTLS; err == nil && files != (settings.TLSFiles{}) {
		i.peerServerTLS, i.peerClientTLS, err = tlsfiles.PeerConfigs(tlsfiles.Files(files))
	}
	return err
}

func (i *Instance) provisionFleet() {
	s := i.settings
	listener := store.Listener{OnCall: func(err error) { i.storeMonitor.Record(err) }, OnEra: i.noteEra}
	i.store = platform.NewClientWithListener(s.PlatformAddress, s.StoreTimeout(), listener)
	i.table = member.NewTable(member.Config{
		Self: &memberpb.Member{
			Incarnation: i.incarnation,
			Name:        s.Name,
			Region:      s.Region,
			Domain:      s.Domain,
			PeerAddress: s.PeerAdvertise,
		},
		SilenceTimeout:    s.PeerSilenceTimeout(),
		HeartbeatInterval: s.HeartbeatInterval(),
		Fanout:            member.DefaultFanout,
		Now:               time.Now,
	})
	i.peerClient = peer.NewClient(i.table.Address, i.table.MarkHeard, &i.peerTraffic, i.peerClientTLS)
	i.quarantine = keeper.New(keeper.Deps{
		Self:     s.Name,
		Members:  i.table,
		Exchange: i.peerClient.ExchangeQuarantine,
		Store:    i.store,
		Log:      i.log,
		Metrics:  i.metrics,
		Now:      time.Now,
	})
	i.gossip = &member.Gossip{
		Table:       i.table,
		Send:        i.peerClient.Heartbeat,
		Generations: i.serviceGenerations,
		Era:         i.storeEra.Load,
		OnEra:       i.notePeerEra,
		Quarantine:  i.quarantine,
		OnNewerGenerations: func(address string, services []string) {
			i.configFetches.TryPut(configFetch{address: address, services: services})
		},
	}
	i.config = configsync.NewState(i.onConfig)
	i.config.OnEmptiedDomains(i.onEmptiedDomains)
	i.configSyncer = configsync.NewSyncer(i.store, i.config, i.log, i.isWatcher, func() { i.heartbeatTrigger.TryPut(struct{}{}) })
}

func (i *Instance) provisionRequestHandling() {
	s := i.settings
	view := tokens.MemberFleet{Table: i.table}
	cfg := budget.Config{
		Self:            i.incarnation,
		Shards:          s.LedgerShards,
		AllocateAhead:   time.Duration(s.AheadSeconds) * time.Second,
		MinSignedTokens: minSignedAhead,
	}
	i.budgets = budget.NewNode(cfg, budget.Deps{
		Ledger:   tokens.LedgerStore{Store: i.store},
		Peers:    i.peerClient,
		Fleet:    view,
		Prepaid:  prepaidFromConfig(i.config, s.LedgerShards),
		Observer: tokens.EventObserver{Log: i.log},
		Now:      time.Now,
	})
	billPeer := func() string { return i.table.Partner("bills/", "") }
	i.journal = bill.NewJournal(i.incarnation, i.store, i.peerClient, billPeer)
	i.billKeeper = bill.NewKeeper(i.store)
	i.claims = claim.NewClaimer(i.incarnation, i.store, claimFleet{i.table}, s.ClaimShards, time.Now)
	i.entry = entry.New(i.backgroundCtx, entry.Deps{
		Self:       i.incarnation,
		Domain:     s.Domain,
		Config:     i.config,
		Budgets:    i.budgets,
		Journal:    i.journal,
		Claims:     i.claims,
		Silent:     i.table.Silent,
		PeerProber: httpconn.NewPeerProber(httpconn.DialTCP, nil, i.verifier.Verify, time.Now),

		Answers:    buffermem.NewPool(cmp.Or(s.AnswerMemory(), defaultAnswerMemory)),
		Quarantine: i.quarantine.Table(),

		Log:     i.log,
		Metrics: i.metrics,
		Now:     time.Now,
	})
}

func (i *Instance) bind() error {
	var err error
	handlers := peer.Handlers{
		Budgets: i.budgets, Bills: i.billKeeper, Members: i, Quarantine: keeper.Service{Keeper: i.quarantine}, Tunnels: i.checks,
	}
	if i.peerServer, err = peer.Listen(i.settings.PeerAddress, handlers, &i.peerTraffic, i.peerServerTLS); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	opts := httpserve.Options{
		Address:      i.settings.CallerAddress,
		MaxBodyBytes: maxBodyBytes,
		ReadTimeout:  i.settings.CallerReadTimeout(),
		TLS:          i.clientServerTLS,
		Refuse:       entry.RefuseStopping,
		Limits:       func() httpserve.Limits { return httpserve.Limits{BodyBytes: i.entry.LargestBody()} },
		MaxConns:     i.settings.ClientConnections(),
		Memory:       buffermem.NewRequestPool(i.settings.RequestMemory(), time.Now),
		RejectBody:   i.entry.RejectBody,
	}
	if i.clientServer, err = httpserve.Listen(opts); err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	opts = httpserve.Options{Address: i.settings.AdminAddress, MaxBodyBytes: maxBodyBytes, MaxConns: maxControlConns}
	if i.adminServer, err = httpserve.Listen(opts); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	i.entry.RegisterRoutes(i.clientServer)
	i.registerAdminRoutes()
	return nil
}

// onConfig applies each document that comes into force.
func (i *Instance) onConfig(f *configsync.ActiveDocument) {
	i.entry.ApplyConfig(f)
}

// isWatcher reports whether this instance is the one in its failure domain that
// watches the store. Two instances may do so for a while, at the cost of one more
// pending call to the store.
func (i *Instance) isWatcher() bool {
	for _, m := range i.table.WinnersByDomain("config-watch") {
		if m.Incarnation == i.incarnation {
			return true
		}
	}
	return false
}

// State returns the state of the instance's lifecycle.
func (i *Instance) State() string { return i.lifecycle.State() }
