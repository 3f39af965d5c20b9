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
	exitFailure = 1 // valid command line, but the command failed; also for an --after or --for that keys new rejects
	exitUsage   = 2 // any other invalid command line, such as an unknown command, flag or argument
)

// commandError is an error for which the program exits with exitFailure. Any other error of a command is a usage error
// (exitUsage).
type commandError struct{ err error }

// Error returns the text of the wrapped error.
func (e *commandError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *commandError) Unwrap() error { return e.err }

// run executes the command that args select and returns the exit status. Without arguments it prints the usage to
// errs.
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

// withLongFlags returns a copy of args in which --fronts replaces -fronts. Older versions of the program had this flag
// with one dash, and existing service units may still use it.
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
		Short:             "A load balancer for long-lived connections",
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

// newCommand returns a command without arguments. It wraps an error of do in a commandError.
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
		"Run the balancer with configuration file $PROXY_CONFIG; SIGHUP reloads discovery address, endpoint file and keys",
		func(io.Writer) error { return serve(frontsFile) })
	addFrontsFlag(command, &frontsFile)
	return command
}

func newCheckCommand(out io.Writer) *cobra.Command {
	var frontsFile, controlServerFile string
	command := newCommand(out, "check", "Validate the configuration files and print a summary",
		func(out io.Writer) error { return check(out, frontsFile, controlServerFile) })
	command.Flags().StringVar(&controlServerFile, "control", "",
		"validate this configuration `file` of a control-plane server instead of the balancer's")
	addFrontsFlag(command, &frontsFile)
	return command
}

func addFrontsFlag(command *cobra.Command, frontsFile *string) {
	command.Flags().StringVar(frontsFile, "fronts", "",
		"`file` that enables QUIC, SNMP, session resumption, an endpoint file, membership and the control plane")
}

func noArguments(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected argument %q", args[0])
	}
	return nil
}
