// Command cottonplank-lab plays experiments with real balancers against stand-ins, on loopback, and checks the rules.
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
	"slices"
	"strings"
	"syscall"

	"cottonplank/internal/testbench/experiment"
	"cottonplank/internal/testbench/hollow"

	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	kept   = 0
	broken = 1 // a rule or an invariant broke, or the run itself failed
	bad    = 2 // a bad file, bad usage, or a run that does not fit the machine
	missed = 3 // all was kept, but an aim of a scale run was missed
)

// status is an error that has an exit status of its own.
type status struct {
	code int
	error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run returns the exit status.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	root := &cobra.Command{Use: "cottonplank-lab", Short: "Experiments with cottonplank on loopback", SilenceErrors: true,
		SilenceUsage: true, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	root.SetOut(out)
	root.SetErr(errs)
	root.SetArgs(args)
	var program string
	var asJSON bool
	root.PersistentFlags().StringVar(&program, "balancer", "", "the balancer's `program`; default: cottonplank beside this one")
	say := func(line string) { fmt.Fprintln(errs, line) }
	play := &cobra.Command{Use: "run FILE", Short: "Play an experiment", Args: cobra.ExactArgs(1),
		Long: "Play an experiment. The exit status is 0 if all rules and invariants were kept, 1 if one broke or the run failed,\n" +
			"and 2 for a bad file. Progress goes to standard error.",
		RunE: func(c *cobra.Command, args []string) error {
			kind, err := experiment.Kind(args[0])
			if err != nil {
				return status{bad, err}
			}
			if kind != "" {
				return membersRun(c, program, args[0], asJSON, out, say)
			}
			e, err := experiment.Load(args[0])
			if err != nil {
				return status{bad, err}
			}
			if c.Flags().Changed("seed") {
				e.Seed, _ = c.Flags().GetUint64("seed")
			}
			return runExperiment(c.Context(), program, e, asJSON, out, say)
		}}
	play.Flags().Uint64("seed", 0, "in place of the file's")
	play.Flags().BoolVar(&asJSON, "json", false, "print one JSON object and nothing else on standard output")
	demo := &cobra.Command{Use: "demo", Short: "Run a small fleet for some seconds and tell what happens", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			say(demoText)
			e, err := experiment.Parse([]byte(demoExperiment))
			if err != nil {
				return status{bad, err}
			}
			return runExperiment(c.Context(), program, e, false, out, say)
		}}
	var balancers, rooms []int
	var sessions int
	var seconds float64
	size := &cobra.Command{Use: "size", Short: "Measure what fleets of several sizes cost", Args: cobra.NoArgs,
		Long: "Measure what fleets cost while nothing goes wrong: the largest balancer's memory and descriptors, the mean one's processor\n" +
			"time, and probes, new and open connections at a room server in the mean.",
		RunE: func(c *cobra.Command, _ []string) error {
			path, err := balancerAt(program)
			if err != nil {
				return err
			}
			all, err := experiment.Sizes(c.Context(), path, balancers, rooms, sessions, seconds, say)
			if err != nil {
				return status{broken, err}
			}
			if asJSON {
				err = json.NewEncoder(out).Encode(all)
			} else {
				err = experiment.SizeTable(out, all)
			}
			if err != nil {
				return status{broken, err}
			}
			if slices.ContainsFunc(all, func(s experiment.Size) bool { return !s.Sound }) {
				return status{broken, errors.New("a rule or an invariant broke")}
			}
			return nil
		}}
	size.Flags().IntSliceVar(&balancers, "balancers", []int{3, 30, 300}, "numbers of balancers")
	size.Flags().IntSliceVar(&rooms, "rooms", []int{10, 90}, "numbers of room servers")
	size.Flags().IntVar(&sessions, "sessions", 10, "sessions for each room server")
	size.Flags().Float64Var(&seconds, "seconds", 20, "measured, once all sessions have come")
	size.Flags().BoolVar(&asJSON, "json", false, "print one JSON list and nothing else on standard output")
	var seed uint64
	grow := &cobra.Command{Use: "scale FILE", Short: "Play a scale run: hollow balancers beside real ones", Args: cobra.ExactArgs(1),
		Long: scaleText, RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.LoadScale(args[0])
			if err != nil {
				return status{bad, err}
			}
			if c.Flags().Changed("seed") {
				e.Seed = seed
			}
			return scaleRun(c.Context(), program, e, asJSON, out, say)
		}}
	grow.Flags().BoolVar(&asJSON, "json", false, "print one JSON object and nothing else on standard output")
	grow.Flags().Uint64Var(&seed, "seed", 0, "in place of the file's: whom the faults befall, and which room servers change")
	var servers []int // flags share no variable: each sets its default in it
	var each int
	var measured float64
	compare := &cobra.Command{Use: "scale-compare", Short: "Compare what hollow balancers cost with real ones", Args: cobra.NoArgs,
		Long: "Compare hollow balancers whose modules have the list with real ones without clients, before the same list and the same\n" +
			"changes, at several sizes of the list. A slope is the cost of 1,000 room servers more, from the first size to the last.",
		RunE: func(c *cobra.Command, _ []string) error {
			path, err := balancerAt(program)
			if err != nil {
				return err
			}
			own, err := os.Executable()
			if err != nil {
				return status{broken, err}
			}
			r, err := experiment.Compare(c.Context(), experiment.Programs{Balancer: path, Lab: own}, servers, each, measured, say)
			if err != nil {
				return status{broken, err}
			}
			if asJSON {
				err = json.NewEncoder(out).Encode(r)
			} else {
				err = r.Table(out)
			}
			if err != nil {
				return status{broken, err}
			}
			return nil
		}}
	compare.Flags().IntSliceVar(&servers, "servers", []int{1000, 2000, 4000}, "numbers of room servers, two at least")
	compare.Flags().IntVar(&each, "each", 3, "real balancers, and as many hollow ones")
	compare.Flags().Float64Var(&measured, "seconds", 10, "measured at each size")
	compare.Flags().BoolVar(&asJSON, "json", false, "print one JSON object and nothing else on standard output")
	work := &cobra.Command{Use: "scale-worker", Hidden: true, Args: cobra.NoArgs, Short: "Run hollow balancers for scale",
		RunE: func(c *cobra.Command, _ []string) error {
			if err := hollow.RunWorker(c.Context(), os.Stdin, out); err != nil {
				return status{broken, err}
			}
			return nil
		}}
	root.AddCommand(play, demo, size, slope(&program, out, say), grow, compare, work)
	called, err := root.ExecuteContextC(ctx)
	if err == nil {
		return kept
	}
	fmt.Fprintf(errs, "%s: %v\n", called.CommandPath(), err)
	var s status
	if errors.As(err, &s) {
		return s.code
	}
	fmt.Fprint(errs, called.UsageString())
	return bad
}

