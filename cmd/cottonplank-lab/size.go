package main

import (
	"io"
	"slices"

	"cottonplank/internal/testbench/experiment"

	"github.com/spf13/cobra"
)

// sizeCommand returns the command that measures the costs of fleets of several sizes.
func (l *lab) sizeCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "size",
		Short: "Measure the costs of fleets of several sizes",
		Args:  cobra.NoArgs,
		Long: "Measure the costs of fleets without faults: " +
			"the largest memory and number of descriptors of a balancer, the mean processor\n" +
			`time of a balancer, and for a room server the mean probes and new connections per second and the mean and
largest number of open connections at the end. Discovery calls per second are those of the whole fleet.`,
	}
	var sizes experiment.FleetSizes
	c.Flags().IntSliceVar(&sizes.Balancers, "balancers", []int{3, 30, 300}, "numbers of balancers")
	c.Flags().IntSliceVar(&sizes.RoomServers, "rooms", []int{10, 90}, "numbers of room servers")
	c.Flags().IntVar(&sizes.SessionsPerServer, "sessions", 10, "number of sessions for each room server")
	c.Flags().Float64Var(&sizes.Seconds, "seconds", 20, "duration of the measurement, after all sessions have started")
	asJSON := jsonFlag(c, "list")
	c.RunE = func(c *cobra.Command, _ []string) error {
		program, err := l.balancerProgram()
		if err != nil {
			return err
		}
		costs, err := experiment.FleetCosts(c.Context(), program, sizes, l.progress)
		if err != nil {
			return failed(err)
		}
		writeTable := func(out io.Writer) error { return experiment.WriteFleetCosts(out, costs) }
		if err := l.print(costs, *asJSON, writeTable); err != nil {
			return err
		}
		if slices.ContainsFunc(costs, func(c experiment.FleetCost) bool { return !c.Passed }) {
			return failed(errInvariant)
		}
		return nil
	}
	return c
}
