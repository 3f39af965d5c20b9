package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

// Exit statuses of the program.
const (
	exitOK      = 0
	exitFailure = 1 // the command was called correctly and failed
	exitUsage   = 2 // unknown command, flag or argument
)

// commandError is the failure of a command that was called correctly. Any other error of a command is a usage error.
type commandError struct{ err error }

// Error returns the text of the failure.
func (e *commandError) Error() string { return e.err.Error() }

// Unwrap returns the failure.
func (e *commandError) Unwrap() error { return e.err }

// run executes the command that args name and returns the exit status.
func run(args []string, out, errs io.Writer) int {
	root := newRootCommand(out)
	root.SetOut(out)
	root.SetErr(errs)
	root.SetArgs(withLongFlags(args))
	if len(args) == 0 {
		root.SetOut(errs)
		root.Usage()
		return exitUsage
	}
	called, err := root.ExecuteC()
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(errs, "%s: %v\n", called.CommandPath(), err)
	var failed *commandError
	if errors.As(err, &failed) {
		return exitFailure
	}
	fmt.Fprint(errs, called.UsageString())
	return exitUsage
}

// withLongFlags turns -fronts into --fronts: the program took it with one dash before its flags had two.
func withLongFlags(args []string) []string {
	long := make([]string, len(args))
	for i, arg := range args {
		long[i] = arg
		if arg == "-fronts" || strings.HasPrefix(arg, "-fronts=") {
			long[i] = "-" + arg
		}
	}
	return long
}

// newRootCommand returns the program's command tree; the commands print their results to out.
func newRootCommand(out io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:               "cottonplank",
		Short:             "A balancer for long-lived connections",
		SilenceErrors:     true,
		SilenceUsage:      true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.AddCommand(
		newServeCommand(out),
		newCheckCommand(out),
		newStatusCommand(out),
		newControlCommand(out),
		newCommand(out, "version", "Print the version", printVersion),
		newKeysCommand(out),
	)
	return root
}

// newCommand returns a command without arguments. An error of do is a commandError.
func newCommand(out io.Writer, use, short string, do func(io.Writer) error) *cobra.Command {
	execute := func(*cobra.Command, []string) error {
		if err := do(out); err != nil {
			return &commandError{err}
		}
		return nil
	}
	return &cobra.Command{Use: use, Short: short, Args: noArguments, RunE: execute}
}

func newServeCommand(out io.Writer) *cobra.Command {
	var frontsFile string
	command := newCommand(out, "serve",
		"Run the balancer; configuration comes from PROXY_CONFIG, discovery and keys again at SIGHUP",
		func(io.Writer) error { return serve(frontsFile) })
	addFrontsFlag(command, &frontsFile)
	return command
}

func newCheckCommand(out io.Writer) *cobra.Command {
	var frontsFile, controlServerFile string
	command := newCommand(out, "check", "Read and check the configuration, then exit",
		func(out io.Writer) error { return check(out, frontsFile, controlServerFile) })
	command.Flags().StringVar(&controlServerFile, "control", "",
		"a control machine's `file`, which is checked in place of the balancer's")
	addFrontsFlag(command, &frontsFile)
	return command
}

func addFrontsFlag(command *cobra.Command, frontsFile *string) {
	command.Flags().StringVar(frontsFile, "fronts", "",
		"`file` that switches QUIC, SNMP, the resumption of sessions and control machines on")
}

func noArguments(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected argument %q", args[0])
	}
	return nil
}
