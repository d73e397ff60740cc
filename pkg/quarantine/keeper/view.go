package keeper

import (
	"context"
	"encoding/hex"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/lavenderring/lavenderring/pkg/fingerprint"
	"github.com/lavenderring/lavenderring/pkg/quarantine"
)

// View is the record of a request, or of a part of prompts, as shown to operators.
type View struct {
	// ID is the fingerprint of the request or part in hexadecimal.
	ID      string           `json:"id"`
	State   quarantine.State `json:"state"`
	Account string           `json:"account"`
	Route   string           `json:"route"`
	// Part is the ID of the part of prompts that the record is about, and Service the service that runs
	// them; empty for a request.
	Part    string `json:"part,omitempty"`
	Service string `json:"service,omitempty"`
	// Crashes is the number of consecutive crashes, Upstream the incarnation that crashed last.
	Crashes  uint32 `json:"crashes"`
	Upstream string `json:"upstream"`
	// Undecided is the number of connections that ended and for which it is not known whether the
	// upstream crashed.
	Undecided uint32 `json:"undecided,omitempty"`
	// LastCrash is the time of the last crash by the clock of the instance that observed it.
	LastCrash time.Time `json:"last_crash"`
	// Instances lists the instances that observed crashes.
	Instances []string `json:"instances"`
}

// Summary is the quarantine's part of the status output.
type Summary struct {
	Suspected int `json:"suspected"`
	Condemned int `json:"condemned"`
	// Oldest is the earliest LastCrash among the condemned requests; zero if there are none.
	Oldest time.Time `json:"oldest,omitzero"`
}

// List returns the watched requests: condemned ones first, then by last crash, the latest first.
func (k *Keeper) List() []View {
	views := []View{}
	for _, r := range k.Table().All() {
		if r.ConsecutiveCrashes()+r.NumUndecided() > 0 {
			views = append(views, k.view(&r))
		}
	}
	slices.SortFunc(views, func(a, b View) int {
		if a.State != b.State {
			if a.State == quarantine.Condemned {
				return -1
			}
			return 1
		}
		return b.LastCrash.Compare(a.LastCrash)
	})
	return views
}

func (k *Keeper) view(r *quarantine.Record) View {
	view := View{
		ID: r.Fingerprint.String(), State: k.Table().StateOf(r.Fingerprint), Account: r.Account, Route: r.Route,
		Crashes: r.ConsecutiveCrashes(), Undecided: r.NumUndecided(), Upstream: r.Upstream, LastCrash: r.LastCrash,
	}
	if r.Part != nil {
		view.Part, view.Service = r.Part.Name(), r.Part.Service
	}
	for instance := range r.Crashes {
		view.Instances = append(view.Instances, instance)
	}
	slices.Sort(view.Instances)
	return view
}

// Summary counts the suspected and condemned requests.
func (k *Keeper) Summary() Summary {
	var s Summary
	for _, r := range k.Table().All() {
		switch k.Table().StateOf(r.Fingerprint) {
		case quarantine.Suspected:
			s.Suspected++
		case quarantine.Condemned:
			s.Condemned++
			if s.Oldest.IsZero() || r.LastCrash.Before(s.Oldest) {
				s.Oldest = r.LastCrash
			}
		}
	}
	return s
}

// ServeList answers GET /quarantine with all watched requests, or with only the one whose ID is in the
// query parameter id.
func (k *Keeper) ServeList(_ context.Context, c *app.RequestContext) {
	views := k.List()
	id := c.Query("id")
	if id == "" {
		c.JSON(consts.StatusOK, views)
		return
	}
	at := slices.IndexFunc(views, func(v View) bool { return v.ID == id })
	if at < 0 {
		c.String(consts.StatusNotFound, "no such request is watched")
		return
	}
	c.JSON(consts.StatusOK, views[at])
}

// ServeRelease answers POST /quarantine/release?id=ID, which releases a watched request.
func (k *Keeper) ServeRelease(_ context.Context, c *app.RequestContext) {
	decoded, err := hex.DecodeString(c.Query("id"))
	if err != nil || len(decoded) != fingerprint.Size {
		c.String(consts.StatusBadRequest, "id is not a request's fingerprint")
		return
	}
	if !k.Release(fingerprint.Fingerprint(decoded)) {
		c.String(consts.StatusNotFound, "no such request is watched")
		return
	}
	c.JSON(consts.StatusOK, map[string]string{"released": c.Query("id")})
}
