package main

import (
	"fmt"
	"io"

	"cottonplank/internal/testbench/experiment"

	"github.com/spf13/cobra"
)

// maxChangesPerSecond is the largest accepted value of the flag --changes.
const maxChangesPerSecond = 1000

// slopeOptions are the flags of both subcommands of slope.
type slopeOptions struct {
	// seconds is the duration of each measurement.
	seconds float64
	asJSON  bool
}

// slopeCommand returns the command that measures how the cost of one balancer grows with the list or with deliveries.
func (l *lab) slopeCommand() *cobra.Command {
	c := &cobra.Command{Use: "slope", Short: "Measure how the cost of one balancer grows"}
	options := &slopeOptions{}
	c.PersistentFlags().Float64Var(&options.seconds, "seconds", 10,
		"duration of each measurement, without the start of the balancer")
	c.PersistentFlags().BoolVar(&options.asJSON, "json", false,
		"print one JSON list and nothing else on standard output")
	c.AddCommand(l.slopeListCommand(options), l.slopeDeliveriesCommand(options))
	return c
}

// slopeListCommand returns the subcommand that measures the costs of lists.
func (l *lab) slopeListCommand(options *slopeOptions) *cobra.Command {
	c := &cobra.Command{
		Use:   "list",
		Short: "Measure the cost by the number of room servers in the list",
		Args:  cobra.NoArgs,
		Long: "Measure the cost of one balancer without connections, with lists of several lengths: " +
			"of receiving the whole list\nat the start, of a period without changes, and of each change of one entry.",
	}
	var list experiment.ListCostOptions
	c.Flags().IntSliceVar(&list.Servers, "servers", []int{90, 600, 5000, 20000}, "numbers of room servers")
	c.Flags().Float64Var(&list.ChangesPerSecond, "changes", 20, "changes per second, each of one entry")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if list.ChangesPerSecond <= 0 || list.ChangesPerSecond > maxChangesPerSecond {
			return invalid(fmt.Errorf("changes: %v, expected above 0 and at most %d",
				list.ChangesPerSecond, maxChangesPerSecond))
		}
		program, err := l.balancerProgram()
		if err != nil {
			return err
		}
		list.Seconds = options.seconds
		costs, err := experiment.ListCosts(c.Context(), program, list, l.progress)
		if err != nil {
			return failed(err)
		}
		return l.print(costs, options.asJSON, func(out io.Writer) error {
			return experiment.WriteListCosts(out, costs)
		})
	}
	return c
}

// slopeDeliveriesCommand returns the subcommand that measures the costs of established connections and of lines that a
// room server sends through them.
func (l *lab) slopeDeliveriesCommand(options *slopeOptions) *cobra.Command {
	c := &cobra.Command{
		Use:   "deliveries",
		Short: "Measure the cost of established connections and deliveries",
		Args:  cobra.NoArgs,
		Long: "Measure the cost of one balancer with established connections, " +
			"while a room server sends lines of 200 bytes\nat several rates.",
	}
	var deliveries experiment.DeliveryOptions
	c.Flags().IntVar(&deliveries.Connections, "connections", 2000, "number of established connections")
	c.Flags().Float64SliceVar(&deliveries.Rates, "rates", []float64{1000, 4000, 16000, 28000}, "lines per second")
	c.RunE = func(c *cobra.Command, _ []string) error {
		program, err := l.balancerProgram()
		if err != nil {
			return err
		}
		deliveries.Seconds = options.seconds
		costs, err := experiment.DeliveryCosts(c.Context(), program, deliveries, l.progress)
		if err != nil {
			return failed(err)
		}
		return l.print(costs, options.asJSON, func(out io.Writer) error {
			return experiment.WriteDeliveryCosts(out, costs)
		})
	}
	return c
}
