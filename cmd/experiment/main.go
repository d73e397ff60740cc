// Command experiment compares budget policies on seeded workloads and faults
// under virtual time and prints tables. It needs no network.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/lavenderring/lavenderring/pkg/experiment"
)

type args struct {
	Minutes int    `arg:"--minutes" default:"60" help:"virtual length of a run, in minutes"`
	Seeds   int    `arg:"--seeds" default:"3" help:"runs of each cell"`
	Only    string `arg:"--only" help:"run only scenarios whose name contains this"`
	Safety  int    `arg:"--safety" help:"instead: so many short runs with random faults; exits 1 if one overspends"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if a.Safety > 0 {
		if overspent := experiment.Safety(os.Stdout, a.Safety); overspent > 0 {
			os.Exit(1)
		}
		return
	}
	if err := experiment.Tables(os.Stdout, experiment.Plan{Minutes: a.Minutes, Seeds: a.Seeds, Only: a.Only}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
