package test

import (
	"encoding/json"
	"net/http"

	"github.com/lavenderring/lavenderring/pkg/bill"
	"github.com/lavenderring/lavenderring/pkg/ledger"
	"github.com/lavenderring/lavenderring/pkg/standin/plain"
)

// runs returns the requests that the plain services ran.
func (f *fleet) runs() []plain.Run {
	f.t.Helper()
	var all []plain.Run
	for _, p := range f.services {
		all = append(all, f.runsAt(p)...)
	}
	return all
}

// runsAt returns the requests that one plain service ran.
func (f *fleet) runsAt(p *process) []plain.Run {
	f.t.Helper()
	resp, err := http.Get("http://" + p.listenAddress + "/_runs")
	f.must(err)
	defer func() { _ = resp.Body.Close() }()
	var runs []plain.Run
	f.must(json.NewDecoder(resp.Body).Decode(&runs))
	return runs
}

// runsOf returns how often a job ran.
func (f *fleet) runsOf(job string) int {
	f.t.Helper()
	count := 0
	for _, run := range f.runs() {
		if run.Body == `{"job":"`+job+`"}` {
			count++
		}
	}
	return count
}

// engineUsage returns the tokens that the engines counted, by request id.
func (f *fleet) engineUsage() map[string]int64 {
	f.t.Helper()
	usage := map[string]int64{}
	for _, p := range f.engines {
		for id, tokens := range f.usageAt(p) {
			usage[id] += tokens
		}
	}
	return usage
}

// usageAt returns the tokens that one engine counted, by request id.
func (f *fleet) usageAt(p *process) map[string]int64 {
	f.t.Helper()
	resp, err := http.Get("http://" + p.listenAddress + "/usage")
	f.must(err)
	defer func() { _ = resp.Body.Close() }()
	var counted map[string]int64
	f.must(json.NewDecoder(resp.Body).Decode(&counted))
	return counted
}

// readStatement reads all bills in the store.
func (f *fleet) readStatement() *bill.Statement {
	f.t.Helper()
	list, err := f.store.List(f.t.Context(), bill.Kind)
	f.must(err)
	statement, err := bill.ReadStatement(list.Objects)
	f.must(err)
	return statement
}

// readBudget reads a budget from the ledger, or returns an empty one if the ledger does not
// have it.
func (f *fleet) readBudget(id string) *ledger.Budget {
	f.t.Helper()
	for shard := 0; shard < 4; shard++ {
		object, err := f.store.Get(f.t.Context(), ledger.ObjectKey(shard))
		if err != nil {
			continue
		}
		decoded, err := ledger.Decode(object.Value)
		f.must(err)
		if b := decoded.Budgets[id]; b != nil {
			return b
		}
	}
	return &ledger.Budget{}
}
