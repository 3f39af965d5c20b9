package main

import (
	"context"
	"errors"
	"strings"

	"cottonplank/internal/testbench/experiment"

	"github.com/spf13/cobra"
)

const demoText = "Two balancers, three room servers and 60 players start on loopback. " +
	`After 4 s one room server drains: its
players are sent away, come back through either balancer with their tokens, and play on where they were. After 7 s one
balancer is killed.`

const demoExperiment = `{"name":"demo","balancers":2,"rooms":3,"sessions":60,"fill_s":2,"seconds":9,"troubles":[
{"at_s":4,"do":"drain","room":0},{"at_s":7,"do":"kill","balancer":0}]}`

// runCommand returns the command that runs an experiment, the usual one or one of the membership.
func (l *lab) runCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Play an experiment",
		Args:  cobra.ExactArgs(1),
		Long: "Play an experiment. The exit status is 0 if all rules and invariants were kept, " +
			"1 if one broke or the run failed,\n" +
			"and 2 for a bad file. Progress goes to standard error.",
	}
	seed := c.Flags().Uint64("seed", 0, "in place of the file's")
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

// demoCommand returns the command that runs a small experiment.
func (l *lab) demoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet for some seconds and tell what happens",
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

// runExperiment runs an experiment, and once more without tokens if it asks for that, and prints the result.
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
		l.progress("the same without tokens")
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

// runMembership runs the membership experiment of a file and prints the result. A seed that is not nil replaces that of
// the file.
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
	return &exitError{statusObjectiveMissed, errors.New("aims missed: " + strings.Join(missed, "; "))}
}
