package main

import (
	"context"
	"errors"
	"os"

	"cottonplank/internal/testbench/experiment"
	"cottonplank/internal/testbench/hollow"

	"github.com/spf13/cobra"
)

const scaleText = "Play a scale run. Hollow balancers, some hundred in a process, " +
	`are the balancer's control code over loopback
connections, without clients; real ones serve players beside them. Sources of the list are stand-ins, and "control"
counts them: there are no control machines. The run says beforehand what it takes, and refuses what does not fit half of
the machine's memory, 300 processes or the limit on descriptors.

Of the hollow balancers, "modules" have the whole list each: cpu_ms_per_s_p99_modules and control_mb_max are theirs. The
others are the list's followers over one copy in each process; times, lost changes and KB/s are of both kinds.

The exit status is 0 if all was kept, 1 if a change or an answer was lost, a version went back, a rule broke or the run
failed, 2 for a bad file or a run that does not fit, and 3 if an aim was missed. Progress goes to standard error.`

// errScaleFailed is returned when a scale run has not passed.
var errScaleFailed = errors.New("a change or an answer was lost, a version went back or a rule broke")

// scaleCommand returns the command that runs a scale experiment.
func (l *lab) scaleCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "scale FILE",
		Short: "Play a scale run: hollow balancers beside real ones",
		Args:  cobra.ExactArgs(1),
		Long:  scaleText,
	}
	asJSON := jsonFlag(c, "object")
	seed := c.Flags().Uint64("seed", 0, "in place of the file's: whom the faults befall, and which room servers change")
	c.RunE = func(c *cobra.Command, args []string) error {
		e, err := experiment.LoadScale(args[0])
		if err != nil {
			return invalid(err)
		}
		if c.Flags().Changed("seed") {
			e.Seed = *seed
		}
		return l.runScale(c.Context(), e, *asJSON)
	}
	return c
}

// scalePrograms returns the programs of a scale run; this one runs the hollow nodes.
func (l *lab) scalePrograms() (experiment.Programs, error) {
	balancer, err := l.balancerProgram()
	if err != nil {
		return experiment.Programs{}, err
	}
	own, err := os.Executable()
	if err != nil {
		return experiment.Programs{}, failed(err)
	}
	return experiment.Programs{Balancer: balancer, Worker: own}, nil
}

// runScale runs a scale experiment and prints the result.
func (l *lab) runScale(ctx context.Context, e experiment.ScaleExperiment, asJSON bool) error {
	programs, err := l.scalePrograms()
	if err != nil {
		return err
	}
	result, err := experiment.RunScale(ctx, programs, e, l.progress)
	var tooLarge *experiment.TooLargeError
	if errors.As(err, &tooLarge) {
		return invalid(err)
	}
	if err != nil {
		return failed(err)
	}
	if err := l.print(result, asJSON, result.WriteTable); err != nil {
		return err
	}
	if !result.Passed() {
		return failed(errScaleFailed)
	}
	return missedObjectives(result.MissedObjectives)
}

// scaleCompareCommand returns the command that compares the costs of hollow nodes and real balancers.
func (l *lab) scaleCompareCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "scale-compare",
		Short: "Compare what hollow balancers cost with real ones",
		Args:  cobra.NoArgs,
		Long: "Compare hollow balancers whose modules have the list with real ones without clients, " +
			"before the same list and the same\n" +
			"changes, at several sizes of the list. " +
			"A slope is the cost of 1,000 room servers more, from the first size to the last.",
	}
	var options experiment.ComparisonOptions
	c.Flags().IntSliceVar(&options.Servers, "servers", []int{1000, 2000, 4000}, "numbers of room servers, two at least")
	c.Flags().IntVar(&options.Nodes, "each", 3, "real balancers, and as many hollow ones")
	c.Flags().Float64Var(&options.Seconds, "seconds", 10, "measured at each size")
	asJSON := jsonFlag(c, "object")
	c.RunE = func(c *cobra.Command, _ []string) error {
		programs, err := l.scalePrograms()
		if err != nil {
			return err
		}
		comparison, err := experiment.CompareScale(c.Context(), programs, options, l.progress)
		if err != nil {
			return failed(err)
		}
		return l.print(comparison, *asJSON, comparison.WriteTable)
	}
	return c
}

// scaleWorkerCommand returns the command that runs hollow nodes for the process of a scale run.
func (l *lab) scaleWorkerCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "scale-worker",
		Short:  "Run hollow balancers for scale",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := hollow.RunWorker(c.Context(), os.Stdin, l.out); err != nil {
				return failed(err)
			}
			return nil
		},
	}
}
