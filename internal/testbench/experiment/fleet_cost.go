package experiment

import (
	"context"
	"fmt"
	"io"
)

const (
	// connectRate is the number of clients that connect per second at the start of a run.
	connectRate = 100.0
	// fleetPlayIntervalMs is the time between two moves of a client, in milliseconds.
	fleetPlayIntervalMs = 2000
	// fleetCapacityFactor is the capacity of a room server as a multiple of SessionsPerServer.
	fleetCapacityFactor = 4
)

// FleetCost holds the cost of a fleet of one size.
type FleetCost struct {
	Balancers   int `json:"balancers"`
	RoomServers int `json:"rooms"`
	// Sessions is the number of clients.
	Sessions int `json:"sessions"`
	// Rejected counts the requests that were answered BUSY.
	Rejected int  `json:"refused"`
	Cost     Cost `json:"cost"`
	// Passed says whether all invariants held.
	Passed bool `json:"sound"`
}

// FleetSizes describes the fleets that FleetCosts measures.
type FleetSizes struct {
	// Balancers and RoomServers hold numbers of balancers and of room servers. Each pair of them is measured.
	Balancers   []int
	RoomServers []int
	// SessionsPerServer is the number of clients for each room server.
	SessionsPerServer int
	// Seconds sets the duration of a measurement. The measurement begins settleTime after the fill time and lasts
	// settleTime longer than Seconds.
	Seconds float64
}

// FleetCosts measures the costs of fleets of several sizes, one after the other, with the given balancer program.
func FleetCosts(
	ctx context.Context, program string, sizes FleetSizes, progress Progress,
) (costs []FleetCost, err error) {
	for _, balancers := range sizes.Balancers {
		for _, roomServers := range sizes.RoomServers {
			progress(fmt.Sprintf("%d balancers, %d room servers", balancers, roomServers))
			cost, err := fleetCost(ctx, program, balancers, roomServers, sizes)
			if err != nil {
				return nil, err
			}
			costs = append(costs, cost)
		}
	}
	return costs, nil
}

// fleetCost measures the cost of a fleet in a run that has neither faults nor session tokens.
func fleetCost(
	ctx context.Context, program string, balancers, roomServers int, sizes FleetSizes,
) (FleetCost, error) {
	sessions := roomServers * sizes.SessionsPerServer
	fill := float64(sessions) / connectRate
	e, err := Parse(fmt.Appendf(nil, `{"name":"size","balancers":%d,"rooms":%d,"sessions":%d,"fill_s":%g,"every_ms":%d,
"tokens":false,"capacity":%d,"seconds":%g}`, balancers, roomServers, sessions, fill, fleetPlayIntervalMs,
		fleetCapacityFactor*sizes.SessionsPerServer, fill+settleTime.Seconds()+sizes.Seconds))
	if err != nil {
		return FleetCost{}, err
	}
	r, err := Run(ctx, program, e, func(string) {})
	if err != nil {
		return FleetCost{}, fmt.Errorf("%d balancers, %d room servers: %w", balancers, roomServers, err)
	}
	return FleetCost{
		Balancers:   balancers,
		RoomServers: roomServers,
		Sessions:    e.Sessions,
		Rejected:    r.Rejected,
		Cost:        r.Cost,
		Passed:      r.Passed(),
	}, nil
}

// WriteFleetCosts writes costs as a human-readable table.
func WriteFleetCosts(out io.Writer, costs []FleetCost) error {
	w := newTableWriter(out)
	fmt.Fprintln(w, "balancers\troom servers\tsessions\tMB\tdescriptors\tCPU ms/s\tprobes/s\tnew/s\t"+
		"open\topen, largest\tdiscovery calls/s\t")
	for _, f := range costs {
		c := f.Cost
		fmt.Fprintf(w, "%d\t%d\t%d\t%.1f\t%d\t%.1f\t%.2f\t%.2f\t%.1f\t%d\t%.2f\t\n",
			f.Balancers, f.RoomServers, f.Sessions, c.MaxResidentMB, c.MaxDescriptors, c.CPUMsPerSecond,
			c.ProbesPerSecond, c.AcceptedPerSecond, c.MeanOpen, c.MaxOpen, c.DiscoveryCallsPerSecond)
	}
	return w.Flush()
}
