// Package router puts the duties of one instance on the users' platform together
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
	"github.com/lavenderring/lavenderring/pkg/overload"
	"github.com/lavenderring/lavenderring/pkg/peer"
	"github.com/lavenderring/lavenderring/pkg/prepaid"
	"github.com/lavenderring/lavenderring/pkg/quarantine/keeper"
	"github.com/lavenderring/lavenderring/pkg/registry"
	"github.com/lavenderring/lavenderring/pkg/retrylimit"
	"github.com/lavenderring/lavenderring/pkg/routing"
	"github.com/lavenderring/lavenderring/pkg/settings"
	"github.com/lavenderring/lavenderring/pkg/store"
)

// Bounds of an instance.
const (
	// readTimeout bounds the reading of one client's request.
	readTimeout = 10 * time.Second
	// maxAdminBody bounds a body sent to operators' paths, which take none.
	maxAdminBody = 64 << 10
)

// Platform is what the adapter to the platform provides.
type Platform struct {
	// NewStore returns a client of the store at an address, which tells what answers say of
	// the store itself.
	NewStore func(address string, listener store.Listener) store.Watcher
	// Config and Upstreams return followers of the two kinds.
	Config    func(s store.Watcher, take func(*routing.Config), bad func(error)) *follow.Follower
	Upstreams func(s store.Watcher, r *registry.Registry, changed func(), bad func(error)) *follow.Follower
	// Emptied returns a follower of the emptied failure domains.
	Emptied func(s store.Watcher, r *registry.Registry, changed func()) *follow.Follower
	// StoreCalls tells the calls that a client has made, by kind.
	StoreCalls func(s store.Watcher) map[string]int64
	Codec      forward.Codec
	Format     door.Format
	ReadyPath  string
}

// Router is one running instance.
type Router struct {
	settings    *settings.Router
	platform    Platform
	incarnation string
	log         *eventlog.Log
	metrics     metrics.Registry
	life        *life.Life

	store    store.Watcher
	config   routing.State
	registry *registry.Registry
	peers    *peer.Client
	traffic  peer.Traffic
	table    *member.Table
	gossip   *member.Gossip
	tokens   *prepaid.Node
	// quarantine knows the requests that crash upstreams.
	quarantine *keeper.Keeper
	conns      *httpconn.Pool
	forward    *forward.Forwarder
	cold       *coldlimit.Limit
	load       *overload.Limit
	// overloaded is what the log told last; touched by one duty only.
	overloaded bool

	door   *door.Door
	ready  *httpserve.Server
	admin  *httpserve.Server
	server *peer.Server

	tie *life.StoreTie
	// storeEra is the latest era of the store that its answers told this instance.
	storeEra atomic.Uint64
	// eraSeen is when this process first saw that era, in Unix milliseconds.
	eraSeen atomic.Int64
	// copies are the followers of the configuration and of the upstreams, by what the
	// instances call the two.
	copies    map[string]*follow.Follower
	publisher *follow.Publisher
	// alarm is touched by one duty only.
	alarm follow.Alarm
	// meeting finds the other instances.
	meeting *meeting.Meeting

	noted member.Notes

	// synced is closed once the instance has a configuration and the upstreams.
	synced chan struct{}

	background context.Context
	end        context.CancelFunc
	duties     sync.WaitGroup
}

// New provisions an instance: everything is made and bound, nothing runs.
func New(s *settings.Router, p Platform, logOut io.Writer) (*Router, error) {
	r := &Router{
		settings:    s,
		platform:    p,
		incarnation: s.Name + "-" + ulid.Make().String(),
		log:         eventlog.New(s.Name, logOut),
		metrics:     metrics.NewRegistry(),
		registry:    registry.New(time.Now),
		conns:       httpconn.NewPool(time.Now),
		load:        overload.New(time.Now),
		synced:      make(chan struct{}),
	}
	r.background, r.end = context.WithCancel(context.Background())
	r.life = life.New(r.log)
	r.tie = life.NewStoreTie(r.log)
	r.store = p.NewStore(s.StoreAddress, store.Listener{State: r.noteStore, Era: r.noteEra})
	r.provisionFleet()
	r.provisionForward()
	r.provisionCopies()
	if err := r.bind(); err != nil {
		r.end()
		return nil, err
	}
	r.log.Event(eventlog.InstanceStarting, "", eventlog.Fields{"incarnation": r.incarnation, "domain": s.Domain})
	return r, nil
}

