package experiment

import "time"

// Cost holds the resources that a fleet uses once all clients have connected. Rates are measured between two readings
// of the counters. The first reading is made settleTime after the fill time, and the second one at the end. If a
// balancer was killed, stopped or replaced during the run, or the run ended before the first reading, only
// MaxResidentMB and MaxDescriptors are set.
type Cost struct {
	// MaxResidentMB is the largest resident memory of a balancer at the readings of the counters.
	MaxResidentMB float64 `json:"rss_mb_most"`
	// MaxDescriptors is the largest number of open descriptors of a balancer at the readings.
	MaxDescriptors int `json:"descriptors_most"`
	// CPUMsPerSecond is the mean processor time per second of a balancer.
	CPUMsPerSecond float64 `json:"cpu_ms_a_second"`
	// ProbesPerSecond is the mean number of probes per second that a room server receives.
	ProbesPerSecond float64 `json:"probes_a_second_at_a_room_server"`
	// AcceptedPerSecond is the mean number of connections per second that a room server accepts.
	AcceptedPerSecond float64 `json:"connections_a_second_at_a_room_server"`
	// MeanOpen is the mean number of open connections of a room server at the end, including those of probes.
	MeanOpen float64 `json:"open_at_a_room_server"`
	// MaxOpen is the largest number of open connections of a room server at the end, including those of probes.
	MaxOpen int `json:"open_at_a_room_server_most"`
	// DiscoveryCallsPerSecond is the number of calls per second that discovery receives from all balancers together.
	DiscoveryCallsPerSecond float64 `json:"calls_a_second_at_discovery"`
}

// fleetUsage is one reading of the counters. A Cost is calculated from two of them.
type fleetUsage struct {
	at time.Time
	// cpu is the processor time of all running balancers since their starts.
	cpu time.Duration
	// probes and accepted are sums over the room servers.
	probes   uint64
	accepted uint64
	// calls counts the calls that discovery has received.
	calls uint64
	// open and maxOpen are the sum and the maximum of the room servers' open connections.
	open    int
	maxOpen int
}

// readUsage reads all counters and updates MaxResidentMB and MaxDescriptors of the result's cost.
func (r *run) readUsage() (fleetUsage, error) {
	u := fleetUsage{at: time.Now(), calls: r.discovery.Calls()}
	cost := &r.result.Cost
	for i, b := range r.balancers {
		if !r.alive[i] {
			continue
		}
		usage, err := b.usage()
		if err != nil {
			return u, err
		}
		u.cpu += usage.cpu
		cost.MaxResidentMB = max(cost.MaxResidentMB, usage.residentMB)
		cost.MaxDescriptors = max(cost.MaxDescriptors, usage.descriptors)
	}
	for _, server := range r.roomServers {
		traffic := server.Traffic()
		u.probes += traffic.Probes
		u.accepted += traffic.Accepted
		u.open += traffic.Open
		u.maxOpen = max(u.maxOpen, traffic.Open)
	}
	return u, nil
}

// calculateCost calculates the rest of the result's cost from two readings. No balancer may have been killed, stopped
// or replaced between them.
func (r *run) calculateCost(from, to fleetUsage) {
	cost := &r.result.Cost
	elapsed := to.at.Sub(from.at).Seconds()
	roomServers := float64(len(r.roomServers))
	cost.CPUMsPerSecond = float64((to.cpu - from.cpu).Milliseconds()) / elapsed / float64(len(r.balancers))
	cost.ProbesPerSecond = float64(to.probes-from.probes) / elapsed / roomServers
	cost.AcceptedPerSecond = float64(to.accepted-from.accepted) / elapsed / roomServers
	cost.DiscoveryCallsPerSecond = float64(to.calls-from.calls) / elapsed
	cost.MeanOpen = float64(to.open) / roomServers
	cost.MaxOpen = to.maxOpen
}
