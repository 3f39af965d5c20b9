package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/hollow"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ScaleResult is the result of a ScaleExperiment, as cottonplank-lab prints it in JSON.
type ScaleResult struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// HollowNodes is the number of hollow nodes.
	HollowNodes int `json:"hollow"`
	// FullEngines is the number of hollow nodes whose engines hold the whole list.
	FullEngines int `json:"modules"`
	// NoKnownList is the number of hollow nodes that start without a list.
	NoKnownList int `json:"cold"`
	// RealBalancers is the number of balancer processes.
	RealBalancers int `json:"real"`
	// ListServers is the number of emulated replicas of discovery. They are not control-plane servers, in spite of the
	// key.
	ListServers int `json:"control"`
	// Servers is the length of the list.
	Servers int `json:"servers"`
	// ListKB is the size of the encoded list.
	ListKB float64 `json:"list_kb"`
	// Changes is the number of changes of the list that were published.
	Changes int `json:"changes"`
	// Faults is the number of faults that were injected.
	Faults int `json:"faults"`
	// StartSeconds is the time until all hollow nodes watched the list, or until watchTimeout.
	StartSeconds float64 `json:"start_s"`
	// NotConnected is the number of hollow nodes that did not watch the list at that time.
	NotConnected int `json:"not_begun"`
	// Seconds is the duration of the run without the start.
	Seconds float64 `json:"seconds"`
	// ApplyMsP50, ApplyMsP99 and ApplyMsMax are the median, the 99 % quantile and the maximum of the time from the
	// publication of a change until a node has applied it. If the node became reachable after the publication, the time
	// is measured from then.
	ApplyMsP50 float64 `json:"in_force_ms_p50"`
	ApplyMsP99 float64 `json:"in_force_ms_p99"`
	ApplyMsMax float64 `json:"in_force_ms_max"`
	// Applied counts the pairs of a node and a change that it has applied.
	Applied int `json:"in_force"`
	// CPUMsPerSecondP99 is the larger of EngineCPUMsPerSecondP99 and FollowerCPUMsPerSecondP99.
	CPUMsPerSecondP99 float64 `json:"cpu_ms_per_s_p99"`
	// EngineCPUMsPerSecondP99 is the 99 % quantile of the processor time of a node with a full engine. Each report of a
	// worker after the start counts as one value, the mean over its running nodes.
	EngineCPUMsPerSecondP99 float64 `json:"cpu_ms_per_s_p99_modules"`
	// FollowerCPUMsPerSecondP99 is the same quantile for the other nodes.
	FollowerCPUMsPerSecondP99 float64 `json:"cpu_ms_per_s_p99_followers"`
	// StartCPUMsPerSecond is the largest value of a node with a full engine in the reports during the start. Each value
	// is the mean over a worker's running nodes.
	StartCPUMsPerSecond float64 `json:"cpu_ms_per_s_start"`
	// KBPerSecondMean is the mean traffic of a running hollow node in both directions, including its start.
	KBPerSecondMean float64 `json:"kb_per_s_mean"`
	// KBPerSecondP99 and KBPerSecondMax are the 99 % quantile and the maximum of the traffic of one running hollow node
	// in one second.
	KBPerSecondP99 float64 `json:"kb_per_s_p99"`
	KBPerSecondMax float64 `json:"kb_per_s_max"`
	// RealKBPerSecondMean is the mean traffic of a real balancer with discovery, including its start and the time during
	// which it does not run.
	RealKBPerSecondMean float64 `json:"real_kb_per_s_mean"`
	// EngineMBMax is the largest growth of the memory of a worker with full engines since its first report, divided by
	// the number of its running nodes.
	EngineMBMax float64 `json:"control_mb_max"`
	// RealMBMax is the largest resident memory of a real balancer.
	RealMBMax float64 `json:"real_mb_max"`
	// TotalMB is the largest sum of the resident memory of all processes.
	TotalMB float64 `json:"lab_mb"`
	// Calls and Messages count the calls that the list servers received and the messages that they sent.
	Calls    uint64 `json:"source_calls"`
	Messages uint64 `json:"source_messages"`
	// Encodings counts the snapshots and changes that were encoded.
	Encodings uint64 `json:"source_encodings"`
	// Answers counts the final answers that clients have read.
	Answers int `json:"answers"`
	// LostChanges is the number of changes that nodes skipped, plus the number of nodes that did not have the final
	// list at the end. Nodes that had not been reachable for applyTimeout at the end do not count among the latter.
	LostChanges int `json:"lost_changes"`
	// Regressions counts how often the version of a node decreased.
	Regressions int `json:"went_back"`
	// UnansweredRequests counts the requests without an answer, except those that a kill of their balancer excuses.
	UnansweredRequests int `json:"lost_answers"`
	// Violations counts the violations of the invariants of requests and room servers.
	Violations int `json:"rules_broken"`
	// MissedObjectives describes each objective that was missed.
	MissedObjectives []string `json:"aims_missed"`
	// ViolationTexts describes each violation, lost change and regression.
	ViolationTexts []string `json:"broken,omitempty"`
}

