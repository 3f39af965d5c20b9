package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/faultproxy"
	"cottonplank/internal/testbench/hollow"

	"golang.org/x/sys/unix"
)

const (
	// comparisonSettleTime is the time before a measurement in which the engines make their first polls.
	comparisonSettleTime = 7 * time.Second
	// comparisonChangeInterval is the time between two changes of the list.
	comparisonChangeInterval = 200 * time.Millisecond
	// minComparedSizes is the number of sizes that a slope needs.
	minComparedSizes = 2
	// serversPerSlope is the number of additional room servers to which a slope refers.
	serversPerSlope = 1000
)

// Errors of the options of CompareScale.
var (
	errComparisonOptions = errors.New("expected at least two sizes, at least one balancer and a duration above 0 s")
	errEqualSizes        = errors.New("the first and the last size must differ")
)

// NodeCost is the mean cost of a hollow node or a real balancer.
type NodeCost struct {
	// CPUMsPerSecond is the processor time per second.
	CPUMsPerSecond float64 `json:"cpu_ms_per_s"`
	// KBPerSecond is the traffic with discovery in both directions.
	KBPerSecond float64 `json:"kb_per_s"`
	// ResidentMB is the resident memory of a real balancer. For hollow nodes it is the growth of the worker's resident
	// memory since its first report, divided by the number of nodes.
	ResidentMB float64 `json:"mb"`
}

// plus returns the sums of the fields of two costs.
func (c NodeCost) plus(other NodeCost) NodeCost {
	return NodeCost{
		CPUMsPerSecond: c.CPUMsPerSecond + other.CPUMsPerSecond,
		KBPerSecond:    c.KBPerSecond + other.KBPerSecond,
		ResidentMB:     c.ResidentMB + other.ResidentMB,
	}
}

// times returns the cost multiplied by a factor.
func (c NodeCost) times(factor float64) NodeCost {
	return NodeCost{
		CPUMsPerSecond: c.CPUMsPerSecond * factor,
		KBPerSecond:    c.KBPerSecond * factor,
		ResidentMB:     c.ResidentMB * factor,
	}
}

// SizeComparison holds the costs with a list of one size.
type SizeComparison struct {
	// Servers is the length of the list.
	Servers int      `json:"servers"`
	Hollow  NodeCost `json:"hollow"`
	Real    NodeCost `json:"real"`
}

// Comparison compares the costs of hollow nodes with those of real balancers.
type Comparison struct {
	Sizes []SizeComparison `json:"sizes"`
	// HollowSlope and RealSlope are the costs of 1,000 more room servers, from the first size to the last.
	HollowSlope NodeCost `json:"hollow_slope"`
	RealSlope   NodeCost `json:"real_slope"`
}

// ComparisonOptions describes the measurements of CompareScale.
type ComparisonOptions struct {
	// Servers holds the lengths of the lists. At least two are required, and the first and the last must differ.
	Servers []int
	// Nodes is the number of hollow nodes, which is also the number of real balancers.
	Nodes int
	// Seconds is the duration of the measurement with each list.
	Seconds float64
}

// CompareScale measures the costs of hollow nodes with full engines and of the same number of real balancers. Both
// watch the same lists of several sizes, with the same changes. Neither has clients or probes room servers.
func CompareScale(
	ctx context.Context, p Programs, options ComparisonOptions, progress Progress,
) (c Comparison, err error) {
	if len(options.Servers) < minComparedSizes || options.Nodes < 1 || options.Seconds <= 0 {
		return c, errComparisonOptions
	}
	for _, n := range options.Servers {
		progress(fmt.Sprintf("%d room servers", n))
		size, err := compareSize(ctx, p, n, options)
		if err != nil {
			return c, fmt.Errorf("%d room servers: %w", n, err)
		}
		c.Sizes = append(c.Sizes, size)
	}
	first, last := c.Sizes[0], c.Sizes[len(c.Sizes)-1]
	if first.Servers == last.Servers {
		return c, errEqualSizes
	}
	factor := serversPerSlope / float64(last.Servers-first.Servers)
	c.HollowSlope = last.Hollow.plus(first.Hollow.times(-1)).times(factor)
	c.RealSlope = last.Real.plus(first.Real.times(-1)).times(factor)
	return c, nil
}

