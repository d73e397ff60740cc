// Package instance puts the duties together into one process of the fleet.
package instance

import (
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
	"github.com/lavenderring/lavenderring/pkg/ring"
	"github.com/lavenderring/lavenderring/pkg/settings"
	"github.com/lavenderring/lavenderring/pkg/store"
	"github.com/lavenderring/lavenderring/pkg/tlsfiles"
	"github.com/lavenderring/lavenderring/pkg/tokens"
	"github.com/lavenderring/lavenderring/platform"
)

// Bounds of the stop.
const (
	// drainTimeout bounds the wait for requests in progress at a planned stop;
	// it is above the longest deadline and stream that documents allow.
	drainTimeout = 15 * time.Minute
	// handOverTimeout bounds the return of tokens, bills and outcomes.
	handOverTimeout = 20 * time.Second
	// signedAtLeast is the least number of tokens countersigned ahead.
	signedAtLeast = 64
	// fetchQueue bounds the configuration reads that wait.
	fetchQueue = 64
	// maxBodyBytes bounds a caller's body before its service is known.
	maxBodyBytes = 8 << 20
)

// Instance is one running process of the fleet.
type Instance struct {
	settings    *settings.Settings
	incarnation string
	log         *eventlog.Log
	metrics     metrics.Registry
	life        *life.Life

	store   *platform.Client
	peers   *peer.Client
	traffic peer.Traffic
	table   *member.Table
	gossip  *member.Gossip
	// storeEra is the latest era of the store that its answers told, askingEra says that the store
	// is being asked for it.
	storeEra  atomic.Uint64
	askingEra atomic.Bool
	config    *configsync.State
	syncer    *configsync.Syncer
	budgets   *budget.Node
	journal   *bill.Journal
	keeper    *bill.Keeper
	claims    *claim.Claimer
	// quarantine knows the requests that crash upstreams.
	quarantine *keeper.Keeper
	entry      *entry.Entry
	fetches    *ring.Ring[fetch]
	nudge      *ring.Ring[struct{}]
	noted      member.Notes // touched by the heartbeat duty only
	// registered is when the store's list last took this instance; touched by the
	// meeting duty only.
	registered time.Time

	callers *httpserve.Server
	admin   *httpserve.Server
	server  *peer.Server

	callerTLS, peerServerTLS, peerClientTLS *tls.Config // nil for plain connections

	tie *life.StoreTie

	// syncedGenerations is touched by the ledger sync duty only.
	syncedGenerations uint64

	// background is where duties run; it ends after the hand-over.
	background context.Context
	end        context.CancelFunc
	duties     sync.WaitGroup
}

// New provisions an instance: everything is made and bound, nothing runs. The
// error says which address could not be bound.
func New(s *settings.Settings, logOut io.Writer) (*Instance, error) {
	i := &Instance{
		settings:    s,
		incarnation: s.Name + "-" + ulid.Make().String(),
		log:         eventlog.New(s.Name, logOut),
		metrics:     metrics.NewRegistry(),
		fetches:     ring.New[fetch](fetchQueue),
		nudge:       ring.New[struct{}](1),
	}
	i.background, i.end = context.WithCancel(context.Background())
	i.life = life.New(i.log)
	i.tie = life.NewStoreTie(i.log)
	if err := i.provisionTLS(); err != nil {
		return nil, err
	}
	i.provisionFleet()
	i.provisionDuties()
	if err := i.bind(); err != nil {
		i.end()
		return nil, err
	}
	i.log.Event(eventlog.InstanceStarting, "", eventlog.Fields{"incarnation": i.incarnation, "domain": s.Domain})
	return i, nil
}

func (i *Instance) provisionTLS() error {
	var err error
	if files := i.settings.CallerTLS; files != (settings.TLSFiles{}) {
		i.callerTLS, err = tlsfiles.Caller(tlsfiles.Files(files))
	}
	if files := i.settings.PeerTLS; err == nil && files != (settings.TLSFiles{}) {
		i.peerServerTLS, i.peerClientTLS, err = tlsfiles.Peer(tlsfiles.Files(files))
	}
	return err
}