const demoText = `Two balancers, three room servers and 60 players start on loopback. After 4 s one room server drains: its
players are sent away, come back through either balancer with their tokens, and play on where they were. After 7 s one
balancer is killed.`

const demoExperiment = `{"name":"demo","balancers":2,"rooms":3,"sessions":60,"fill_s":2,"seconds":9,"troubles":[
{"at_s":4,"do":"drain","room":0},{"at_s":7,"do":"kill","balancer":0}]}`

const scaleText = `Play a scale run. Hollow balancers, some hundred in a process, are the balancer's control code over loopback
connections, without clients; real ones serve players beside them. Sources of the list are stand-ins, and "control"
counts them: there are no control machines. The run says beforehand what it takes, and refuses what does not fit half of
the machine's memory, 300 processes or the limit on descriptors.

Of the hollow balancers, "modules" have the whole list each: cpu_ms_per_s_p99_modules and control_mb_max are theirs. The
others are the list's followers over one copy in each process; times, lost changes and KB/s are of both kinds.

The exit status is 0 if all was kept, 1 if a change or an answer was lost, a version went back, a rule broke or the run
failed, 2 for a bad file or a run that does not fit, and 3 if an aim was missed. Progress goes to standard error.`

// balancerAt is the program that was named, or the one beside this.
func balancerAt(program string) (string, error) {
	if program == "" {
		own, err := os.Executable()
		if err != nil {
			return "", status{broken, err}
		}
		program = filepath.Join(filepath.Dir(own), "cottonplank")
	}
	if _, err := os.Stat(program); err != nil {
		return "", status{bad, fmt.Errorf("balancer: %w", err)}
	}
	return program, nil
}

// runExperiment runs e, and once more without tokens where it asks for that.
func runExperiment(ctx context.Context, program string, e experiment.Experiment, asJSON bool, out io.Writer, say func(string)) error {
	program, err := balancerAt(program)
	if err != nil {
		return err
	}
	result, err := experiment.Run(ctx, program, e, say)
	if err != nil {
		return status{broken, err}
	}
	if e.Beside {
		e.Tokens = false
		say("the same without tokens")
		without, err := experiment.Run(ctx, program, e, say)
		if err != nil {
			return status{broken, err}
		}
		result.Without = &without
	}
	if asJSON {
		err = json.NewEncoder(out).Encode(result)
	} else {
		err = result.Table(out)
	}
	if err != nil {
		return status{broken, err}
	}
	if !result.Sound() {
		return status{broken, errors.New("a rule or an invariant broke")}
	}
	return nil
}

// membersRun plays a run of members, whose faults are drawn from the seed.
func membersRun(c *cobra.Command, program, path string, asJSON bool, out io.Writer, say func(string)) error {
	e, err := experiment.LoadMembers(path)
	if err != nil {
		return status{bad, err}
	}
	if c.Flags().Changed("seed") {
		e.Seed, _ = c.Flags().GetUint64("seed")
	}
	if program, err = balancerAt(program); err != nil {
		return err
	}
	result, err := experiment.Members(c.Context(), program, e, say)
	if err != nil {
		return status{broken, err}
	}
	if asJSON {
		err = json.NewEncoder(out).Encode(result)
	} else {
		err = result.Table(out)
	}
	if err != nil {
		return status{broken, err}
	}
	if !result.Sound() {
		return status{missed, errors.New("aims missed: " + strings.Join(result.Missed, "; "))}
	}
	return nil
}

// scaleRun plays a scale run; this program is its processes of hollow balancers too.
func scaleRun(ctx context.Context, program string, e experiment.ScaleExperiment, asJSON bool, out io.Writer, say func(string)) error {
	program, err := balancerAt(program)
	if err != nil {
		return err
	}
	own, err := os.Executable()
	if err != nil {
		return status{broken, err}
	}
	result, err := experiment.Scale(ctx, experiment.Programs{Balancer: program, Lab: own}, e, say)
	if large := (experiment.TooLarge{}); errors.As(err, &large) {
		return status{bad, err}
	}
	if err != nil {
		return status{broken, err}
	}
	if asJSON {
		err = json.NewEncoder(out).Encode(result)
	} else {
		err = result.Table(out)
	}
	switch {
	case err != nil:
		return status{broken, err}
	case !result.Sound():
		return status{broken, errors.New("a change or an answer was lost, a version went back or a rule broke")}
	case len(result.Missed) > 0:
		return status{missed, errors.New("aims missed: " + strings.Join(result.Missed, "; "))}
	}
	return nil
}
