// Command cottonplank-lab runs experiments with real balancers on loopback, with emulated clients, room servers and
// discovery, and checks the invariants. It also measures the resources that balancers use.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	statusPassed = 0
	// statusFailed means a violated invariant, a lost change or answer, a list version that decreased, or a run that
	// failed. Membership runs count violated invariants and lost answers as missed objectives.
	statusFailed = 1
	// statusInvalid means an invalid file, invalid usage, no balancer program, or a run that needs more resources than
	// the machine allows. Flag values that the measurements of the commands size and scale-compare reject result in
	// statusFailed instead.
	statusInvalid = 2
	// statusObjectiveMissed means that a membership run or a scale run missed an objective. For scale runs,
	// statusFailed takes precedence.
	statusObjectiveMissed = 3
)

// errInvariant is returned by the commands run, demo and size when an invariant was violated. Membership runs return an
// exitError with the missed objectives instead.
var errInvariant = errors.New("an invariant was violated")

// exitError is an error that determines the exit status of the command.
type exitError struct {
	status int
	err    error
}

// Error returns the text of the error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error.
func (e *exitError) Unwrap() error { return e.err }

// failed returns an error with statusFailed.
func failed(err error) error { return &exitError{statusFailed, err} }

// invalid returns an error with statusInvalid.
func invalid(err error) error { return &exitError{statusInvalid, err} }

// lab holds the options and the output streams that all commands share.
type lab struct {
	// balancer is the value of the flag --balancer; empty if it is not set.
	balancer string
	out      io.Writer
	errs     io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command of the arguments and returns its exit status.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	l := &lab{out: out, errs: errs}
	root := &cobra.Command{
		Use:               "cottonplank-lab",
		Short:             "Run experiments with cottonplank on loopback",
		SilenceErrors:     true,
		SilenceUsage:      true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.SetOut(out)
	root.SetErr(errs)
	root.SetArgs(args)
	root.PersistentFlags().StringVar(&l.balancer, "balancer", "",
		"the balancer's `program` (default: cottonplank in the directory of this program)")
	root.AddCommand(l.runCommand(), l.demoCommand(), l.sizeCommand(), l.slopeCommand(), l.scaleCommand(),
		l.scaleCompareCommand(), l.scaleWorkerCommand())
	executed, err := root.ExecuteContextC(ctx)
	if err == nil {
		return statusPassed
	}
	fmt.Fprintf(errs, "%s: %v\n", executed.CommandPath(), err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	fmt.Fprint(errs, executed.UsageString())
	return statusInvalid
}

// progress writes a line about the progress of a run to standard error.
func (l *lab) progress(line string) { fmt.Fprintln(l.errs, line) }

// print writes a result to standard output, as JSON or as a table.
func (l *lab) print(result any, asJSON bool, writeTable func(io.Writer) error) error {
	var err error
	if asJSON {
		err = json.NewEncoder(l.out).Encode(result)
	} else {
		err = writeTable(l.out)
	}
	if err != nil {
		return failed(err)
	}
	return nil
}

// jsonFlag adds the flag --json to a command. Its help text names the type of the output, "object" or "list".
func jsonFlag(c *cobra.Command, outputType string) *bool {
	return c.Flags().Bool("json", false, "print one JSON "+outputType+" and nothing else on standard output")
}

// balancerProgram returns the path of the balancer's program: the value of the flag --balancer, or cottonplank in the
// directory of this program.
func (l *lab) balancerProgram() (string, error) {
	program := l.balancer
	if program == "" {
		own, err := os.Executable()
		if err != nil {
			return "", failed(err)
		}
		program = filepath.Join(filepath.Dir(own), "cottonplank")
	}
	if _, err := os.Stat(program); err != nil {
		return "", invalid(fmt.Errorf("balancer program: %w", err))
	}
	return program, nil
}
