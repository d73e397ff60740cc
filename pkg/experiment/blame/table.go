package blame

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
)

// cell sums up the runs of one policy in one scenario at one size, over all seeds.
type cell struct {
	sum Result
	// crashes holds, for each seed, the number of crashes of the crashing request that caused most.
	crashes []int
}

// Compare simulates all policies in all scenarios on the same seeds and prints a table for each
// size. If plot is not nil, it receives a plot of the first size as SVG.
func Compare(out, plot io.Writer, seeds int, sizes []Size) error {
	for n, size := range sizes {
		cells := simulateAll(size, seeds, Scenarios, Policies)
		if err := printTable(out, size, seeds, cells); err != nil {
			return err
		}
		if n == 0 && plot != nil {
			if err := printPlot(plot, size, cells); err != nil {
				return err
			}
		}
	}
	return nil
}

// CompareParts is like Compare for requests with prompts, without a plot.
func CompareParts(out io.Writer, seeds int, sizes []Size) error {
	for _, size := range sizes {
		cells := simulateAll(size, seeds, PartScenarios, PartPolicies)
		if err := printPartTable(out, size, seeds, cells); err != nil {
			return err
		}
	}
	return nil
}

// simulateAll returns the cells by scenario and policy. It uses half of the processors.
func simulateAll(size Size, seeds int, scenarios []Scenario, policies []NamedPolicy) [][]cell {
	cells := make([][]cell, len(scenarios))
	var mu sync.Mutex
	var runs sync.WaitGroup
	limit := make(chan struct{}, max(runtime.NumCPU()/2, 1))
	for s := range scenarios {
		cells[s] = make([]cell, len(policies))
		for p := range policies {
			for seed := range seeds {
				runs.Go(func() {
					limit <- struct{}{}
					defer func() { <-limit }()
					result := Simulate(size, scenarios[s], policies[p].Policy, uint64(seed))
					mu.Lock()
					defer mu.Unlock()
					cells[s][p].sum.add(result)
					cells[s][p].crashes = append(cells[s][p].crashes, result.MaxCrashes)
				})
			}
		}
	}
	runs.Wait()
	return cells
}

func printTable(out io.Writer, size Size, seeds int, cells [][]cell) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%d instances, %d upstreams, %d seeds\n\n", size.Instances, size.Upstreams, seeds)
	b.WriteString("| history | policy | ended by the worst body: least, mean, most | late | sound not served in 100 | sound condemned, of those beside a crash |\n")
	b.WriteString("|---|---|---:|---:|---:|---:|\n")
	for s, scenario := range Scenarios {
		for p, policy := range Policies {
			c := &cells[s][p]
			least, mean, most := minMeanMax(c.crashes)
			fmt.Fprintf(&b, "| %s | %s | %d, %.1f, %d | %d | %.2f | %d of %d |\n", scenario.Name, policy.Name,
				least, mean, most, c.sum.LateCrashes, failedPercent(c), c.sum.Condemned, c.sum.BesideCrash)
		}
	}
	b.WriteString("\n")
	_, err := io.WriteString(out, b.String())
	return err
}

func printPartTable(out io.Writer, size Size, seeds int, cells [][]cell) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Prompts: %d instances, %d upstreams, %d seeds\n\n", size.Instances, size.Upstreams, seeds)
	b.WriteString("| history | policy | ended by the worst part: least, mean, most | sent late, most | sound not served in 100 | sound parts condemned |\n")
	b.WriteString("|---|---|---:|---:|---:|---:|\n")
	for s, scenario := range PartScenarios {
		for p, policy := range PartPolicies {
			c := &cells[s][p]
			least, mean, most := minMeanMax(c.crashes)
			fmt.Fprintf(&b, "| %s | %s | %d, %.1f, %d | %d | %.2f | %d |\n", scenario.Name, policy.Name,
				least, mean, most, c.sum.MaxLateSent, failedPercent(c), c.sum.PartsCondemned)
		}
	}
	b.WriteString("\n")
	_, err := io.WriteString(out, b.String())
	return err
}

// failedPercent returns the percentage of harmless requests that were not served.
func failedPercent(c *cell) float64 {
	return 100 * float64(c.sum.Failed) / float64(max(c.sum.Harmless, 1))
}

func minMeanMax(figures []int) (least int, mean float64, most int) {
	least = figures[0]
	sum := 0
	for _, f := range figures {
		least, most, sum = min(least, f), max(most, f), sum+f
	}
	return least, float64(sum) / float64(len(figures)), most
}

// Dimensions of the plot, in pixels; plotScale is the width of one percent.
const (
	plotWidth, plotLeft, plotBar, plotGap, plotScale = 900, 300, 12, 18, 5.0
)

// printPlot draws the percentage of harmless requests that were not served.
func printPlot(out io.Writer, size Size, cells [][]cell) error {
	var b strings.Builder
	height := 60 + len(Scenarios)*(len(Policies)*plotBar+plotGap)
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", plotWidth, height)
	fmt.Fprintf(&b, `<text x="10" y="18" font-size="14">Sound requests not served, in 100 (%d instances, %d upstreams)</text>`+"\n", size.Instances, size.Upstreams)
	colors := []string{"#999999", "#d08030", "#4080c0", "#309050"}
	for p, policy := range Policies {
		fmt.Fprintf(&b, `<text x="%d" y="36" fill="%s">%s</text>`+"\n", 10+p*220, colors[p], policy.Name)
	}
	y := 50
	for s, scenario := range Scenarios {
		fmt.Fprintf(&b, `<text x="10" y="%d">%s</text>`+"\n", y+plotBar, scenario.Name)
		for p := range Policies {
			share := failedPercent(&cells[s][p])
			fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%.1f" height="%d" fill="%s"/>`+"\n", plotLeft, y, share*plotScale, plotBar-2, colors[p])
			fmt.Fprintf(&b, `<text x="%.1f" y="%d">%.2f</text>`+"\n", plotLeft+share*plotScale+4, y+plotBar-3, share)
			y += plotBar
		}
		y += plotGap
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(out, b.String())
	return err
}