// compareSize measures the costs with a list of one size.
func compareSize(ctx context.Context, p Programs, servers int, options ComparisonOptions) (SizeComparison, error) {
	m := &comparisonRun{programs: p, nodes: options.Nodes}
	defer m.close()
	if err := m.open(ctx, servers); err != nil {
		return SizeComparison{}, err
	}
	if err := sleep(ctx, comparisonSettleTime); err != nil {
		return SizeComparison{}, err
	}
	start := time.Now()
	realBefore, hollowBefore, err := m.read()
	if err != nil {
		return SizeComparison{}, err
	}
	if err := m.publishChanges(ctx, start.Add(seconds(options.Seconds))); err != nil {
		return SizeComparison{}, err
	}
	realAfter, hollowAfter, err := m.read()
	if err != nil {
		return SizeComparison{}, err
	}
	elapsed := time.Since(start).Seconds()
	return SizeComparison{
		Servers: servers,
		Hollow:  m.meanCost(hollowBefore, hollowAfter, elapsed),
		Real:    m.meanCost(realBefore, realAfter, elapsed),
	}, nil
}

// comparisonRun runs hollow nodes and real balancers with the same list.
type comparisonRun struct {
	programs Programs
	// nodes is the number of hollow nodes, which is also the number of real balancers.
	nodes     int
	dir       string
	entries   []emulator.Entry
	table     *emulator.EndpointTable
	server    *emulator.ListServer
	balancers []*balancer
	// ports holds the ports of the proxy for the real balancers, followed by those for the hollow nodes.
	ports  []*faultproxy.Port
	worker *workerProcess
}

// experiment returns the settings of the hollow nodes and the real balancers.
func (m *comparisonRun) experiment() Experiment {
	return Experiment{Seed: 1, Balancers: 2 * m.nodes, Sessions: 1, ClientTimeoutMs: 2000, MemoryMB: 512}
}

// placement returns the placement of the hollow nodes and the real balancers.
func (m *comparisonRun) placement() placement {
	at := singleZone
	at.membershipMode = "automatic"
	at.noProbes = true
	return at
}

// open starts the list server, the real balancers and the hollow nodes.
func (m *comparisonRun) open(ctx context.Context, servers int) (err error) {
	if m.dir, err = os.MkdirTemp("", "cottonplank-compare-"); err != nil {
		return err
	}
	for i := range servers {
		entry := emulator.ActiveEntry(missingServerName(i), unusedAddress(i), singleZoneName)
		m.entries = append(m.entries, entry)
	}
	m.table = emulator.NewEndpointTable(m.entries)
	m.server = emulator.NewListServer(m.table)
	address, err := m.server.Listen(nil)
	if err != nil {
		return err
	}
	link := faultproxy.NewLink(func(*faultproxy.Port) string { return address })
	for i := range 2 * m.nodes {
		port, err := link.Port(i)
		if err != nil {
			return err
		}
		m.ports = append(m.ports, port)
	}
	if err := m.startBalancers(ctx); err != nil {
		return err
	}
	return m.startNodes()
}

// startBalancers starts the real balancers.
func (m *comparisonRun) startBalancers(ctx context.Context) error {
	for i := range m.nodes {
		b, err := startBalancer(ctx, balancerSpec{
			program:    m.programs.Balancer,
			dir:        m.dir,
			name:       balancerName(i),
			experiment: m.experiment(),
			placement:  m.placement(),
			discovery:  m.ports[i].Address,
			known:      json.RawMessage(m.table.Snapshot(initialVersion)),
		})
		if err != nil {
			return err
		}
		m.balancers = append(m.balancers, b)
	}
	return nil
}

// startNodes starts the worker and its hollow nodes.
func (m *comparisonRun) startNodes() (err error) {
	setup := hollow.Setup{
		KnownListPath: filepath.Join(m.dir, knownListFileName),
		ConfigPaths:   map[string]string{singleZoneName: filepath.Join(m.dir, singleZoneName+".json")},
		FullEngine:    true,
	}
	if err := os.WriteFile(setup.KnownListPath, m.table.Snapshot(initialVersion), 0o600); err != nil {
		return err
	}
	if err := writeNodeConfig(setup.ConfigPaths[singleZoneName], m.experiment(), m.placement()); err != nil {
		return err
	}
	if m.worker, err = startWorker(m.programs.Worker, m.dir, "hollow", setup); err != nil {
		return err
	}
	var command hollow.Command
	for i := range m.nodes {
		spec := hollow.NodeSpec{ID: i, Zone: singleZoneName, Address: m.ports[m.nodes+i].Address}
		command.Start = append(command.Start, spec)
	}
	return m.worker.send(command)
}

