// Package cmd implements the command line, with one file for each subcommand.
//
// # Usage
//
//	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// The exit code is 0 for success, 1 if faults were found or a request was refused, 2
// for an invalid command line, and 3 if the daemon cannot be reached.
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

// The exit codes of the program.
const (
	ExitSuccess     = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitUnreachable = 3
)

// Version is the version of the program. The linker sets it at build time.
var Version = "development"

// errUnreachable is the class of errors for a daemon that cannot be reached.
var errUnreachable = errs.Class("daemon unreachable")

// errFound is the class of errors that only set the exit code. The command has already
// printed its findings.
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

// output holds the writers and the format of a command's output.
type output struct {
	w      io.Writer
	errw   io.Writer
	asJSON bool
}

// printOutput writes v as indented JSON if the user asked for JSON. Otherwise it calls
// writeText to write text.
func (o *output) printOutput(v any, writeText func(io.Writer)) error {
	if !o.asJSON {
		writeText(o.w)
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
	parserExitCode := -1
	parser, err := kong.New(&c,
		kong.Name("godwithatch"),
		kong.Description(description),
		kong.Writers(w, errw),
		kong.Exit(func(code int) { parserExitCode = code }),
	)
	if err != nil {
		fmt.Fprintln(errw, err)
		return ExitUsage
	}
	ctx, err := parser.Parse(args)
	if parserExitCode >= 0 {
		return parserExitCode
	}
	if err != nil {
		fmt.Fprintln(errw, "godwithatch:", err)
		return ExitUsage
	}
	err = ctx.Run(&output{w, errw, c.JSON})
	return exitCode(err, errw)
}

// exitCode returns the exit code for the error of a command. It prints the error, unless
// the command has already printed its findings.
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