// noteStore notes whether the store answered a call.
func (r *Router) noteStore(err error) {
	if r.tie.Note(err) {
		r.tokens.StoreBack()
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
	r.peers = peer.NewClient(r.table.Address, r.table.Heard, &r.traffic, nil)
	r.quarantine = keeper.New(keeper.Deps{
		Self:     s.Name,
		Members:  r.table,
		Exchange: r.peers.ExchangeQuarantine,
		Store:    r.store,
		Log:      r.log,
		Metrics:  r.metrics,
		Now:      time.Now,
	})
	r.gossip = &member.Gossip{
		Table:    r.table,
		Send:     r.peers.Heartbeat,
		Probe:    r.peers.Probe,
		Readings: r.readings,
		Learned:  r.learned,
		Era:      r.storeEra.Load,
		HeardEra: func(era uint64) { r.tokens.HeardEra(era) },

		Quarantine: r.quarantine,
	}
	r.meeting = meeting.New(
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
		Peers:     lenders{client: r.peers, table: r.table},
		Fleet:     fleetView{table: r.table, joined: r.meeting.Joined, meet: r.meetAt},
		Observer:  tokenLog{r.log},
		Amounts:   r.amounts,
		VerifyEra: r.verifyEra,
		Now:       time.Now,
	})
}

func (r *Router) provisionForward() {
	r.cold = coldlimit.New(r.settings.Name, r.liveNames, time.Now)
	r.forward = forward.New(forward.Deps{
		Domain:   r.settings.Domain,
		Config:   &r.config,
		Registry: r.registry,
		Budgets:  r.tokens,
		Codec:    r.platform.Codec,
		Conns:    r.conns,
		Log:      r.log,
		Metrics:  r.metrics,
		Overload: r.load,

		ColdLimit:   r.cold,
		ColdOverage: r.settings.ColdOverage,
		ColdSlack:   r.settings.ColdSlack,

		PeerProber: httpconn.NewLookout(r.conns, time.Now),
		Quarantine: r.quarantine.Table(),
		Retries: retrylimit.Settings{
			Ratio:  r.settings.RetryRatio,
			Extra:  r.settings.RetryExtra,
			Window: r.settings.RetryWindow(),
		},
		NumInstances:   r.table.CountLive,
		Synced:         r.synced,
		StoreAvailable: r.tie.Up,
		Now:            time.Now,
	})
}

// meetAt makes the instance at an address known.
func (r *Router) meetAt(address string) { r.meeting.MeetAt(r.background, address) }

// liveNames returns the names of all living instances.
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
	handlers := peer.Handlers{Members: r, Loans: loans{r.tokens}, Copies: r, Quarantine: keeper.Service{Keeper: r.quarantine}}
	if r.server, err = peer.Listen(s.PeerAddress, handlers, &r.traffic, nil); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	r.door, err = door.Listen(door.Options{
		Address:     s.ClientAddress,
		ReadTimeout: readTimeout,
		Format:      r.platform.Format,
		Pipeline:    r.forward,
		Overloaded:  r.load.Overloaded,
	})
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	if r.ready, err = httpserve.Listen(httpserve.Options{Address: s.ReadyAddress, MaxBodyBytes: maxAdminBody}); err != nil {
		return fmt.Errorf("listen for the balancer: %w", err)
	}
	if r.admin, err = httpserve.Listen(httpserve.Options{Address: s.AdminAddress, MaxBodyBytes: maxAdminBody}); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	r.adminRoutes()
	return nil
}

// NoteSettings logs that the settings file was read again; err is what is wrong
// with it. The instance goes on with what it was started with.
func (r *Router) NoteSettings(err error) {
	fields := eventlog.Fields{"valid": err == nil}
	if err != nil {
		fields["cause"] = err.Error()
	}
	r.log.Event(eventlog.SettingsRead, "", fields)
}

// State returns the state of the instance's life.
func (r *Router) State() string { return r.life.State() }
