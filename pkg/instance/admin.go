package instance

import (
	"context"
	"crypto/subtle"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/bill"
	"github.com/lavenderring/lavenderring/pkg/budget"
	"github.com/lavenderring/lavenderring/pkg/document"
	"github.com/lavenderring/lavenderring/pkg/ledger"
	"github.com/lavenderring/lavenderring/pkg/life"
	"github.com/lavenderring/lavenderring/pkg/member"
	"github.com/lavenderring/lavenderring/pkg/quarantine/keeper"
)

// Status describes the state of an instance.
type Status struct {
	Name        string             `json:"name"`
	Incarnation string             `json:"incarnation"`
	State       string             `json:"state"`
	Active      int64              `json:"active_requests"`
	StoreUp     bool               `json:"store_up"`
	Generations map[string]uint64  `json:"generations"`
	Members     []member.View      `json:"members"`
	Grants      []budget.GrantView `json:"grants"`
	Quarantine  keeper.Summary     `json:"quarantine"`
	// Emptied lists the failure domains whose upstreams get no new requests.
	Emptied []string `json:"emptied_domains,omitempty"`
}

// Account is the budget of one account as stored in the ledger, in tokens.
type Account struct {
	Budget  string                   `json:"budget"`
	Prepaid int64                    `json:"prepaid"`
	Spent   int64                    `json:"spent"`
	Free    int64                    `json:"free"`
	InDoubt int64                    `json:"in_doubt"`
	Grants  map[string]*ledger.Grant `json:"grants,omitempty"`
}

func (i *Instance) registerAdminRoutes() {
	i.adminServer.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(consts.StatusOK) })
	i.adminServer.GET("/readyz", i.serveReady)
	i.adminServer.GET("/metrics", i.serveMetrics)
	i.adminServer.GET("/status", i.requireOperatorToken(i.serveStatus))
	i.adminServer.GET("/events", i.requireOperatorToken(i.serveEvents))
	i.adminServer.GET("/accounts", i.requireOperatorToken(i.serveAccounts))
	i.adminServer.GET("/bills", i.requireOperatorToken(i.serveBill))
	i.adminServer.GET("/quarantine", i.requireOperatorToken(i.quarantine.ServeList))
	i.adminServer.POST("/quarantine/release", i.requireOperatorToken(i.quarantine.ServeRelease))
}

// requireOperatorToken wraps a handler so that it serves only requests with the operators' token.
func (i *Instance) requireOperatorToken(handler app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		token, _ := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
		given := document.HashKey(token)
		want := i.settings.AdminTokenSHA256
		if want == "" || subtle.ConstantTimeCompare([]byte(given), []byte(want)) != 1 {
			c.SetStatusCode(consts.StatusUnauthorized)
			return
		}
		handler(ctx, c)
	}
}

func (i *Instance) serveReady(_ context.Context, c *app.RequestContext) {
	if i.State() != life.Ready {
		c.String(consts.StatusServiceUnavailable, i.State())
		return
	}
	c.String(consts.StatusOK, life.Ready)
}

func (i *Instance) serveMetrics(_ context.Context, c *app.RequestContext) {
	for name, count := range i.store.Calls() {
		metrics.GetOrRegisterGauge("store."+name, i.metrics).Update(count)
	}
	metrics.GetOrRegisterGauge("config.services", i.metrics).Update(int64(len(i.config.Snapshot().Services)))
	metrics.GetOrRegisterGauge("peers.bytes_in", i.metrics).Update(i.peerTraffic.In.Load())
	metrics.GetOrRegisterGauge("peers.bytes_out", i.metrics).Update(i.peerTraffic.Out.Load())
	excess := i.clientServer.Excess()
	metrics.GetOrRegisterGauge("clients.conns_closed", i.metrics).Update(excess.ConnsClosed)
	metrics.GetOrRegisterGauge("clients.requests_refused", i.metrics).Update(excess.RequestsRefused)
	metrics.GetOrRegisterGauge("requests.active", i.metrics).Update(i.clientServer.NumActive())
	c.JSON(consts.StatusOK, i.metrics.GetAll())
}

func (i *Instance) serveStatus(_ context.Context, c *app.RequestContext) {
	status := Status{
		Name:        i.settings.Name,
		Incarnation: i.incarnation,
		State:       i.State(),
		Active:      i.clientServer.NumActive(),
		Generations: map[string]uint64{},
		Members:     i.table.View(),
		Grants:      i.budgets.Holder().View(),
		Quarantine:  i.quarantine.Summary(),
		Emptied:     i.config.EmptiedDomains().Domains,
	}
	status.StoreUp = i.storeMonitor.Available()
	for _, f := range i.config.Snapshot().Services {
		status.Generations[f.Service] = f.Generation
	}
	c.JSON(consts.StatusOK, status)
}

func (i *Instance) serveEvents(_ context.Context, c *app.RequestContext) {
	c.JSON(consts.StatusOK, i.log.Recent(c.Query("request")))
}

// serveAccounts reads the ledger and answers with each account's prepaid, spent
// and free tokens, its grants, and the tokens in doubt.
func (i *Instance) serveAccounts(ctx context.Context, c *app.RequestContext) {
	accounts := []Account{}
	for shard := 0; shard < i.settings.LedgerShards; shard++ {
		object, err := i.store.Get(ctx, ledger.ObjectKey(shard))
		if isNotFound(err) {
			continue
		}
		if err != nil {
			c.String(consts.StatusServiceUnavailable, err.Error())
			return
		}
		decoded, err := ledger.Decode(object.Value)
		if err != nil {
			c.String(consts.StatusInternalServerError, err.Error())
			return
		}
		accounts = append(accounts, accountsOf(decoded, c.Query("service"))...)
	}
	c.JSON(consts.StatusOK, accounts)
}

func accountsOf(shard *ledger.Shard, service string) []Account {
	var out []Account
	for id, b := range shard.Budgets {
		if service != "" && !strings.HasPrefix(id, service+"/") {
			continue
		}
		out = append(out, Account{
			Budget:  id,
			Prepaid: b.Prepaid,
			Spent:   b.Spent(),
			Free:    b.Free(),
			InDoubt: b.InDoubt(),
			Grants:  b.Grants,
		})
	}
	return out
}

// billReadTimeout limits the time to read all bill segments.
const billReadTimeout = 10 * time.Second

// serveBill finds the bill of one request in the segments in the store.
func (i *Instance) serveBill(ctx context.Context, c *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, billReadTimeout)
	defer cancel()
	list, err := i.store.List(ctx, bill.Kind)
	if err != nil {
		c.String(consts.StatusServiceUnavailable, err.Error())
		return
	}
	statement, err := bill.ReadStatement(list.Objects)
	if err != nil {
		c.String(consts.StatusInternalServerError, err.Error())
		return
	}
	record := statement.Bills[c.Query("request")]
	if record == nil {
		record = statement.Open[c.Query("request")]
	}
	if record == nil {
		c.SetStatusCode(consts.StatusNotFound)
		return
	}
	c.JSON(consts.StatusOK, record)
}
