package experiment

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// MembershipResult is the result of a MembershipExperiment, as cottonplank-lab prints it in JSON.
type MembershipResult struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Instances is the number of balancers.
	Instances int `json:"instances"`
	// Faults is the number of faults.
	Faults int `json:"faults"`
	// Pauses counts the instances that were paused.
	Pauses int `json:"pauses"`
	// OneWayCuts counts the faults that cut one direction.
	OneWayCuts int `json:"one_way_cuts"`
	// Partitions counts the partitions.
	Partitions int `json:"partitions"`
	// LossPercent is the largest loss of datagrams on all paths.
	LossPercent float64 `json:"loss_percent"`
	// FalseFailed counts the reports that a live and reachable instance has failed.
	FalseFailed int `json:"false_failed"`
	// SuspectMsP99 is a quantile of the time from a kill until all have reported the suspicion.
	SuspectMsP99 float64 `json:"suspect_ms_p99"`
	// DetectMsP50 and DetectMsP99 are quantiles of the time from a kill until all have reported the failure.
	DetectMsP50 float64 `json:"detect_ms_p50"`
	DetectMsP99 float64 `json:"detect_ms_p99"`
	// LeaveMsMax is the longest time from a graceful shutdown until all have reported it.
	LeaveMsMax float64 `json:"left_ms_max"`
	// AgreeMsMax is the time from the end of the last fault until all instances agreed.
	AgreeMsMax float64 `json:"agree_ms_max"`
	// SizeBelowLive counts the polls of a fleet size below the number of live instances.
	SizeBelowLive int `json:"size_below_live"`
	// ViewRegressions counts the polls of a lower view version than before.
	ViewRegressions int `json:"views_back"`
	// Collapses counts the room servers that were overloaded while they warmed up.
	Collapses int `json:"cold_over_budget"`
	// GossipBytesPerSecondP99 is a quantile of the bytes that an instance sends in a second.
	GossipBytesPerSecondP99 float64 `json:"gossip_bytes_per_s_p99"`
	// CPUMsPerSecond is the mean processor time of an instance, which bounds that of gossip.
	CPUMsPerSecond float64 `json:"gossip_cpu_ms_per_s"`
	// Answers counts the final answers that clients have read.
	Answers int `json:"answers"`
	// UnansweredRequests counts the requests that got no answer although one was due.
	UnansweredRequests int `json:"lost_answers"`
	// Violations counts the violations of invariants other than Collapses.
	Violations int `json:"rules_broken"`
	// ViolationTexts describes each violation, Collapses included.
	ViolationTexts []string `json:"broken,omitempty"`
	// FalseReports describes each report of FalseFailed.
	FalseReports []string `json:"false_reports,omitempty"`
	// MissedObjectives describes each objective that was missed.
	MissedObjectives []string `json:"missed,omitempty"`
}

// Objectives of a membership run; those of all other results are 0.
const (
	maxDetectMs = 12_000
	maxLeaveMs  = 1_500
	maxAgreeMs  = 20_000
	minFaults   = 30
)

// result returns the result of a run that was played; cpu is the mean processor time of an instance, in milliseconds a
// second.
func (m *membershipRun) result(cpu float64) MembershipResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	findings := checkMembership(m.e.Instances, m.events)
	played := m.base.result
	r := MembershipResult{
		Name:                    m.e.Name,
		Seed:                    m.e.Seed,
		Instances:               m.e.Instances,
		FalseFailed:             len(findings.FalseFailed),
		SuspectMsP99:            quantile(findings.Suspect, 0.99),
		DetectMsP50:             quantile(findings.Detect, 0.5),
		DetectMsP99:             quantile(findings.Detect, 0.99),
		LeaveMsMax:              quantile(findings.Leave, 1),
		AgreeMsMax:              findings.Agree,
		SizeBelowLive:           findings.SizeBelowLive,
		ViewRegressions:         findings.ViewRegressions,
		Collapses:               m.base.collapses,
		GossipBytesPerSecondP99: quantile(m.gossipRates, 0.99),
		CPUMsPerSecond:          cpu,
		Answers:                 played.Answers,
		UnansweredRequests:      played.UnansweredRequests,
		Violations:              played.Violations - m.base.collapses,
		ViolationTexts:          played.ViolationTexts,
	}
	r.countFaults(m.faults)
	for _, e := range findings.FalseFailed {
		text := fmt.Sprintf("%v: n%d reports n%d failed", e.At.Round(time.Millisecond), e.Member, e.Other)
		r.FalseReports = append(r.FalseReports, text)
	}
	r.MissedObjectives = r.missedObjectives(len(findings.Detect), len(findings.Leave))
	return r
}

