package experiment

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"time"
)

// Plan selects the runs that the tables are made from.
type Plan struct {
	// Minutes is the virtual time of a run; Seeds is the number of runs of each cell.
	Minutes, Seeds int
	// ScenarioFilter selects the scenarios whose name contains it.
	ScenarioFilter string
}

// cell sums up the runs of one policy under one scenario at one deployment, over all seeds.
type cell struct {
	deployment, scenario, policy int
	sum                          Result
}

func (c *cell) add(r Result) {
	c.sum.Requests += r.Requests
	c.sum.FalseRefusals += r.FalseRefusals
	c.sum.Overspent += r.Overspent
	c.sum.Prepaid += r.Prepaid
	c.sum.MaxInDoubt = max(c.sum.MaxInDoubt, r.MaxInDoubt)
	c.sum.InDoubtAtEnd = max(c.sum.InDoubtAtEnd, r.InDoubtAtEnd)
	c.sum.StoreCalls += r.StoreCalls
	c.sum.Duration += r.Duration
}

func (c *cell) falseRefusalPercent() float64 {
	return 100 * float64(c.sum.FalseRefusals) / float64(max(c.sum.Requests, 1))
}

func (c *cell) overspentPercent() float64 {
	return 100 * float64(c.sum.Overspent) / float64(max(c.sum.Prepaid, 1))
}

func (c *cell) callsPerSecond() float64 {
	return float64(c.sum.StoreCalls) / c.sum.Duration.Seconds()
}

var deployments = []Deployment{Sirajganj, BetuweOost}

// PrintTables runs the plan and prints the tables of each deployment.
func PrintTables(out io.Writer, plan Plan) error {
	scenarios := filterScenarios(plan.ScenarioFilter)
	cells := runAll(plan, scenarios)
	for d, deployment := range deployments {
		if err := printDeployment(out, deployment, plan, scenarios, cells[d]); err != nil {
			return err
		}
	}
	return nil
}

func filterScenarios(filter string) []Scenario {
	var out []Scenario
	for _, s := range Scenarios {
		if strings.Contains(s.Name, filter) {
			out = append(out, s)
		}
	}
	return out
}

// runAll returns the cells by deployment, scenario and policy. Half of the processors run at once.
func runAll(plan Plan, scenarios []Scenario) [][][]*cell {
	duration := time.Duration(plan.Minutes) * time.Minute
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
						result := Run(deployments[d], Policies[p], scenarios[s], duration, uint64(seed+1))
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
			sums[p] += cells[s][p].falseRefusalPercent()
			fmt.Fprintf(&text, " %.2f |", cells[s][p].falseRefusalPercent())
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

// Weight of a percent of overspending, in percents of false refusals, at the two deployments.
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
			overspent += cells[s][p].overspentPercent()
		}
		fmt.Fprintf(text, "| %s | %d | %.3f | %d | %d | %.2f | %.1f | %.1f |\n",
			policy.Name, total.sum.Overspent, total.overspentPercent(), total.sum.MaxInDoubt, total.sum.InDoubtAtEnd,
			total.callsPerSecond(), sums[p]+sirajganjOverspendWeight*overspent, sums[p]+betuweOostOverspendWeight*overspent)
	}
	text.WriteString("\n")
}
