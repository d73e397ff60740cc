package experiment

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"time"
)

// Plan says what the tables are made from.
type Plan struct {
	// Minutes is the virtual length of a run; Seeds the runs of each cell.
	Minutes, Seeds int
	// Only keeps the scenarios whose name contains it.
	Only string
}

// cell is one policy under one scenario at one deployment, over all seeds.
type cell struct {
	deployment, scenario, policy int
	sum                          Result
}

func (c *cell) add(r Result) {
	c.sum.Requests += r.Requests
	c.sum.FalseRefusals += r.FalseRefusals
	c.sum.Overspent += r.Overspent
	c.sum.Prepaid += r.Prepaid
	c.sum.InDoubt = max(c.sum.InDoubt, r.InDoubt)
	c.sum.InDoubtAtEnd = max(c.sum.InDoubtAtEnd, r.InDoubtAtEnd)
	c.sum.StoreCalls += r.StoreCalls
	c.sum.Length += r.Length
}

func (c *cell) falseRefusals() float64 {
	return 100 * float64(c.sum.FalseRefusals) / float64(max(c.sum.Requests, 1))
}

func (c *cell) overspent() float64 {
	return 100 * float64(c.sum.Overspent) / float64(max(c.sum.Prepaid, 1))
}

func (c *cell) callsPerSecond() float64 {
	return float64(c.sum.StoreCalls) / c.sum.Length.Seconds()
}

var deployments = []Deployment{Sirajganj, BetuweOost}

// Tables runs the plan and prints a table for each deployment.
func Tables(out io.Writer, plan Plan) error {
	scenarios := selected(plan.Only)
	cells := runAll(plan, scenarios)
	for d, deployment := range deployments {
		if err := printDeployment(out, deployment, plan, scenarios, cells[d]); err != nil {
			return err
		}
	}
	return nil
}

func selected(only string) []Scenario {
	var out []Scenario
	for _, s := range Scenarios {
		if strings.Contains(s.Name, only) {
			out = append(out, s)
		}
	}
	return out
}

// runAll fills cells[deployment][scenario][policy], several runs at once.
func runAll(plan Plan, scenarios []Scenario) [][][]*cell {
	length := time.Duration(plan.Minutes) * time.Minute
	limit := make(chan struct{}, max(runtime.NumCPU()/2, 1))
	var runs sync.WaitGroup
	var mu sync.Mutex
	cells := make([][][]*cell, len(deployments))
	for d := range deployments {
		cells[d] = make([][]*cell, len(scenarios))
		for s := range scenarios {
			for p := range Policies {
				c := &cell{deployment: d, scenario: s, policy: p}
				cells[d][s] = append(cells[d][s], c)
				for seed := range plan.Seeds {
					limit <- struct{}{}
					runs.Go(func() {
						result := Run(deployments[d], Policies[p], scenarios[s], length, uint64(seed+1))
						mu.Lock()
						c.add(result)
						mu.Unlock()
						<-limit
					})
				}
			}
		}
	}
	runs.Wait()
	return cells
}

func printDeployment(out io.Writer, d Deployment, plan Plan, scenarios []Scenario, cells [][]*cell) error {
	var text strings.Builder
	fmt.Fprintf(&text, "### %s: %d instances in %d failure domains, %d seeds of %d minutes\n\n",
		d.Name, d.Instances, d.Domains, plan.Seeds, plan.Minutes)
	fmt.Fprintf(&text, "False refusals in %% of requests:\n\n| scenario |")
	for _, p := range Policies {
		fmt.Fprintf(&text, " %s |", p.Name)
	}
	fmt.Fprintf(&text, "\n|---|%s\n", strings.Repeat("---:|", len(Policies)))
	sums := make([]float64, len(Policies))
	for s, scenario := range scenarios {
		fmt.Fprintf(&text, "| %s |", scenario.Name)
		for p := range Policies {
			sums[p] += cells[s][p].falseRefusals()
			fmt.Fprintf(&text, " %.2f |", cells[s][p].falseRefusals())
		}
		text.WriteString("\n")
	}
	text.WriteString("| **sum** |")
	for p := range Policies {
		fmt.Fprintf(&text, " **%.2f** |", sums[p])
	}
	text.WriteString("\n\n")
	printTotals(&text, cells, sums)
	_, err := io.WriteString(out, text.String())
	return err
}

// Weightings of the two deployments: what a percent of overspending weighs
// against a percent of false refusals.
const (
	sirajganjOverspendWeight  = 100
	betuweOostOverspendWeight = 10
)

func printTotals(text *strings.Builder, cells [][]*cell, sums []float64) {
	text.WriteString("| policy | overspent tokens | overspent % | most in doubt | in doubt at end | store calls/s | " +
		"weighed, Sirajganj | weighed, Betuwe-Oost |\n|---|---:|---:|---:|---:|---:|---:|---:|\n")
	for p, policy := range Policies {
		total := &cell{}
		var overspent float64
		for s := range cells {
			total.add(cells[s][p].sum)
			overspent += cells[s][p].overspent()
		}
		fmt.Fprintf(text, "| %s | %d | %.3f | %d | %d | %.2f | %.1f | %.1f |\n",
			policy.Name, total.sum.Overspent, total.overspent(), total.sum.InDoubt, total.sum.InDoubtAtEnd,
			total.callsPerSecond(), sums[p]+sirajganjOverspendWeight*overspent, sums[p]+betuweOostOverspendWeight*overspent)
	}
	text.WriteString("\n")
}
