// Command capacity measures the costs of instances on this machine and rewrites the tables and the
// plot of docs/CAPACITY.md from them. It starts fleets of the given sizes, with a stand-in of the
// platform, on loopback addresses, and stops them.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/lavenderring/lavenderring/pkg/capacity"
)

type args struct {
	Binaries string `arg:"--binaries,required" help:"folder with the built lavenderring and standin"`
	Page     string `arg:"--page" default:"docs/CAPACITY.md" help:"page to rewrite"`
	Plot     string `arg:"--plot" default:"docs/capacity.svg" help:"plot to write"`
	Sizes    []int  `arg:"--sizes" help:"fleet sizes to measure; default 3 9 27 54"`
}

func main() {
	a := args{Sizes: []int{3, 9, 27, 54}}
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(a args) error {
	fleets, err := capacity.MeasureFleets(a.Binaries, a.Sizes)
	if err != nil {
		return err
	}
	micro, err := capacity.MeasureMicro()
	if err != nil {
		return err
	}
	return capacity.RewritePage(a.Page, a.Plot, capacity.Model{Micro: micro, Fleets: fleets})
}
