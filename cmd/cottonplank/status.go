package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

const (
	statusHeader = "ADDRESS\tSTATE\tGENERATION\tOPEN\tROOMS\tLEFT OUT\tSERVED/S\tREFUSED/S\tFAILED/S\tRESUMED/S\t" +
		"ALIVE/SUSPECT/FAILED\tFLEET\tCLUSTER"
	statusRow = "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%s\t%s\t%s\n"
)

func newStatusCommand(out io.Writer) *cobra.Command {
	var asJSON bool
	var interval time.Duration
	command := &cobra.Command{
		Use:   "status ADDRESS...",
		Short: "Print the status of the instances at these management addresses",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, addresses []string) error {
			if interval <= 0 {
				return fmt.Errorf("invalid --over %v: expected a duration greater than 0", interval)
			}
			instances := pollInstances(command.Context(), addresses, interval)
			if err := printInstances(out, instances, asJSON); err != nil {
				return &commandError{err}
			}
			return unreachableError(instances)
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print a JSON array instead of a table")
	command.Flags().DurationVar(&interval, "over", time.Second, "interval over which the rates are measured")
	return command
}

// unreachableError returns an error that names the instances that could not be polled, or nil if there are none.
func unreachableError(instances []instanceStatus) error {
	var unreachable []string
	for _, instance := range instances {
		if instance.Error != "" {
			unreachable = append(unreachable, instance.Address)
		}
	}
	if len(unreachable) == 0 {
		return nil
	}
	return &commandError{errors.New("no status of " + strings.Join(unreachable, ", "))}
}

func printInstances(out io.Writer, instances []instanceStatus, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(instances)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, statusHeader)
	for _, instance := range instances {
		if instance.Error != "" {
			fmt.Fprintf(table, "%s\t%s\n", instance.Address, instance.Error)
			continue
		}
		counts, size, health := instance.Cluster.columns()
		fmt.Fprintf(table, statusRow, instance.Address, instance.State, instance.Generation, instance.Open,
			instance.Listed, instance.Ejected, instance.Served, instance.Rejected, instance.Failed, instance.Resumed,
			counts, size, health)
	}
	return table.Flush()
}

// columns returns the last three columns of the table. Each is "-" if c is nil, because the instance is not a member
// of a cluster.
func (c *clusterStatus) columns() (counts, size, health string) {
	switch {
	case c == nil:
		return "-", "-", "-"
	case c.Isolated:
		health = "isolated"
	case c.Partitioned:
		health = "partitioned"
	default:
		health = "whole"
	}
	return fmt.Sprintf("%d/%d/%d", c.Alive, c.Suspect, c.Failed), strconv.FormatUint(c.FleetSize, 10), health
}
