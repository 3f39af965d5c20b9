package experiment

import (
	"bytes"
	"io"
	"strings"
	"testing"
)

// wantTableLines checks the number of lines that a function writes.
func wantTableLines(t *testing.T, lines int, write func(io.Writer) error) {
	t.Helper()
	var table bytes.Buffer
	if err := write(&table); err != nil || strings.Count(table.String(), "\n") != lines {
		t.Errorf("%v, want %d lines: %s", err, lines, table.String())
	}
}

// A balancer applies a list, and the measured costs are plausible: it has read at least as many bytes as the entries
// need, and reads more with changes than without.
func TestListCosts(t *testing.T) {
	t.Parallel()
	options := ListCostOptions{Servers: []int{400}, Seconds: 1.5, ChangesPerSecond: 4}
	costs, err := ListCosts(t.Context(), buildBalancer(t), options, noProgress)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range costs {
		const minEntryKB = 0.1
		if c.AppliedSeconds <= 0 || c.StartKB < float64(c.Servers)*minEntryKB || c.StartCPUMs <= 0 {
			t.Errorf("costs of the start: %+v", c)
		}
		if c.IdleCPUMsPerSecond <= 0 || c.ResidentMB <= 1 || c.PeakResidentMB < c.ResidentMB {
			t.Errorf("processor time or memory: %+v", c)
		}
		if c.ChangeKBPerSecond <= c.IdleKBPerSecond {
			t.Errorf("%v KB/s with changes, want more than the %v without", c.ChangeKBPerSecond, c.IdleKBPerSecond)
		}
	}
	wantTableLines(t, 2, func(out io.Writer) error { return WriteListCosts(out, costs) })
}

// Every line that the room server writes arrives, and latencies are measured.
func TestDeliveryCosts(t *testing.T) {
	t.Parallel()
	options := DeliveryOptions{Connections: 20, Rates: []float64{200}, Seconds: 1}
	costs, err := DeliveryCosts(t.Context(), buildBalancer(t), options, noProgress)
	if err != nil {
		t.Fatal(err)
	}
	idle, busy := costs[0], costs[1]
	if idle.Rate != 0 || idle.Lost != 0 {
		t.Errorf("without lines: %+v", idle)
	}
	if busy.Rate < 100 || busy.Rate > 200 || busy.Lost != 0 {
		t.Errorf("with lines: %+v", busy)
	}
	if busy.LatencyMsP50 <= 0 || busy.LatencyMsP99 < busy.LatencyMsP50 {
		t.Errorf("latencies: %+v", busy)
	}
	if busy.CPUMsPerSecond <= 0 || busy.ResidentMB <= 1 {
		t.Errorf("usage: %+v", busy)
	}
	wantTableLines(t, 3, func(out io.Writer) error { return WriteDeliveryCosts(out, costs) })
}

// Each size is measured with a new fleet, while the connections of all its clients are established. The error for a
// fleet with more balancers than an experiment's file allows names the key.
func TestFleetCosts(t *testing.T) {
	sizes := FleetSizes{Balancers: []int{1, 2}, RoomServers: []int{2}, SessionsPerServer: 4, Seconds: 0.5}
	costs, err := FleetCosts(t.Context(), buildBalancer(t), sizes, noProgress)
	if err != nil || len(costs) != 2 {
		t.Fatal(costs, err)
	}
	for i, c := range costs {
		if c.Balancers != i+1 || c.RoomServers != 2 || c.Sessions != 8 || !c.Passed {
			t.Errorf("%+v", c)
		}
		if c.Cost.MeanOpen < 4 || c.Cost.MaxDescriptors < 8 || c.Cost.MaxResidentMB < 5 {
			t.Errorf("%+v", c.Cost)
		}
	}
	wantTableLines(t, 3, func(out io.Writer) error { return WriteFleetCosts(out, costs) })
	sizes = FleetSizes{Balancers: []int{1000}, RoomServers: []int{2}, SessionsPerServer: 4, Seconds: 1}
	if _, err := FleetCosts(t.Context(), "nothing", sizes, noProgress); err == nil ||
		!strings.Contains(err.Error(), "balancers") {
		t.Errorf("1000 balancers: %v, want an error with \"balancers\"", err)
	}
}
