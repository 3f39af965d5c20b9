package experiment

import "time"

// Cost is what a fleet costs once all clients have connected: maxima over the balancers, or means over them or the room
// servers.
type Cost struct {
	// MaxResidentMB is the largest resident memory of a balancer.
	MaxResidentMB float64 `json:"rss_mb_most"`
	// MaxDescriptors is the largest number of open descriptors of a balancer.
	MaxDescriptors int `json:"descriptors_most"`
	// CPUMsPerSecond is the mean processor time of a balancer.
	CPUMsPerSecond float64 `json:"cpu_ms_a_second"`
	// ProbesPerSecond is the mean number of probes that a room server receives.
	ProbesPerSecond float64 `json:"probes_a_second_at_a_room_server"`
	// AcceptedPerSecond is the mean number of connections that a room server accepts.
	AcceptedPerSecond float64 `json:"connections_a_second_at_a_room_server"`
	// MeanOpen is the mean number of connections of a room server at the end, including those of probes.
	MeanOpen float64 `json:"open_at_a_room_server"`
	// MaxOpen is the largest number of connections of a room server at the end.
	MaxOpen int `json:"open_at_a_room_server_most"`
	// DiscoveryCallsPerSecond is the number of calls that discovery receives.
	DiscoveryCallsPerSecond float64 `json:"calls_a_second_at_discovery"`
}

// fleetUsage is one reading of the counters from which a Cost is calculated.
type fleetUsage struct {
	at time.Time
	// cpu is the processor time of all balancers since their starts.
	cpu time.Duration
	// probes and accepted are sums over the room servers.
	probes   uint64
	accepted uint64
	// calls counts the calls of discovery.
	calls uint64
	// open and maxOpen are the sum and the maximum of the room servers' connections.
	open    int
	maxOpen int
}

// readUsage reads all counters, and updates the maxima of the result's cost.
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

// calculateCost calculates the result's cost from two readings between which no balancer was stopped.
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
