package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"cottonplank/internal/operations/management"
	"cottonplank/internal/testbench/emulator"
)

const (
	// listRoomServers is the number of emulated room servers. The entries of a list share their addresses.
	listRoomServers = 8
	// idleTime is the time before a measurement in which the balancer completes its startup work.
	idleTime = 3 * time.Second
	// listTimeout is how long the balancer may take to apply the list.
	listTimeout = 30 * time.Second
	// listPollInterval is the time between two checks whether the balancer has applied the list.
	listPollInterval = 20 * time.Millisecond
	// entryStride is the distance in the list between two consecutively changed entries. It is a prime number, so the
	// changes visit all entries unless the length of the list is a multiple of it.
	entryStride = 7919
)

// threeZones are the zones of the list's entries.
var threeZones = []string{"a", "b", "c"}

// emptyList is the known list of the balancer, which has no entries.
const emptyList = `{"generation":0,"reset":true,"instances":[]}`

// ListCost holds the resources that a balancer without clients uses for an endpoint list of one length. The balancer
// starts with an empty list and receives the list from discovery.
type ListCost struct {
	// Servers is the length of the list.
	Servers int `json:"servers"`
	// AppliedSeconds is the time from the start of the process until it has applied the list; -1 if it has not.
	AppliedSeconds float64 `json:"in_force_s"`
	// IdleCPUMsPerSecond is the processor time per second without changes of the list.
	IdleCPUMsPerSecond float64 `json:"rest_ms_per_s"`
	// CPUMsPerChange is the additional processor time for each change of an entry.
	CPUMsPerChange float64 `json:"change_ms"`
	// ResidentMB is the resident memory at the end.
	ResidentMB float64 `json:"rss_mb"`
	// PeakResidentMB is the largest resident memory since the start.
	PeakResidentMB float64 `json:"peak_mb"`
	// IdleKBPerSecond is the number of KiB that the process reads per second without changes of the list. This includes
	// reads from files and from sockets, also the sockets of probes.
	IdleKBPerSecond float64 `json:"rest_kb_per_s"`
	// ChangeKBPerSecond is the same number with changes of the list.
	ChangeKBPerSecond float64 `json:"change_kb_per_s"`
	// StartKB is the number of KiB that the process has read from its start until it has applied the list.
	StartKB float64 `json:"start_kb"`
	// StartCPUMs is the processor time from the start until the list is applied.
	StartCPUMs float64 `json:"start_cpu_ms"`
	// DiscoveryCallsPerSecond is the number of calls that discovery receives per second without changes.
	DiscoveryCallsPerSecond float64 `json:"discovery_calls_s"`
}

// ListCostOptions describes the measurements of ListCosts.
type ListCostOptions struct {
	// Servers holds the lengths of the lists.
	Servers []int
	// Seconds is the duration of each measurement.
	Seconds float64
	// ChangesPerSecond is the rate of changes. At one change per second, the cost of a change, 0.3 ms, is within the
	// noise of the measurement.
	ChangesPerSecond float64
}

