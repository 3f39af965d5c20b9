package main

import (
	"context"
	"errors"
	"os"

	"cottonplank/internal/testbench/experiment"
	"cottonplank/internal/testbench/hollow"

	"github.com/spf13/cobra"
)

const scaleText = "Run a scale experiment. Hollow balancers, several hundred in a process, " +
	`run the balancer's code for the
endpoint list over loopback connections, without clients. A few real balancers serve clients. The list comes from
emulated replicas of discovery; "control" in the result is the number of these replicas. The run has no control-plane
servers. Before it starts, it prints the resources that it needs. It refuses to start if they exceed half of the
machine's memory, 300 processes or the limit on descriptors.

"modules" is the number of hollow balancers that each hold the whole list; cpu_ms_per_s_p99_modules and control_mb_max
are the processor time and the memory of one of them. The others in a process share one copy of the list. The times to
apply a change, the lost changes and KB/s include both kinds of hollow balancers.

The exit status is 0 if nothing was lost or violated, 1 if a change or an answer was lost, the list version of a hollow
balancer went down, an invariant was violated or the run failed, 2 for an invalid file or a run that needs too many
resources, and 3 if only an objective was missed. Progress goes to standard error.`

// errScaleFailed is returned when a scale run has not passed.
var errScaleFailed = errors.New("a change or an answer was lost, a list version went down or an invariant was violated")

// scaleCommand returns the command that runs a scale experiment.
func (l *lab) scaleCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "scale FILE",
		Short: "Run a scale experiment with hollow and real balancers",
		Args:  cobra.ExactArgs(1),
		Long:  scaleText,
	}
	asJSON := jsonFlag(c, "object")
	seed := c.Flags().Uint64("seed", 0, "seed of the faults and changes to use instead of the one in the file")
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

// scalePrograms returns the programs of a scale run. The worker program is this program itself.
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
		Short: "Compare the costs of hollow and real balancers",
		Args:  cobra.NoArgs,
		Long: "Compare hollow balancers that hold the whole list with real balancers without clients, " +
			"with the same lists of several\n" +
			"sizes and the same changes. " +
			"A slope is the cost of 1,000 more room servers, calculated from the first and the last size.",
	}
	var options experiment.ComparisonOptions
	c.Flags().IntSliceVar(&options.Servers, "servers", []int{1000, 2000, 4000}, "numbers of room servers, at least two")
	c.Flags().IntVar(&options.Nodes, "each", 3, "number of real balancers, and of hollow ones")
	c.Flags().Float64Var(&options.Seconds, "seconds", 10, "duration of the measurement at each size")
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

// scaleWorkerCommand returns the command of the worker processes, which scale runs and comparisons start.
func (l *lab) scaleWorkerCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "scale-worker",
		Short:  "Run hollow balancers for the commands scale and scale-compare",
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
