package main

import (
	"encoding/json"
	"fmt"
	"io"

	"cottonplank/internal/testbench/experiment"

	"github.com/spf13/cobra"
)

// slope is the command that measures what one balancer's cost grows with.
func slope(program *string, out io.Writer, say func(string)) *cobra.Command {
	var servers []int
	var rates []float64
	var connections int
	var seconds, changes float64
	var asJSON bool
	print := func(all any, table func() error) error {
		if asJSON {
			return json.NewEncoder(out).Encode(all)
		}
		return table()
	}
	list := &cobra.Command{Use: "list", Short: "By the length of the list of room servers", Args: cobra.NoArgs,
		Long: "Measure one balancer without connections before lists of several lengths: the whole list, the rest, and changes of one entry.",
		RunE: func(c *cobra.Command, _ []string) error {
			if changes <= 0 || changes > 1000 {
				return status{bad, fmt.Errorf("changes: %v, above 0 and up to 1000 expected", changes)}
			}
			path, err := balancerAt(*program)
			if err != nil {
				return err
			}
			all, err := experiment.ListSlopes(c.Context(), path, servers, seconds, changes, say)
			if err == nil {
				err = print(all, func() error { return experiment.ListSlopeTable(out, all) })
			}
			if err != nil {
				return status{broken, err}
			}
			return nil
		}}
	list.Flags().IntSliceVar(&servers, "servers", []int{90, 600, 5000, 20000}, "numbers of room servers")
	list.Flags().Float64Var(&changes, "changes", 20, "of one entry, a second")
	deliveries := &cobra.Command{Use: "deliveries", Short: "By what standing connections and deliveries cost", Args: cobra.NoArgs,
		Long: "Measure one balancer through which connections stand, while a room server sends lines of 200 bytes at several rates.",
		RunE: func(c *cobra.Command, _ []string) error {
			path, err := balancerAt(*program)
			if err != nil {
				return err
			}
			all, err := experiment.Deliveries(c.Context(), path, connections, rates, seconds, say)
			if err == nil {
				err = print(all, func() error { return experiment.DeliveryTable(out, all) })
			}
			if err != nil {
				return status{broken, err}
			}
			return nil
		}}
	deliveries.Flags().IntVar(&connections, "connections", 2000, "that stand")
	deliveries.Flags().Float64SliceVar(&rates, "rates", []float64{1000, 4000, 16000, 28000}, "deliveries a second")
	both := &cobra.Command{Use: "slope", Short: "Measure what one balancer's cost grows with"}
	both.PersistentFlags().Float64Var(&seconds, "seconds", 10, "of each measurement")
	both.PersistentFlags().BoolVar(&asJSON, "json", false, "print one JSON list and nothing else on standard output")
	both.AddCommand(list, deliveries)
	return both
}
