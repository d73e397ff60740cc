// Command lavenderring runs one instance of the router fleet and provides the
// commands for its operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/lavenderring/lavenderring/pkg/eventlog"
	"github.com/lavenderring/lavenderring/pkg/hangup"
	"github.com/lavenderring/lavenderring/pkg/instance"
	"github.com/lavenderring/lavenderring/pkg/operator"
	"github.com/lavenderring/lavenderring/pkg/router"
	"github.com/lavenderring/lavenderring/pkg/settings"
	"github.com/lavenderring/lavenderring/platform"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type serveArgs struct {
	Settings string `arg:"positional,required" help:"the instance's settings file, TOML"`
}

type routeArgs struct {
	Settings string `arg:"positional,env:LAVENDERRING_SETTINGS,required" help:"the instance's settings file, TOML"`
}

type configCheckArgs struct {
	File string `arg:"positional,required" help:"a service document, TOML"`
}

type configApplyArgs struct {
	File     string `arg:"positional,required" help:"a service document, TOML"`
	Platform string `arg:"--platform,required" help:"address of the platform's object API, IP:port"`
	Expect   *int64 `arg:"--expect" help:"version that the stored document must still have; 0 for none stored"`
}

type configShowArgs struct {
	Service  string `arg:"positional,required" help:"the service's name"`
	Platform string `arg:"--platform,required" help:"address of the platform's object API, IP:port"`
}

type configArgs struct {
	Check *configCheckArgs `arg:"subcommand:check" help:"check a document and name every fault"`
	Apply *configApplyArgs `arg:"subcommand:apply" help:"write a document and wait until it is accepted or refused"`
	Show  *configShowArgs  `arg:"subcommand:show" help:"show the stored and the accepted document"`
}

type adminArgs struct {
	Admin string `arg:"--admin,required" help:"an instance's administration address, IP:port"`
	Token string `arg:"--token,env:LAVENDERRING_TOKEN" help:"the operators' token"`
	Path  string `arg:"positional" default:"status" help:"what to show: status, accounts, metrics, events, or bills?request=ID"`
}

type quarantineListArgs struct{}

type quarantineOneArgs struct {
	ID string `arg:"positional,required" help:"the request's id in the quarantine, hexadecimal"`
}

type quarantineArgs struct {
	List    *quarantineListArgs `arg:"subcommand:list" help:"list the requests that are suspected or do not run"`
	Show    *quarantineOneArgs  `arg:"subcommand:show" help:"show one of them"`
	Release *quarantineOneArgs  `arg:"subcommand:release" help:"have one run again at all instances"`
	Admin   string              `arg:"--admin,required" help:"an instance's administration address, IP:port"`
	Token   string              `arg:"--token,env:LAVENDERRING_TOKEN" help:"the operators' token"`
	JSON    bool                `arg:"--json" help:"print JSON instead of a table"`
}

type domainListArgs struct{}

type domainOneArgs struct {
	Domain string `arg:"positional,required" help:"the failure domain's name"`
}

type domainArgs struct {
	Empty    *domainOneArgs  `arg:"subcommand:empty" help:"have a failure domain's upstreams get nothing new"`
	Restore  *domainOneArgs  `arg:"subcommand:restore" help:"take a failure domain back"`
	List     *domainListArgs `arg:"subcommand:list" help:"list the emptied failure domains"`
	Platform string          `arg:"--platform,required" help:"address of the platform's object API, IP:port"`
	JSON     bool            `arg:"--json" help:"print JSON instead of a table"`
}

type timelineArgs struct {
	Logs     []string `arg:"positional,required" help:"event log files of the processes"`
	Request  string   `arg:"--request" help:"show one request only"`
	Instance string   `arg:"--instance" help:"show one process only"`
}

