package router

import (
	"context"
	"fmt"
	"sort"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderring/lavenderring/pkg/life"
)

// percentiles lists the percentiles that are shown of each timer.
var percentiles = []float64{0.5, 0.9, 0.99}

func (r *Router) registerAdminRoutes() {
	r.readyServer.GET(r.platform.ReadyPath, r.serveReady)
	r.adminServer.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(consts.StatusOK) })
	r.adminServer.GET("/metrics", r.serveMetrics)
	r.adminServer.GET("/quarantine", r.quarantine.ServeList)
	r.adminServer.POST("/quarantine/release", r.quarantine.ServeRelease)
}

func (r *Router) serveReady(_ context.Context, c *app.RequestContext) {
	if r.State() != life.Ready || r.shedsClients() {
		c.SetStatusCode(consts.StatusServiceUnavailable)
		return
	}
	c.SetStatusCode(consts.StatusOK)
}

// shedsClients reports whether other instances serve clients better than this one.
func (r *Router) shedsClients() bool { return r.overloadLimit.Overloaded() || r.validity.Lasting() }

// serveMetrics writes counters, gauges and timers as text, one value per line.
// Times are in milliseconds.
func (r *Router) serveMetrics(_ context.Context, c *app.RequestContext) {
	gauge := func(name string, value int64) { metrics.GetOrRegisterGauge(name, r.metrics).Update(value) }
	gauge("requests.active", r.clientServer.NumActive())
	excess := r.clientServer.Excess()
	gauge("clients.conns_closed", excess.ConnsClosed)
	gauge("clients.requests_refused", excess.RequestsRefused)
	gauge("tunnels.active", r.tunnels.NumActive())
	gauge("links.services_unreached", int64(len(r.links.Direct.Paths.Unreached())))
	gauge("members.live", int64(r.table.CountLive()))
	if age, known := r.eraAge(); known {
		gauge("store.era_age_s", int64(age.Seconds()))
	}
	gauge("origins.held", int64(r.origins.Size()))
	watched := r.quarantine.Summary()
	gauge("quarantine.suspected", int64(watched.Suspected))
	gauge("quarantine.condemned", int64(watched.Condemned))
	if table := r.config.Table(); table != nil {
		gauge("config.version", int64(table.Config.Version))
	}
	for name, value := range r.platform.CountStoreCalls(r.store) {
		gauge("store."+name, value)
	}
	for name, age := range r.copyAges() {
		gauge("copy."+name+"_age_ms", age)
	}
	gauge("peers.bytes_in", r.traffic.In.Load())
	gauge("peers.bytes_out", r.traffic.Out.Load())
	var lines []string
	r.metrics.Each(func(name string, metric any) { lines = append(lines, formatMetric(name, metric)...) })
	sort.Strings(lines)
	c.String(consts.StatusOK, strings.Join(lines, "\n")+"\n")
}

func formatMetric(name string, metric any) []string {
	label := strings.ReplaceAll(name, ".", "_")
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", label, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", label, m.Value())}
	case metrics.Timer:
		t := m.Snapshot()
		lines := []string{fmt.Sprintf("%s_count %d", label, t.Count())}
		for i, value := range t.Percentiles(percentiles) {
			lines = append(lines, fmt.Sprintf("%s_ms{quantile=\"%g\"} %.3f", label, percentiles[i], value/1e6))
		}
		return lines
	}
	return nil
}