// ListCosts measures the costs of lists of several lengths, one after the other, with the given balancer program. Each
// list is measured first without changes and then with changes of single entries.
func ListCosts(
	ctx context.Context, program string, options ListCostOptions, progress Progress,
) (costs []ListCost, err error) {
	for _, n := range options.Servers {
		cost, err := listCost(ctx, program, n, options, progress)
		if err != nil {
			return nil, fmt.Errorf("%d room servers: %w", n, err)
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

// listCost measures the cost of a list of n entries.
func listCost(
	ctx context.Context, program string, n int, options ListCostOptions, progress Progress,
) (cost ListCost, err error) {
	m := &listMeasurement{
		program:  program,
		length:   n,
		duration: seconds(options.Seconds),
		interval: time.Duration(float64(time.Second) / options.ChangesPerSecond),
		cost:     ListCost{Servers: n, AppliedSeconds: -1},
	}
	defer m.close()
	if err := m.open(); err != nil {
		return m.cost, err
	}
	if err := m.start(ctx); err != nil {
		return m.cost, err
	}
	progress(fmt.Sprintf("%d room servers: applied after %.2f s, %.0f KB", n, m.cost.AppliedSeconds, m.cost.StartKB))
	if err := sleep(ctx, idleTime); err != nil {
		return m.cost, err
	}
	if err := m.measure(ctx); err != nil {
		return m.cost, err
	}
	progress(fmt.Sprintf("%d room servers: CPU %.2f ms/s idle, %.2f ms per change, %.1f MB",
		n, m.cost.IdleCPUMsPerSecond, m.cost.CPUMsPerChange, m.cost.PeakResidentMB))
	return m.cost, nil
}

// listMeasurement measures the cost of one list.
type listMeasurement struct {
	program string
	// length is the number of entries.
	length   int
	duration time.Duration
	// interval is the time between two changes.
	interval    time.Duration
	dir         string
	roomServers []*emulator.RoomServer
	discovery   *emulator.Discovery
	balancer    *balancer
	// serving says that the balancer was started and must be stopped.
	serving bool
	cost    ListCost
}

// open starts the room servers and discovery with the list, and writes the files of the balancer.
func (m *listMeasurement) open() (err error) {
	if m.dir, err = os.MkdirTemp("", "cottonplank-lab-"); err != nil {
		return err
	}
	for i := range listRoomServers {
		server, err := emulator.NewRoomServer(emulator.RoomServerConfig{Name: roomServerName(i)})
		if err != nil {
			return err
		}
		m.roomServers = append(m.roomServers, server)
	}
	m.discovery = emulator.NewDiscovery(nil)
	address, err := m.discovery.ListenFor(balancerName(0))
	if err != nil {
		return err
	}
	var entries []emulator.Entry
	for i := range m.length {
		entries = append(entries, m.entry(i, 1))
	}
	m.discovery.Put(entries...)
	m.balancer, err = newBalancer(balancerSpec{
		program: m.program,
		dir:     m.dir,
		name:    balancerName(0),
		experiment: Experiment{
			Balancers:       2300, // the size of the fleet that the measured costs are for
			Seed:            1,
			MemoryMB:        256,
			ClientTimeoutMs: 2000,
			MaxDescriptors:  1024,
		},
		placement: placement{zone: threeZones[0], zones: threeZones, membershipMode: "subscribe"},
		discovery: address,
		known:     json.RawMessage(emptyList),
	})
	return err
}

// entry returns the i-th entry of the list with the given weight.
func (m *listMeasurement) entry(i int, weight float64) emulator.Entry {
	address := m.roomServers[i%listRoomServers].Address()
	e := emulator.ActiveEntry(fmt.Sprintf("s-%08x", i), address, threeZones[i%len(threeZones)])
	e.Weight = weight
	return e
}

// start starts the balancer, waits until it has applied the list and measures the cost of that. If the balancer does
// not apply the list within listTimeout, AppliedSeconds stays -1.
func (m *listMeasurement) start(ctx context.Context) error {
	start := time.Now()
	if err := m.balancer.start(ctx); err != nil {
		return err
	}
	m.serving = true
	for time.Since(start) < listTimeout {
		metrics, err := management.QueryMetrics(ctx, m.balancer.management)
		if err != nil {
			return err
		}
		if metrics["registry_entries"] >= uint64(m.length) {
			m.cost.AppliedSeconds = time.Since(start).Seconds()
			break
		}
		if err := sleep(ctx, listPollInterval); err != nil {
			return err
		}
	}
	usage, err := m.balancer.preciseUsage()
	if err != nil {
		return err
	}
	m.cost.StartKB = usage.readKB
	m.cost.StartCPUMs = usage.cpu.Seconds() * 1000
	return nil
}

// measure measures the balancer without changes and with changes.
func (m *listMeasurement) measure(ctx context.Context) error {
	calls := m.discovery.Calls()
	idleRate, err := m.balancer.measureRate(ctx, m.duration, idle)
	if err != nil {
		return err
	}
	m.cost.IdleCPUMsPerSecond = idleRate.cpuMs
	m.cost.IdleKBPerSecond = idleRate.readKB
	m.cost.DiscoveryCallsPerSecond = float64(m.discovery.Calls()-calls) / m.duration.Seconds()
	changes := 0
	changeRate, err := m.balancer.measureRate(ctx, m.duration, func(ctx context.Context) error {
		changes = m.publishChanges(ctx)
		return nil
	})
	if err != nil {
		return err
	}
	m.cost.ChangeKBPerSecond = changeRate.readKB
	if changes > 0 {
		m.cost.CPUMsPerChange = (changeRate.cpuMs - idleRate.cpuMs) * m.duration.Seconds() / float64(changes)
	}
	usage, err := m.balancer.preciseUsage()
	m.cost.ResidentMB = usage.residentMB
	m.cost.PeakResidentMB = usage.peakMB
	return err
}

// publishChanges publishes single entries, alternately with the weights 2 and 1, until ctx ends. It returns the number
// of publications. Known fault: in a list of even length, each entry is always published with the same weight. Half of
// the entries keep their initial weight, 1, and the other half change only once. ListCost.CPUMsPerChange also counts
// the publications that change nothing.
func (m *listMeasurement) publishChanges(ctx context.Context) (changes int) {
	ticker := time.NewTicker(m.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return changes
		case <-ticker.C:
			changes++
			m.discovery.Put(m.entry(changes*entryStride%m.length, 1+float64(changes%2)))
		}
	}
}

// close stops everything that was started, except a balancer whose start failed; see run.close.
func (m *listMeasurement) close() {
	if m.serving {
		m.balancer.stop()
	}
	if m.discovery != nil {
		m.discovery.Stop()
	}
	for _, server := range m.roomServers {
		server.Stop()
	}
	os.RemoveAll(m.dir)
}

// WriteListCosts writes costs as a human-readable table.
func WriteListCosts(out io.Writer, costs []ListCost) error {
	w := newTableWriter(out)
	fmt.Fprintln(w, "room servers\tapplied, s\tstart KB\tstart CPU ms\tidle CPU ms/s\tCPU ms/change\tMB\tMB, peak\t"+
		"idle KB/s\tchanges KB/s\tdiscovery calls/s\t")
	for _, c := range costs {
		fmt.Fprintf(w, "%d\t%.2f\t%.0f\t%.0f\t%.2f\t%.3f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t\n",
			c.Servers, c.AppliedSeconds, c.StartKB, c.StartCPUMs, c.IdleCPUMsPerSecond, c.CPUMsPerChange, c.ResidentMB,
			c.PeakResidentMB, c.IdleKBPerSecond, c.ChangeKBPerSecond, c.DiscoveryCallsPerSecond)
	}
	return w.Flush()
}