type args struct {
	Serve      *serveArgs      `arg:"subcommand:serve" help:"run an instance until it is told to stop (SIGTERM)"`
	Route      *routeArgs      `arg:"subcommand:route" help:"run an instance on the users' platform until it is told to stop (SIGTERM)"`
	Config     *configArgs     `arg:"subcommand:config" help:"check, apply or show a service document"`
	Status     *adminArgs      `arg:"subcommand:status" help:"ask an instance"`
	Quarantine *quarantineArgs `arg:"subcommand:quarantine" help:"list, show or release requests that crash upstreams"`
	Domain     *domainArgs     `arg:"subcommand:domain" help:"empty, restore or list failure domains of served documents"`
	Timeline   *timelineArgs   `arg:"subcommand:timeline" help:"merge event logs into one time line"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "lavenderring: a router fleet for prepaid token budgets.\n" +
		"An instance stands between callers and upstreams; operators edit service documents."
}

// Epilogue implements arg.Epilogued.
func (args) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong arguments, settings or document."
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	if parser.Subcommand() == nil {
		parser.Fail("a command is needed; see --help")
	}
	if err := run(&a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var invalidSettings *settings.InvalidError
	if errors.As(err, &invalidSettings) || errors.Is(err, operator.ErrInvalidDocument) {
		return exitUsage
	}
	return exitFailed
}

func run(a *args) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch {
	case a.Serve != nil:
		return serve(ctx, a.Serve.Settings)
	case a.Route != nil:
		return route(ctx, a.Route.Settings)
	case a.Config != nil && a.Config.Check != nil:
		return operator.CheckDocument(os.Stdout, a.Config.Check.File)
	case a.Config != nil && a.Config.Apply != nil:
		apply := a.Config.Apply
		return operator.ApplyDocument(ctx, os.Stdout, apply.Platform, apply.File, apply.Expect)
	case a.Config != nil && a.Config.Show != nil:
		return operator.ShowDocument(ctx, os.Stdout, a.Config.Show.Platform, a.Config.Show.Service)
	case a.Status != nil:
		return operator.PrintAdminResponse(ctx, os.Stdout, a.Status.Admin, a.Status.Token, a.Status.Path)
	case a.Quarantine != nil:
		return runQuarantine(ctx, a.Quarantine)
	case a.Domain != nil:
		return runDomain(ctx, a.Domain)
	case a.Timeline != nil:
		return operator.Timeline(os.Stdout, a.Timeline.Logs, a.Timeline.Request, a.Timeline.Instance)
	default:
		return errors.New("config needs one of check, apply, show; see --help")
	}
}

func runQuarantine(ctx context.Context, q *quarantineArgs) error {
	admin := operator.AdminClient{Address: q.Admin, Token: q.Token}
	switch {
	case q.Show != nil:
		return operator.ShowQuarantined(ctx, os.Stdout, admin, q.Show.ID, q.JSON)
	case q.Release != nil:
		return operator.ReleaseQuarantined(ctx, os.Stdout, admin, q.Release.ID)
	default:
		return operator.ListQuarantine(ctx, os.Stdout, admin, q.JSON)
	}
}

func runDomain(ctx context.Context, d *domainArgs) error {
	switch {
	case d.Empty != nil:
		return operator.EmptyDomain(ctx, os.Stdout, d.Platform, d.Empty.Domain)
	case d.Restore != nil:
		return operator.RestoreDomain(ctx, os.Stdout, d.Platform, d.Restore.Domain)
	default:
		return operator.ListEmptiedDomains(ctx, os.Stdout, d.Platform, d.JSON)
	}
}

// serve runs an instance. On SIGHUP it checks the settings file, like route.
func serve(ctx context.Context, path string) error {
	hangups := hangup.Receive()
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	limitHeap(&s.Resources)
	i, err := instance.New(s, os.Stderr)
	if err != nil {
		return err
	}
	go func() {
		for range hangups {
			_, err := settings.Load(path)
			i.NoteSettings(err)
		}
	}()
	return i.Run(ctx)
}

// route runs an instance on the users' platform. On SIGHUP, which signals that the
// settings file has changed, it only checks the file: the settings say where the
// process runs and listens, which cannot change while it runs.
func route(ctx context.Context, path string) error {
	hangups := hangup.Receive()
	s, err := settings.LoadRouter(path)
	if err != nil {
		return err
	}
	limitHeap(&s.Resources)
	out := eventlog.NewBoundedWriter(os.Stdout, time.Now)
	defer out.Close()
	r, err := router.New(s, platform.Adapter(), out)
	if err != nil {
		return err
	}
	go func() {
		for range hangups {
			_, err := settings.LoadRouter(path)
			r.NoteSettings(err)
		}
	}()
	return r.Run(ctx)
}

// limitHeap sets the garbage collector's memory limit.
func limitHeap(r *settings.Resources) {
	if limit := r.HeapLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}