// publishChanges publishes changes of single entries until the given time. It goes through the list in rounds, which
// alternately set the lifecycles of the entries to leaving and to active.
func (m *comparisonRun) publishChanges(ctx context.Context, until time.Time) error {
	ticker := time.NewTicker(comparisonChangeInterval)
	defer ticker.Stop()
	for n := 0; time.Now().Before(until); n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		e := m.entries[n%len(m.entries)]
		e.Lifecycle = emulator.LifecycleLeaving
		if n/len(m.entries)%2 == 1 {
			e.Lifecycle = emulator.LifecycleActive
		}
		m.server.AdvanceTo(m.table.Publish(e))
	}
	return nil
}

// read returns the sums over the real balancers and over the hollow nodes. CPUMsPerSecond and KBPerSecond hold totals
// since the start, in milliseconds and KiB; ResidentMB is the current value.
func (m *comparisonRun) read() (realSum, hollowSum NodeCost, err error) {
	for i, b := range m.balancers {
		cost, err := readBalancerCost(b.pid())
		if err != nil {
			return realSum, hollowSum, err
		}
		cost.KBPerSecond = portKBytes(m.ports[i])
		realSum = realSum.plus(cost)
		hollowSum.KBPerSecond += portKBytes(m.ports[m.nodes+i])
	}
	if hollowSum.CPUMsPerSecond, err = processCPU(m.worker.process.Process.Pid); err != nil {
		return realSum, hollowSum, err
	}
	_, hollowSum.ResidentMB, err = m.worker.latestUsage()
	return realSum, hollowSum, err
}

// readBalancerCost returns the total processor time of a process, in CPUMsPerSecond, and its resident memory.
func readBalancerCost(pid int) (cost NodeCost, err error) {
	if cost.CPUMsPerSecond, err = processCPU(pid); err != nil {
		return cost, err
	}
	cost.ResidentMB, err = hollow.ResidentMemory(pid)
	return cost, err
}

// portKBytes returns the total traffic of a port in KiB.
func portKBytes(port *faultproxy.Port) float64 {
	bytes, _ := port.Counts()
	return float64(bytes) / bytesPerKB
}

// processCPU returns the total processor time of a process in milliseconds.
func processCPU(pid int) (float64, error) {
	// The ID of the process's CPU-time clock, calculated as clock_getcpuclockid(3) does.
	const schedulerClock = 2
	clock := int32(^pid<<3 | schedulerClock)
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	return float64(t.Nano()) / float64(time.Millisecond), nil
}

// meanCost returns the mean cost of a node, or of a real balancer, from two readings.
func (m *comparisonRun) meanCost(before, after NodeCost, elapsed float64) NodeCost {
	nodes := float64(m.nodes)
	return NodeCost{
		CPUMsPerSecond: (after.CPUMsPerSecond - before.CPUMsPerSecond) / elapsed / nodes,
		KBPerSecond:    (after.KBPerSecond - before.KBPerSecond) / elapsed / nodes,
		ResidentMB:     after.ResidentMB / nodes,
	}
}

// close stops everything that was started.
func (m *comparisonRun) close() {
	if m.worker != nil {
		m.worker.stop()
	}
	for _, b := range m.balancers {
		b.stop()
	}
	for _, port := range m.ports {
		port.Close()
	}
	if m.server != nil {
		m.server.Stop()
	}
	os.RemoveAll(m.dir)
}

// WriteTable writes the comparison as a human-readable table.
func (c Comparison) WriteTable(out io.Writer) error {
	w := newTableWriter(out)
	fmt.Fprintln(w, "room servers\thollow CPU ms/s\treal\thollow KB/s\treal\thollow MB\treal\t")
	row := func(name string, h, r NodeCost) {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", name,
			h.CPUMsPerSecond, r.CPUMsPerSecond, h.KBPerSecond, r.KBPerSecond, h.ResidentMB, r.ResidentMB)
	}
	for _, size := range c.Sizes {
		row(fmt.Sprint(size.Servers), size.Hollow, size.Real)
	}
	row("per 1,000 more", c.HollowSlope, c.RealSlope)
	return w.Flush()
}
