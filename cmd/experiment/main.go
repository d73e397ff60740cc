// Command experiment compares budget policies on seeded workloads and faults in virtual time and
// prints tables. It needs no network.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/lavenderring/lavenderring/pkg/experiment"
	"github.com/lavenderring/lavenderring/pkg/experiment/blame"
	"github.com/lavenderring/lavenderring/pkg/experiment/coldstart"
)

type args struct {
	Minutes         int    `arg:"--minutes" default:"60" help:"virtual length of a run, in minutes"`
	Seeds           int    `arg:"--seeds" default:"3" help:"runs of each cell"`
	Only            string `arg:"--only" help:"run only scenarios whose name contains this"`
	QuarantineSeeds int    `arg:"--quarantine" help:"instead: compare policies of the quarantine on so many seeds"`
	PartSeeds       int    `arg:"--parts" help:"instead: compare policies of the quarantine on prompts, on so many seeds"`
	Plot            string `arg:"--plot" help:"with --quarantine: SVG file to write"`
	ColdHistories   int    `arg:"--cold" help:"instead: compare bounds on what cold upstreams get on so many histories"`
	SafetyRuns      int    `arg:"--safety" help:"instead: so many short runs with random faults; exits 1 if one overspends"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if a.SafetyRuns > 0 {
		if overspent := experiment.RunSafety(os.Stdout, a.SafetyRuns); overspent > 0 {
			os.Exit(1)
		}
		return
	}
	if a.QuarantineSeeds > 0 {
		exitOnError(compareQuarantine(a.QuarantineSeeds, a.Plot))
		return
	}
	if a.PartSeeds > 0 {
		exitOnError(blame.CompareParts(os.Stdout, a.PartSeeds, blame.Sizes[:1]))
		return
	}
	if a.ColdHistories > 0 {
		exitOnError(coldstart.Compare(os.Stdout, a.ColdHistories))
		return
	}
	exitOnError(experiment.PrintTables(os.Stdout, experiment.Plan{Minutes: a.Minutes, Seeds: a.Seeds, ScenarioFilter: a.Only}))
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// compareQuarantine compares policies of the quarantine. If plot is not empty, it names the SVG
// file to write.
func compareQuarantine(seeds int, plot string) error {
	if plot == "" {
		return blame.Compare(os.Stdout, nil, seeds, blame.Sizes)
	}
	file, err := os.Create(plot)
	if err != nil {
		return err
	}
	return errors.Join(blame.Compare(os.Stdout, file, seeds, blame.Sizes), file.Close())
}