func (i *Instance) provisionFleet() {
	s := i.settings
	listener := store.Listener{State: func(err error) { i.tie.Note(err) }, Era: i.noteEra}
	i.store = platform.NewListeningClient(s.PlatformAddress, s.StoreTimeout(), listener)
	i.table = member.NewTable(member.Config{
		Self: &memberpb.Member{
			Incarnation: i.incarnation,
			Name:        s.Name,
			Region:      s.Region,
			Domain:      s.Domain,
			PeerAddress: s.PeerAdvertise,
		},
		Silent:    s.PeerSilent(),
		Heartbeat: s.Heartbeat(),
		Fanout:    member.DefaultFanout,
		Now:       time.Now,
	})
	i.peers = peer.NewClient(i.table.Address, i.table.Heard, &i.traffic, i.peerClientTLS)
	i.quarantine = keeper.New(keeper.Deps{
		Self:     s.Name,
		Members:  i.table,
		Exchange: i.peers.ExchangeQuarantine,
		Store:    i.store,
		Log:      i.log,
		Metrics:  i.metrics,
		Now:      time.Now,
	})
	i.gossip = &member.Gossip{
		Table:       i.table,
		Send:        i.peers.Heartbeat,
		Generations: i.generations,
		Era:         i.storeEra.Load,
		HeardEra:    i.heardEra,
		Quarantine:  i.quarantine,
		Newer: func(address string, services []string) {
			i.fetches.TryPut(fetch{address: address, services: services})
		},
	}
	i.config = configsync.NewState(i.onConfig)
	i.config.OnEmptiedDomains(i.onEmptied)
	i.syncer = configsync.NewSyncer(i.store, i.config, i.log, i.isWatcher, func() { i.nudge.TryPut(struct{}{}) })
}

func (i *Instance) provisionDuties() {
	s := i.settings
	view := tokens.FleetView{Table: i.table}
	cfg := budget.Config{
		Self:          i.incarnation,
		Shards:        s.LedgerShards,
		Ahead:         time.Duration(s.AheadSeconds) * time.Second,
		MinimumSigned: signedAtLeast,
	}
	i.budgets = budget.NewNode(cfg, budget.Deps{
		Ledger:   tokens.LedgerStore{Store: i.store},
		Peers:    i.peers,
		Fleet:    view,
		Prepaid:  prepaidIn(i.config, s.LedgerShards),
		Observer: tokens.Observer{Log: i.log},
		Now:      time.Now,
	})
	billPeer := func() string { return i.table.Partner("bills/", "") }
	i.journal = bill.NewJournal(i.incarnation, i.store, i.peers, billPeer)
	i.keeper = bill.NewKeeper(i.store)
	i.claims = claim.NewClaimer(i.incarnation, i.store, liveOthers{i.table}, s.ClaimShards, time.Now)
	i.entry = entry.New(i.background, entry.Deps{
		Self:    i.incarnation,
		Domain:  s.Domain,
		Config:  i.config,
		Budgets: i.budgets,
		Journal: i.journal,
		Claims:  i.claims,
		Silent:  i.table.Silent,
		Lookout: httpconn.NewLookout(nil, time.Now),

		Quarantine: i.quarantine.Table(),

		Log:     i.log,
		Metrics: i.metrics,
		Now:     time.Now,
	})
}

func (i *Instance) bind() error {
	var err error
	handlers := peer.Handlers{
		Budgets: i.budgets, Bills: i.keeper, Members: i, Quarantine: keeper.Service{Keeper: i.quarantine},
	}
	if i.server, err = peer.Listen(i.settings.PeerAddress, handlers, &i.traffic, i.peerServerTLS); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	opts := httpserve.Options{
		Address:      i.settings.CallerAddress,
		MaxBodyBytes: maxBodyBytes,
		ReadTimeout:  i.settings.CallerRead(),
		TLS:          i.callerTLS,
	}
	if i.callers, err = httpserve.Listen(opts); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	opts = httpserve.Options{Address: i.settings.AdminAddress, MaxBodyBytes: maxBodyBytes}
	if i.admin, err = httpserve.Listen(opts); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	i.entry.Routes(i.callers)
	i.adminRoutes()
	return nil
}

// onConfig is told of each document that comes into force.
func (i *Instance) onConfig(f *configsync.InForce) {
	i.entry.ApplyConfig(f)
}

// isWatcher tells whether this instance is the one of its failure domain that
// watches the store. Two may think so for a while; that costs a call.
func (i *Instance) isWatcher() bool {
	for _, m := range i.table.WinnersByDomain("config-watch") {
		if m.Incarnation == i.incarnation {
			return true
		}
	}
	return false
}

// State returns the state of the instance's life.
func (i *Instance) State() string { return i.life.State() }
