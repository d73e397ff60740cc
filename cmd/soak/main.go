// Command soak runs the instance's program as separate processes on this machine, injects
// seeded faults and checks the guarantees (see package soak). It exits with status 1 if a
// guarantee was violated or a run did not start.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/lavenderring/lavenderring/pkg/soak"
)

type args struct {
	Program   string `arg:"--program" default:"target/lavenderring" help:"the instance's program"`
	Seed      uint64 `arg:"--seed" default:"1" help:"first seed"`
	Seeds     int    `arg:"--seeds" default:"1" help:"runs, each with the next seed"`
	Jobs      int    `arg:"--jobs" default:"1" help:"runs at once"`
	Seconds   int    `arg:"--seconds" default:"20" help:"how long faults strike in a run, in seconds"`
	Instances int    `arg:"--instances" default:"5" help:"processes of the program in a run"`
	Upstreams int    `arg:"--upstreams" default:"8" help:"upstreams in a run, half of them engines"`
	Clients   int    `arg:"--clients" default:"24" help:"clients in a run"`
	MemoryMB  int64  `arg:"--memory-mb" default:"160" help:"bound on the memory of a process, in MB; 0 for none"`
	Dir       string `arg:"--dir" default:"target/soak-runs" help:"where settings and logs of each run are left"`
	Quiet     bool   `arg:"--quiet" help:"print reports only"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if failed := a.runAll(); failed > 0 {
		fmt.Printf("%d of %d runs violated a guarantee or did not start\n", failed, a.Seeds)
		os.Exit(1)
	}
}

// runAll runs all seeds, at most Jobs at once, and returns how many did not pass.
func (a *args) runAll() int {
	seeds := make(chan uint64)
	var mu sync.Mutex
	var workers sync.WaitGroup
	failed := 0
	for range max(a.Jobs, 1) {
		workers.Go(func() {
			for seed := range seeds {
				if !a.runOne(seed) {
					mu.Lock()
					failed++
					mu.Unlock()
				}
			}
		})
	}
	for n := range a.Seeds {
		seeds <- a.Seed + uint64(n)
	}
	close(seeds)
	workers.Wait()
	return failed
}

// runOne runs one seed, prints its report and reports whether it passed.
func (a *args) runOne(seed uint64) bool {
	opts := soak.Options{
		Seed: seed, Duration: time.Duration(a.Seconds) * time.Second,
		Instances: a.Instances, Upstreams: a.Upstreams, Clients: a.Clients,
		MaxMemoryBytes: a.MemoryMB << 20, Program: a.Program, Dir: filepath.Join(a.Dir, fmt.Sprintf("seed-%d", seed)),
	}
	if !a.Quiet {
		opts.Out = os.Stdout
	}
	if err := os.MkdirAll(opts.Dir, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	report, err := soak.Run(opts)
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
		return false
	}
	fmt.Println(report)
	for _, violation := range report.Violations {
		fmt.Println("  " + violation)
	}
	return len(report.Violations) == 0
}