// Objectives of a scale run: maximum values.
const (
	maxApplyMs        = 6000.0
	maxApplyMsP99     = 1000.0
	maxCPUMsPerSecond = 33.0
	maxKBPerSecond    = 21.0
	maxEngineMB       = 256.0
)

// Passed reports whether no change and no answer was lost, no version decreased and all invariants held. It does not
// depend on the objectives.
func (r ScaleResult) Passed() bool {
	return r.LostChanges == 0 && r.Regressions == 0 && r.UnansweredRequests == 0 && r.Violations == 0
}

// missedObjectives describes the objectives that were missed. A run with changes also misses an objective if no node
// has applied any of them.
func (r ScaleResult) missedObjectives() []string {
	missed := []string{}
	for _, objective := range []struct {
		key     string
		value   float64
		maximum float64
	}{
		{"in_force_ms_max", r.ApplyMsMax, maxApplyMs},
		{"in_force_ms_p99", r.ApplyMsP99, maxApplyMsP99},
		{"cpu_ms_per_s_p99", r.CPUMsPerSecondP99, maxCPUMsPerSecond},
		{"kb_per_s_mean", r.KBPerSecondMean, maxKBPerSecond},
		{"kb_per_s_p99", r.KBPerSecondP99, maxKBPerSecond},
		{"control_mb_max", r.EngineMBMax, maxEngineMB},
	} {
		if objective.value > objective.maximum {
			text := fmt.Sprintf("%s: %.3g is above %g", objective.key, objective.value, objective.maximum)
			missed = append(missed, text)
		}
	}
	if r.Changes > 0 && r.Applied == 0 {
		missed = append(missed, "in_force: no change was applied")
	}
	return missed
}

// statesByLifecycle maps the lifecycle of an entry to the state of its room server.
var statesByLifecycle = map[string]decide.State{
	emulator.LifecycleActive:  decide.Ready,
	emulator.LifecycleLeaving: decide.Draining,
}

// listDigest returns the digest of a list, calculated as hollow nodes do.
func listDigest(entries []emulator.Entry) (digest uint64) {
	for _, e := range entries {
		digest ^= hollow.Digest(e.Instance, e.Address, e.Zone, statesByLifecycle[e.Lifecycle])
	}
	return digest
}

// collectResult completes the result. The workers must have reported the final states of their nodes.
func (s *scaleRun) collectResult() {
	r := &s.result
	r.Name = s.e.Name
	r.Seed = s.e.Seed
	r.HollowNodes = s.e.HollowNodes
	r.FullEngines = s.e.FullEngines
	r.NoKnownList = s.e.NoKnownList
	r.RealBalancers = s.e.RealBalancers
	r.ListServers = s.e.ListServers
	r.Servers = s.e.Servers
	lostChanges := s.collectConvergence(hollow.Now())
	s.collectCPU()
	s.collectTraffic()
	report := s.recorder.Report()
	r.Answers = int(s.statistics.Answers.Load())
	r.UnansweredRequests = report.UnansweredRequests
	r.Violations = len(report.Violations)
	r.ViolationTexts = slices.Concat(report.Violations, lostChanges)
	r.MissedObjectives = r.missedObjectives()
}

// collectConvergence checks whether and when the hollow nodes have applied the changes until the given time. It returns
// descriptions of the lost changes and regressions.
func (s *scaleRun) collectConvergence(end time.Duration) []string {
	events := slices.Clone(s.events)
	for _, w := range s.workers {
		w.mu.Lock()
		events = append(events, w.events...)
		w.mu.Unlock()
	}
	version := s.table.Version()
	want := hollow.FinalList{Version: version, Digest: listDigest(s.table.Entries(version))}
	findings := hollow.Check(events, want, end, applyTimeout)
	latencies := hdrhistogram.New(1, time.Hour.Microseconds(), histogramDigits)
	for _, latency := range findings.Latencies {
		latencies.RecordValue(max(latency.Microseconds(), 1))
	}
	r := &s.result
	r.Applied = len(findings.Latencies)
	r.LostChanges = findings.LostUpdates
	r.Regressions = findings.Regressions
	r.ApplyMsP50 = float64(latencies.ValueAtQuantile(50)) / 1000
	r.ApplyMsP99 = float64(latencies.ValueAtQuantile(99)) / 1000
	r.ApplyMsMax = float64(latencies.Max()) / 1000
	return findings.Violations
}

