package main

import (
	"context"
	"errors"
	"strings"

	"cottonplank/internal/testbench/experiment"

	"github.com/spf13/cobra"
)

const demoText = "Two balancers, three room servers and 60 clients start on loopback. " +
	`After 4 s a room server drains: its
clients are told to move, reconnect through either balancer with their session tokens and continue their sessions. After
7 s a balancer is killed.`

const demoExperiment = `{"name":"demo","balancers":2,"rooms":3,"sessions":60,"fill_s":2,"seconds":9,"troubles":[
{"at_s":4,"do":"drain","room":0},{"at_s":7,"do":"kill","balancer":0}]}`

// runCommand returns the command that runs a general experiment or a membership experiment.
func (l *lab) runCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Run an experiment",
		Args:  cobra.ExactArgs(1),
		Long: "Run the experiment of a file. The exit status is 0 if all invariants held, " +
			"1 if one was violated or the run failed,\nand 2 for an invalid file. A membership experiment ends " +
			"with 3, not 1, if it violated an invariant or missed\nanother objective. Progress goes to standard error.",
	}
	seed := c.Flags().Uint64("seed", 0, "seed to use instead of the one in the file")
	asJSON := jsonFlag(c, "object")
	c.RunE = func(c *cobra.Command, args []string) error {
		kind, err := experiment.FileKind(args[0])
		if err != nil {
			return invalid(err)
		}
		if !c.Flags().Changed("seed") {
			seed = nil
		}
		if kind != "" {
			return l.runMembership(c.Context(), args[0], seed, *asJSON)
		}
		e, err := experiment.Load(args[0])
		if err != nil {
			return invalid(err)
		}
		if seed != nil {
			e.Seed = *seed
		}
		return l.runExperiment(c.Context(), e, *asJSON)
	}
	return c
}

// demoCommand returns the command that runs a small built-in experiment.
func (l *lab) demoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Run a small built-in experiment that takes some seconds",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l.progress(demoText)
			e, err := experiment.Parse([]byte(demoExperiment))
			if err != nil {
				return invalid(err)
			}
			return l.runExperiment(c.Context(), e, false)
		},
	}
}

// runExperiment runs an experiment and prints the result. If the experiment asks for it, it runs again without tokens.
func (l *lab) runExperiment(ctx context.Context, e experiment.Experiment, asJSON bool) error {
	program, err := l.balancerProgram()
	if err != nil {
		return err
	}
	result, err := experiment.Run(ctx, program, e, l.progress)
	if err != nil {
		return failed(err)
	}
	if e.CompareWithoutTokens {
		e.ResumesSessions = false
		l.progress("second run, without session tokens")
		without, err := experiment.Run(ctx, program, e, l.progress)
		if err != nil {
			return failed(err)
		}
		result.WithoutTokens = &without
	}
	if err := l.print(result, asJSON, result.WriteTable); err != nil {
		return err
	}
	if !result.Passed() {
		return failed(errInvariant)
	}
	return nil
}

// runMembership runs the membership experiment of a file and prints the result. If seed is not nil, it replaces the
// seed of the file.
func (l *lab) runMembership(ctx context.Context, path string, seed *uint64, asJSON bool) error {
	e, err := experiment.LoadMembership(path)
	if err != nil {
		return invalid(err)
	}
	if seed != nil {
		e.Seed = *seed
	}
	program, err := l.balancerProgram()
	if err != nil {
		return err
	}
	result, err := experiment.RunMembership(ctx, program, e, l.progress)
	if err != nil {
		return failed(err)
	}
	if err := l.print(result, asJSON, result.WriteTable); err != nil {
		return err
	}
	return missedObjectives(result.MissedObjectives)
}

// missedObjectives returns an error with statusObjectiveMissed if an objective was missed.
func missedObjectives(missed []string) error {
	if len(missed) == 0 {
		return nil
	}
	return &exitError{statusObjectiveMissed, errors.New("objectives missed: " + strings.Join(missed, "; "))}
}