// countFaults counts the faults by their kinds.
func (r *MembershipResult) countFaults(faults []membershipFault) {
	r.Faults = len(faults)
	for _, f := range faults {
		switch f.Kind {
		case faultPause:
			r.Pauses += len(f.Members)
		case faultOneWay, faultOutbound, faultInbound:
			r.OneWayCuts++
		case faultPartition:
			r.Partitions++
		case faultNoise:
			r.LossPercent = max(r.LossPercent, 100*f.Noise.Loss)
		}
	}
}

// quantile returns the smallest value that a part of all values, between 0 and 1, does not exceed; 0 if there are none.
func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// missedObjectives describes the objectives that were missed. A run without a kill, a graceful shutdown or an answer
// misses the objectives of these.
func (r MembershipResult) missedObjectives(kills, shutdowns int) (missed []string) {
	for _, objective := range []struct {
		key     string
		value   float64
		maximum float64
		absent  bool
	}{
		{"false_failed", float64(r.FalseFailed), 0, false},
		{"detect_ms_p99", r.DetectMsP99, maxDetectMs, kills == 0},
		{"left_ms_max", r.LeaveMsMax, maxLeaveMs, shutdowns == 0},
		{"agree_ms_max", r.AgreeMsMax, maxAgreeMs, false},
		{"size_below_live", float64(r.SizeBelowLive), 0, false},
		{"views_back", float64(r.ViewRegressions), 0, false},
		{"cold_over_budget", float64(r.Collapses), 0, false},
		{"lost_answers", float64(r.UnansweredRequests), 0, r.Answers == 0},
		{"rules_broken", float64(r.Violations), 0, false},
	} {
		if objective.value > objective.maximum || objective.absent {
			text := fmt.Sprintf("%s %.0f of %.0f", objective.key, objective.value, objective.maximum)
			missed = append(missed, text)
		}
	}
	if r.Faults < minFaults {
		missed = append(missed, fmt.Sprintf("faults %d of %d", r.Faults, minFaults))
	}
	return missed
}

// Passed reports whether no objective was missed.
func (r MembershipResult) Passed() bool { return len(r.MissedObjectives) == 0 }

// WriteTable writes the result as a table for people, with the violations below it.
func (r MembershipResult) WriteTable(out io.Writer) error {
	w := newTableWriter(out)
	count := func(name string, value int) { fmt.Fprintf(w, "%s\t%d\t\n", name, value) }
	measure := func(name string, value float64) { fmt.Fprintf(w, "%s\t%.1f\t\n", name, value) }
	count("instances", r.Instances)
	count("faults", r.Faults)
	count("pauses", r.Pauses)
	count("one-way cuts", r.OneWayCuts)
	count("partitions", r.Partitions)
	measure("loss, percent", r.LossPercent)
	count("failed falsely", r.FalseFailed)
	measure("ms to suspect, 99 %", r.SuspectMsP99)
	measure("ms to detect, median", r.DetectMsP50)
	measure("ms to detect, 99 %", r.DetectMsP99)
	measure("ms until a stop is told", r.LeaveMsMax)
	measure("ms until all agree", r.AgreeMsMax)
	count("sizes below the live ones", r.SizeBelowLive)
	count("views that went back", r.ViewRegressions)
	count("cold room servers pushed over", r.Collapses)
	measure("bytes/s of gossip, 99 %", r.GossipBytesPerSecondP99)
	measure("ms/s of processor time, at most", r.CPUMsPerSecond)
	count("answers", r.Answers)
	count("lost", r.UnansweredRequests)
	count("rules broken", r.Violations)
	if err := w.Flush(); err != nil {
		return err
	}
	for _, text := range slices.Concat(r.ViolationTexts, r.FalseReports) {
		fmt.Fprintln(out, "broken:", text)
	}
	return nil
}
