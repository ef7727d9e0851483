// Package cli implements the command line of auburnmoor.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/auburnmoor/auburnmoor/result"
	"github.com/auburnmoor/auburnmoor/settings"
)

// Exit codes.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// commands defines the subcommands; kong derives their names from the field names.
type commands struct {
	Serve    serveCmd    `cmd:"" help:"Run one entry instance."`
	Dev      devCmd      `cmd:"" help:"Run a whole small site in this process, with stand-ins."`
	Config   configCmd   `cmd:"" help:"Work with settings files."`
	Manifest manifestCmd `cmd:"" help:"Work with manifests."`
	Apply    applyCmd    `cmd:"" help:"Have a manifest accepted as the configuration in force."`
	Status   statusCmd   `cmd:"" help:"Show what entry instances hold."`
	Bench    benchCmd    `cmd:"" help:"Run the experiments in virtual time."`
	Passes   passesCmd   `cmd:"" help:"Play loads, known ones and drawn ones, against the placing of requests, in virtual time."`
	Load     loadCmd     `cmd:"" help:"Send a load to real addresses and check every answer."`
	Faults   faultsCmd   `cmd:"" help:"Inject faults into the state machines in virtual time."`
	Dump     dumpCmd     `cmd:"" help:"Print the state dump of an instance."`
	Clear    clearCmd    `cmd:"" help:"Have a request run again that is refused because servers crashed with it."`
	Explain  explainCmd  `cmd:"" help:"Tell the story of one request from the logs of all instances."`
	Losses   lossesCmd   `cmd:"" help:"Tell from the logs of all instances which requests were lost, and why."`
	Soak     soakCmd     `cmd:"" help:"Run real processes under faults drawn from seeds and check what callers get."`
	Suspects suspectsCmd `cmd:"" help:"Play requests that crash servers among others, in virtual time."`
	Parts    partsCmd    `cmd:"" help:"Simulate prompts with a part that ends the servers that answer it."`
	Standin  standinCmd  `cmd:"" help:"Run one stand-in of an outside system."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

// env carries the context and output streams that are passed to a command.
type env struct {
	ctx context.Context
	out io.Writer
	err io.Writer
}

// errUsage marks errors caused by invalid arguments or input files; they exit with ExitUsage.
var errUsage = errors.New("bad input")

func usageError(err error) error { return errors.Mark(err, errUsage) }

// exit is the panic value that carries the exit code when kong exits by itself, as on --help.
type exit struct{ code int }

// Main parses args, runs the command and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if r := recover(); r != nil {
			e, ok := r.(exit)
			if !ok {
				panic(r)
			}
			code = e.code
		}
	}()
	var grammar commands
	parser, err := kong.New(&grammar, kong.Name("auburnmoor"),
		kong.Description("A serving layer for prompts of very unlike lengths."),
		kong.UsageOnError(), kong.Writers(stdout, stderr), kong.Exit(func(c int) { panic(exit{c}) }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	kctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "auburnmoor: %v\nRun \"auburnmoor --help\" for usage.\n", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return reportError(stderr, kctx.Run(&env{ctx: ctx, out: stdout, err: stderr}))
}

// reportError prints err, if any, and returns the exit code for it.
func reportError(stderr io.Writer, err error) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintf(stderr, "auburnmoor: %v\n", err)
	var problems settings.Problems
	var coded *result.Error
	switch {
	case errors.As(err, &problems), errors.Is(err, errUsage):
		return ExitUsage
	case errors.As(err, &coded) && coded.Code == result.ConfigInvalid:
		return ExitUsage
	default:
		return ExitFailed
	}
}
