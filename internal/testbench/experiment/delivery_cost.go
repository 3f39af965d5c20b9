package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"cottonplank/internal/testbench/emulator"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// deliveryGrace is how long after a measurement lines may still arrive without being counted as lost.
	deliveryGrace = 500 * time.Millisecond
	// maxDeliveryMicros is the upper bound of the histograms of latencies and delays, in microseconds.
	maxDeliveryMicros = 60_000_000
)

// DeliveryCost holds the resources that a balancer uses for established connections and for lines that a room server
// sends to clients, and the latencies of these lines.
type DeliveryCost struct {
	// Connections is the number of established connections.
	Connections int `json:"connections"`
	// Rate is the number of lines that the room server wrote per second.
	Rate float64 `json:"deliveries_per_s"`
	// Lost counts the lines that had not arrived 0.5 s after the end of the measurement.
	Lost int `json:"lost"`
	// CPUMsPerSecond is the balancer's processor time per second, including that of idle connections.
	CPUMsPerSecond float64 `json:"cpu_ms_per_s"`
	// CPUMicrosEach is the processor time for each line, without that of idle connections; 0 if there were no lines.
	CPUMicrosEach float64 `json:"cpu_us_each"`
	// LatencyMsP50 and LatencyMsP99 are quantiles of the time from when a line was due until its client has read it.
	LatencyMsP50 float64 `json:"p50_ms"`
	LatencyMsP99 float64 `json:"p99_ms"`
	// WriteDelayMsP99 is the 99 % quantile of the time from when a line was due until the emulated room server wrote
	// it. The latencies include this delay.
	WriteDelayMsP99 float64 `json:"lab_late_p99_ms"`
	// ResidentMB is the balancer's resident memory.
	ResidentMB float64 `json:"rss_mb"`
}

// DeliveryOptions describes the measurements of DeliveryCosts.
type DeliveryOptions struct {
	// Connections is the number of established connections.
	Connections int
	// Rates holds the numbers of lines per second. A measurement without lines precedes them.
	Rates []float64
	// Seconds is the duration of each measurement.
	Seconds float64
}

// DeliveryCosts establishes connections through one balancer. It measures the costs of lines that a room server sends
// to the clients, at several rates one after the other.
func DeliveryCosts(
	ctx context.Context, program string, options DeliveryOptions, progress Progress,
) (costs []DeliveryCost, err error) {
	m := &deliveryMeasurement{duration: seconds(options.Seconds)}
	defer m.close()
	if err := m.open(ctx, program, options.Connections); err != nil {
		return nil, err
	}
	progress(fmt.Sprintf("%d connections are established", options.Connections))
	if err := sleep(ctx, idleTime); err != nil {
		return nil, err
	}
	if m.idleRate, err = m.balancer.measureRate(ctx, m.duration, idle); err != nil {
		return nil, err
	}
	for _, rate := range append([]float64{0}, options.Rates...) {
		cost, err := m.measure(ctx, rate)
		if err != nil {
			return nil, err
		}
		cost.Connections = options.Connections
		progress(fmt.Sprintf("%.0f deliveries/s: CPU %.0f ms/s, %.1f us each, latency p99 %.2f ms, %d lost",
			cost.Rate, cost.CPUMsPerSecond, cost.CPUMicrosEach, cost.LatencyMsP99, cost.Lost))
		costs = append(costs, cost)
	}
	return costs, nil
}

// deliveryMeasurement measures the costs of lines from a room server to clients.
type deliveryMeasurement struct {
	duration  time.Duration
	dir       string
	server    *deliveryServer
	discovery *emulator.Discovery
	balancer  *balancer
	// serving says that the balancer was started and must be stopped.
	serving bool
	clients *deliveryClients
	// idleRate is the balancer's resource usage per second while its connections are idle.
	idleRate usageRate
}

// open starts the room server and the balancer, and establishes the connections.
func (m *deliveryMeasurement) open(ctx context.Context, program string, connections int) (err error) {
	if m.dir, err = os.MkdirTemp("", "cottonplank-lab-"); err != nil {
		return err
	}
	if m.server, err = newDeliveryServer(); err != nil {
		return err
	}
	m.discovery = emulator.NewDiscovery(nil)
	address, err := m.discovery.ListenFor(balancerName(0))
	if err != nil {
		return err
	}
	m.discovery.Put(emulator.ActiveEntry(roomServerName(0), m.server.address(), singleZoneName))
	m.balancer, err = newBalancer(balancerSpec{
		program: program,
		dir:     m.dir,
		name:    balancerName(0),
		experiment: Experiment{
			Balancers:       1,
			Seed:            1,
			MemoryMB:        4096,
			ClientTimeoutMs: 5000,
			MaxDescriptors:  descriptorsPerSession*connections + baseDescriptors,
		},
		placement: singleZone,
		discovery: address,
		known:     m.discovery.ListingJSON(),
	})
	if err != nil {
		return err
	}
	m.balancer.maxDescriptors = 0 // the limit is only for the configuration, not for the process
	if err := m.balancer.start(ctx); err != nil {
		return err
	}
	m.serving = true
	m.clients, err = connectClients(ctx, m.balancer.address, connections)
	return err
}

// measure measures the cost of lines at one rate.
func (m *deliveryMeasurement) measure(ctx context.Context, rate float64) (cost DeliveryCost, err error) {
	m.clients.resetLatencies()
	var sent int
	var delays *hdrhistogram.Histogram
	busyRate, err := m.balancer.measureRate(ctx, m.duration, func(ctx context.Context) error {
		sent, delays = m.server.deliver(ctx, rate)
		return nil
	})
	if err != nil {
		return cost, err
	}
	if err := sleep(ctx, deliveryGrace); err != nil {
		return cost, err
	}
	latencies := m.clients.readLatencies()
	cost.CPUMsPerSecond = busyRate.cpuMs
	cost.Rate = float64(sent) / m.duration.Seconds()
	cost.Lost = sent - int(latencies.TotalCount())
	if sent > 0 {
		cost.CPUMicrosEach = (busyRate.cpuMs - m.idleRate.cpuMs) / cost.Rate * 1000
		cost.LatencyMsP50 = float64(latencies.ValueAtQuantile(50)) / 1000
		cost.LatencyMsP99 = float64(latencies.ValueAtQuantile(99)) / 1000
		cost.WriteDelayMsP99 = float64(delays.ValueAtQuantile(99)) / 1000
	}
	usage, err := m.balancer.preciseUsage()
	cost.ResidentMB = usage.residentMB
	return cost, err
}

// close stops everything that was started, except a balancer whose start failed; see run.close.
func (m *deliveryMeasurement) close() {
	if m.clients != nil {
		m.clients.close()
	}
	if m.serving {
		m.balancer.stop()
	}
	if m.discovery != nil {
		m.discovery.Stop()
	}
	if m.server != nil {
		m.server.close()
	}
	os.RemoveAll(m.dir)
}

// WriteDeliveryCosts writes costs as a human-readable table.
func WriteDeliveryCosts(out io.Writer, costs []DeliveryCost) error {
	w := newTableWriter(out)
	fmt.Fprintln(w, "connections\tdeliveries/s\tlost\tCPU ms/s\tus each\tp50 ms\tp99 ms\twrite delay p99 ms\tMB\t")
	for _, c := range costs {
		fmt.Fprintf(w, "%d\t%.0f\t%d\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t\n",
			c.Connections, c.Rate, c.Lost, c.CPUMsPerSecond, c.CPUMicrosEach, c.LatencyMsP50, c.LatencyMsP99,
			c.WriteDelayMsP99, c.ResidentMB)
	}
	return w.Flush()
}
