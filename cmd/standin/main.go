// Command standin runs a stand-in for a system that tests and trials need: the platform's object
// API, a model engine, a plain service, or a relay that cuts, freezes, holds and delays connections.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/lavenderring/lavenderring/pkg/standin/engine"
	"github.com/lavenderring/lavenderring/pkg/standin/plain"
	"github.com/lavenderring/lavenderring/pkg/standin/relay"
	"github.com/lavenderring/lavenderring/platform/standin"
)

type listenArgs struct {
	Listen string `arg:"--listen,required" help:"IP:port to listen on"`
}

// serviceArgs are the arguments of a stand-in that serves requests.
type serviceArgs struct {
	listenArgs
	CrashMarker string `arg:"--fatal" help:"text in a request's body that ends the stand-in"`
}

type engineArgs struct {
	serviceArgs
	Slots       int `arg:"--slots" default:"8" help:"requests that generate at once"`
	TokenMillis int `arg:"--token-millis" default:"10" help:"time for one token, in milliseconds"`
}

type relayArgs struct {
	listenArgs
	Control string `arg:"--control,required" help:"IP:port for POST /faults"`
	To      string `arg:"--to,required" help:"IP:port to pass connections on to"`
}

type args struct {
	Platform *listenArgs  `arg:"subcommand:platform" help:"the platform's object API; POST /faults switches faults"`
	Engine   *engineArgs  `arg:"subcommand:engine" help:"a model engine; POST /faults switches faults"`
	Plain    *serviceArgs `arg:"subcommand:plain" help:"a plain service; POST /_faults switches faults, GET /_runs shows runs"`
	Relay    *relayArgs   `arg:"subcommand:relay" help:"a relay between two addresses"`
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	if parser.Subcommand() == nil {
		parser.Fail("a stand-in is needed; see --help")
	}
	if err := startStandIn(&a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}

func startStandIn(a *args) error {
	var err error
	switch {
	case a.Platform != nil:
		_, err = standin.Start(a.Platform.Listen)
	case a.Engine != nil:
		e := a.Engine
		_, err = engine.Start(engine.Config{Address: e.Listen, Slots: e.Slots, TokenMillis: e.TokenMillis, CrashMarker: e.CrashMarker})
	case a.Plain != nil:
		_, err = plain.Start(a.Plain.Listen, a.Plain.CrashMarker)
	case a.Relay != nil:
		_, err = relay.Start(a.Relay.Listen, a.Relay.Control, a.Relay.To)
	}
	return err
}
