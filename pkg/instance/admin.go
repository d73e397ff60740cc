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

// Status is what an instance shows of itself.
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
	// Emptied are the failure domains whose upstreams get nothing.
	Emptied []string `json:"emptied_domains,omitempty"`
}

// Account is one account's budget as the ledger has it. Numbers are tokens.
type Account struct {
	Budget  string                   `json:"budget"`
	Prepaid int64                    `json:"prepaid"`
	Spent   int64                    `json:"spent"`
	Free    int64                    `json:"free"`
	InDoubt int64                    `json:"in_doubt"`
	Grants  map[string]*ledger.Grant `json:"grants,omitempty"`
}

func (i *Instance) adminRoutes() {
	i.admin.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(consts.StatusOK) })
	i.admin.GET("/readyz", i.ready)
	i.admin.GET("/metrics", i.showMetrics)
	i.admin.GET("/status", i.guarded(i.showStatus))
	i.admin.GET("/events", i.guarded(i.showEvents))
	i.admin.GET("/accounts", i.guarded(i.showAccounts))
	i.admin.GET("/bills", i.guarded(i.showBill))
	i.admin.GET("/quarantine", i.guarded(i.quarantine.ServeList))
	i.admin.POST("/quarantine/release", i.guarded(i.quarantine.ServeRelease))
}

// guarded lets only bearers of the operators' token in.
func (i *Instance) guarded(show app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		token, _ := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
		given := document.HashKey(token)
		want := i.settings.AdminTokenSHA256
		if want == "" || subtle.ConstantTimeCompare([]byte(given), []byte(want)) != 1 {
			c.SetStatusCode(consts.StatusUnauthorized)
			return
		}
		show(ctx, c)
	}
}

func (i *Instance) ready(_ context.Context, c *app.RequestContext) {
	if i.State() != life.Ready {
		c.String(consts.StatusServiceUnavailable, i.State())
		return
	}
	c.String(consts.StatusOK, life.Ready)
}

func (i *Instance) showMetrics(_ context.Context, c *app.RequestContext) {
	for name, count := range i.store.Calls() {
		metrics.GetOrRegisterGauge("store."+name, i.metrics).Update(count)
	}
	metrics.GetOrRegisterGauge("config.services", i.metrics).Update(int64(len(i.config.Snapshot().Services)))
	metrics.GetOrRegisterGauge("peers.bytes_in", i.metrics).Update(i.traffic.In.Load())
	metrics.GetOrRegisterGauge("peers.bytes_out", i.metrics).Update(i.traffic.Out.Load())
	metrics.GetOrRegisterGauge("requests.active", i.metrics).Update(i.entry.Active())
	c.JSON(consts.StatusOK, i.metrics.GetAll())
}

func (i *Instance) showStatus(_ context.Context, c *app.RequestContext) {
	status := Status{
		Name:        i.settings.Name,
		Incarnation: i.incarnation,
		State:       i.State(),
		Active:      i.entry.Active(),
		Generations: map[string]uint64{},
		Members:     i.table.View(),
		Grants:      i.budgets.Holder().View(),
		Quarantine:  i.quarantine.Summary(),
		Emptied:     i.config.EmptiedDomains().Domains,
	}
	status.StoreUp = i.tie.Up()
	for _, f := range i.config.Snapshot().Services {
		status.Generations[f.Service] = f.Generation
	}
	c.JSON(consts.StatusOK, status)
}

func (i *Instance) showEvents(_ context.Context, c *app.RequestContext) {
	c.JSON(consts.StatusOK, i.log.Recent(c.Query("request")))
}

// showAccounts reads the ledger: what each account prepaid, spent, has granted
// to whom, and what is in doubt.
func (i *Instance) showAccounts(ctx context.Context, c *app.RequestContext) {
	accounts := []Account{}
	for shard := 0; shard < i.settings.LedgerShards; shard++ {
		object, err := i.store.Get(ctx, ledger.ObjectKey(shard))
		if errStoreMissing(err) {
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

// billReadTimeout bounds the reading of all bill segments.
const billReadTimeout = 10 * time.Second

// showBill finds one request's bill among the segments in the store.
func (i *Instance) showBill(ctx context.Context, c *app.RequestContext) {
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
