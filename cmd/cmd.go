// Package cmd is the command line: one file a subcommand.
//
// # Usage
//
//	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// The exit codes are 0 for success, 1 for faults found or a refused request, 2
// for a wrong command line, and 3 for a daemon that cannot be reached.
package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"

	"github.com/godwithatch/godwithatch/modules/setting"
)

// The exit codes.
const (
	ExitSuccess     = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitUnreachable = 3
)

// Version is the version of the program, set when it is built.
var Version = "development"

// errUnreachable is the class of errors of a daemon that cannot be reached.
var errUnreachable = errs.Class("daemon unreachable")

// errFound is the class of errors that a command has already printed.
var errFound = errs.Class("faults found")

type commands struct {
	JSON bool `help:"Print JSON for machines." name:"json"`

	Serve   serveCommand   `cmd:"" help:"Run the daemon."`
	Front   frontCommand   `cmd:"" help:"Serve clients on the users' platform."`
	Check   checkCommand   `cmd:"" help:"Check settings and tables; every fault is listed."`
	Status  statusCommand  `cmd:"" help:"Print the status of a daemon."`
	Dump    dumpCommand    `cmd:"" help:"Print the state of a daemon, section by section."`
	Trace   traceCommand   `cmd:"" help:"Tell the story of one request from log lines."`
	Query   queryCommand   `cmd:"" help:"Send one query and print its answer."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// output is where and how a command prints.
type output struct {
	w    io.Writer
	errw io.Writer
	json bool
}

// print writes v as JSON for machines, or calls human.
func (o *output) print(v any, human func(io.Writer)) error {
	if !o.json {
		human(o.w)
		return nil
	}
	e := json.NewEncoder(o.w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

const description = `A query tier over many shards.

Exit codes: 0 success, 1 faults found or request refused, 2 wrong command line,
3 daemon unreachable.`

// Main runs the command line and returns the exit code.
func Main(args []string, w, errw io.Writer) int {
	var c commands
	exit := -1
	parser, err := kong.New(&c,
		kong.Name("godwithatch"),
		kong.Description(description),
		kong.Writers(w, errw),
		kong.Exit(func(code int) { exit = code }),
	)
	if err != nil {
		fmt.Fprintln(errw, err)
		return ExitUsage
	}
	ctx, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintln(errw, "godwithatch:", err)
		return ExitUsage
	}
	err = ctx.Run(&output{w, errw, c.JSON})
	return exitCode(err, errw)
}

func exitCode(err error, errw io.Writer) int {
	var faults setting.Faults
	switch {
	case err == nil:
		return ExitSuccess
	case errFound.Has(err):
		return ExitFailure
	case errors.As(err, &faults):
		for _, f := range faults {
			fmt.Fprintln(errw, f.Error())
		}
		return ExitFailure
	case errUnreachable.Has(err):
		fmt.Fprintln(errw, "godwithatch:", err)
		return ExitUnreachable
	default:
		fmt.Fprintln(errw, "godwithatch:", err)
		return ExitFailure
	}
}