// collectCPU calculates the quantiles of the hollow nodes' processor time.
func (s *scaleRun) collectCPU() {
	r := &s.result
	engines := hdrhistogram.New(1, int64(time.Minute), histogramDigits)
	followers := hdrhistogram.New(1, int64(time.Minute), histogramDigits)
	for _, w := range s.workers {
		histogram := followers
		if w.fullEngines {
			histogram = engines
		}
		w.mu.Lock()
		for i, usage := range w.usages {
			switch {
			case usage.Running == 0:
			case i >= w.startUsages:
				histogram.RecordValue(int64(nodeCPU(usage)))
			case w.fullEngines:
				r.StartCPUMsPerSecond = max(r.StartCPUMsPerSecond, nodeCPU(usage)/float64(time.Millisecond))
			}
		}
		w.mu.Unlock()
	}
	r.EngineCPUMsPerSecondP99 = p99Ms(engines)
	r.FollowerCPUMsPerSecondP99 = p99Ms(followers)
	r.CPUMsPerSecondP99 = max(r.EngineCPUMsPerSecondP99, r.FollowerCPUMsPerSecondP99)
}

// p99Ms returns the 99 % quantile of a histogram of nanoseconds, in milliseconds.
func p99Ms(h *hdrhistogram.Histogram) float64 {
	return float64(h.ValueAtQuantile(99)) / 1000 / 1000
}

// nodeCPU returns the mean processor time per second of a worker's running nodes, in nanoseconds.
func nodeCPU(u hollow.Usage) float64 {
	return float64(u.CPU) / float64(u.Running) / u.Interval.Seconds()
}

// collectTraffic calculates the traffic of the hollow nodes, the real balancers and the list servers.
func (s *scaleRun) collectTraffic() {
	r := &s.result
	r.KBPerSecondMean = s.nodeTraffic.Mean() / bytesPerKB
	r.KBPerSecondP99 = float64(s.nodeTraffic.ValueAtQuantile(99)) / bytesPerKB
	r.KBPerSecondMax = float64(s.nodeTraffic.Max()) / bytesPerKB
	r.RealKBPerSecondMean = s.realTraffic.Mean() / bytesPerKB
	for _, server := range s.listServers {
		traffic := server.Traffic()
		r.Calls += traffic.Calls
		r.Messages += traffic.Messages
	}
	r.Encodings = s.table.Encodings()
}

// WriteTable writes the result as a human-readable table, with the violations and the missed objectives below it.
func (r ScaleResult) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	row(r.Name, "seed %d", r.Seed)
	row("hollow nodes, full engines, no known list", "%d, %d, %d", r.HollowNodes, r.FullEngines, r.NoKnownList)
	row("real balancers, list servers, room servers", "%d, %d, %d", r.RealBalancers, r.ListServers, r.Servers)
	row("s until all watch the list, nodes that do not", "%.1f, %d", r.StartSeconds, r.NotConnected)
	row("changes, faults", "%d, %d", r.Changes, r.Faults)
	row("ms to apply: median, 99 %, largest", "%.1f, %.1f, %.1f", r.ApplyMsP50, r.ApplyMsP99, r.ApplyMsMax)
	row("CPU ms/s, 99 %: full engines, others", "%.2f, %.2f", r.EngineCPUMsPerSecondP99, r.FollowerCPUMsPerSecondP99)
	row("CPU ms/s, largest during the start: full engines", "%.0f", r.StartCPUMsPerSecond)
	row("KB/s: mean, 99 %, largest", "%.2f, %.2f, %.2f", r.KBPerSecondMean, r.KBPerSecondP99, r.KBPerSecondMax)
	row("MB: full engine, real balancer, all", "%.1f, %.1f, %.0f", r.EngineMBMax, r.RealMBMax, r.TotalMB)
	row("answers, missing", "%d, %d", r.Answers, r.UnansweredRequests)
	row("changes lost, versions that went down", "%d, %d", r.LostChanges, r.Regressions)
	row("invariants violated", "%d", r.Violations)
	if err := w.Flush(); err != nil {
		return err
	}
	writeViolations(out, r.ViolationTexts)
	for _, text := range r.MissedObjectives {
		fmt.Fprintln(out, "missed:", text)
	}
	return nil
}
