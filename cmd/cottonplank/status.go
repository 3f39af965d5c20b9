package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"cottonplank/internal/operations/management"

	"github.com/spf13/cobra"
)

// instance is one line of the status, in the form of its JSON. Rates are a second's, over the time that was asked for.
type instance struct {
	Address    string   `json:"address"`
	State      string   `json:"state"` // as PING tells it; empty: it does not answer
	Error      string   `json:"error,omitempty"`
	Generation uint64   `json:"generation"` // of its configuration; 0: it tells none
	Open       uint64   `json:"open_requests"`
	Listed     uint64   `json:"registry_entries"`
	LeftOut    uint64   `json:"out_of_rotation"`
	Served     float64  `json:"served_per_s"`
	Refused    float64  `json:"refused_per_s"`
	Failed     float64  `json:"failed_per_s"`
	Resumed    float64  `json:"resumed_per_s"`
	Members    *members `json:"members,omitempty"` // nil: it is no member of a cluster
}

// members is the cluster as an instance sees it.
type members struct {
	Alive       uint64 `json:"alive"`
	Suspect     uint64 `json:"suspect"`
	Failed      uint64 `json:"failed"`
	FleetSize   uint64 `json:"fleet_size"`
	Isolated    bool   `json:"isolated"`
	Partitioned bool   `json:"partitioned"`
}

// membersOf reads an instance's figures; nil: it tells none.
func membersOf(figures map[string]uint64) *members {
	if _, told := figures["members_alive"]; !told {
		return nil
	}
	return &members{Alive: figures["members_alive"], Suspect: figures["members_suspect"], Failed: figures["members_failed"],
		FleetSize: figures["fleet_size"], Isolated: figures["isolated"] > 0, Partitioned: figures["partitioned"] > 0}
}

// columns are those of the table.
func (m *members) columns() (counts, size, cluster string) {
	switch {
	case m == nil:
		return "-", "-", "-"
	case m.Isolated:
		cluster = "isolated"
	case m.Partitioned:
		cluster = "partitioned"
	default:
		cluster = "whole"
	}
	return fmt.Sprintf("%d/%d/%d", m.Alive, m.Suspect, m.Failed), strconv.FormatUint(m.FleetSize, 10), cluster
}

func statusCommand(out io.Writer) *cobra.Command {
	var asJSON bool
	var over time.Duration
	c := &cobra.Command{Use: "status ADDRESS...", Short: "Tell how instances are, by their management addresses",
		Args: cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, addresses []string) error {
			if over <= 0 {
				return fmt.Errorf("--over: %v is not above 0", over)
			}
			all := ask(c.Context(), addresses, over)
			if err := show(out, all, asJSON); err != nil {
				return failure{err}
			}
			var silent []string
			for _, in := range all {
				if in.Error != "" {
					silent = append(silent, in.Address)
				}
			}
			if len(silent) > 0 {
				return failure{errors.New("no status of " + strings.Join(silent, ", "))}
			}
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON array")
	c.Flags().DurationVar(&over, "over", time.Second, "the time over which rates are counted")
	return c
}

// ask asks all instances at once; one that does not answer holds up no other.
func ask(ctx context.Context, addresses []string, over time.Duration) []instance {
	all := make([]instance, len(addresses))
	var asking sync.WaitGroup
	for i, address := range addresses {
		asking.Go(func() {
			all[i].Address = address
			if err := all[i].ask(ctx, over); err != nil {
				all[i].Error = err.Error()
			}
		})
	}
	asking.Wait()
	return all
}

func (in *instance) ask(ctx context.Context, over time.Duration) error {
	pong, err := management.Query(ctx, in.Address, "PING")
	if err != nil {
		return err
	}
	_, in.State, _ = strings.Cut(pong[0], " ")
	before, err := management.ParseMetrics(ctx, in.Address)
	if err != nil {
		return err
	}
	from := time.Now()
	select {
	case <-time.After(over):
	case <-ctx.Done():
		return ctx.Err()
	}
	now, err := management.ParseMetrics(ctx, in.Address)
	if err != nil {
		return err
	}
	seconds := time.Since(from).Seconds()
	rate := func(prefix string) float64 {
		sum := 0.0
		for name, n := range now {
			if name == prefix || strings.HasPrefix(name, prefix+".") {
				sum += float64(n) - float64(before[name])
			}
		}
		return sum / seconds
	}
	in.Generation, in.Open, in.Listed, in.LeftOut = now["generation"], now["open_requests"], now["registry_entries"], now["out_of_rotation"]
	in.Members = membersOf(now)
	in.Served, in.Refused, in.Failed, in.Resumed = rate("fulfilled"), rate("throttled"), rate("faulted"), rate("resumed")
	return nil
}

func show(out io.Writer, all []instance, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(all)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ADDRESS\tSTATE\tGENERATION\tOPEN\tROOMS\tLEFT OUT\tSERVED/S\tREFUSED/S\tFAILED/S\tRESUMED/S\tALIVE/SUSPECT/FAILED\tFLEET\tCLUSTER")
	for _, in := range all {
		if in.Error != "" {
			fmt.Fprintf(table, "%s\t%s\n", in.Address, in.Error)
			continue
		}
		counts, size, cluster := in.Members.columns()
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%s\t%s\t%s\n", in.Address, in.State, in.Generation, in.Open,
			in.Listed, in.LeftOut, in.Served, in.Refused, in.Failed, in.Resumed, counts, size, cluster)
	}
	return table.Flush()
}
