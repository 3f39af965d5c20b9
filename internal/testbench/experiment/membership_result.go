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
	// Faults is the number of faults that were drawn.
	Faults int `json:"faults"`
	// Pauses counts the pauses that were drawn. A pause of several instances counts once for each of them.
	Pauses int `json:"pauses"`
	// OneWayCuts counts the faults that cut paths in one direction only.
	OneWayCuts int `json:"one_way_cuts"`
	// Partitions counts the partitions.
	Partitions int `json:"partitions"`
	// LossPercent is the largest probability, in percent, with which a noise fault drops a datagram.
	LossPercent float64 `json:"loss_percent"`
	// FalseFailed counts the reports that a live and reachable instance has failed.
	FalseFailed int `json:"false_failed"`
	// SuspectMsP99 is the 99 % quantile of the time from a kill until all undisturbed instances reported the suspicion.
	SuspectMsP99 float64 `json:"suspect_ms_p99"`
	// DetectMsP50 and DetectMsP99 are quantiles of the time from a kill until all undisturbed instances reported the
	// failure.
	DetectMsP50 float64 `json:"detect_ms_p50"`
	DetectMsP99 float64 `json:"detect_ms_p99"`
	// LeaveMsMax is the longest time from a graceful shutdown until all undisturbed instances reported it.
	LeaveMsMax float64 `json:"left_ms_max"`
	// AgreeMsMax is the time from the end of the last fault until the last poll in which an instance returned a wrong
	// number of live instances.
	AgreeMsMax float64 `json:"agree_ms_max"`
	// SizeBelowLive counts the polls in which an instance's fleet size was below the number of instances that had been
	// live for longer than joinGrace.
	SizeBelowLive int `json:"size_below_live"`
	// ViewRegressions counts the polls in which the view version was lower than in the previous poll of the process.
	ViewRegressions int `json:"views_back"`
	// Collapses counts the room servers that were overloaded while they warmed up.
	Collapses int `json:"cold_over_budget"`
	// GossipBytesPerSecondP99 is the 99 % quantile of the bytes of gossip that an instance sends per second.
	GossipBytesPerSecondP99 float64 `json:"gossip_bytes_per_s_p99"`
	// CPUMsPerSecond is the mean processor time of an instance for all its work, of which gossip is a fraction. Known
	// fault: it is too low if processes end during the run. Their processor time during the run is not counted, and
	// their processor time before the run is subtracted.
	CPUMsPerSecond float64 `json:"gossip_cpu_ms_per_s"`
	// Answers counts the final answers that clients have read.
	Answers int `json:"answers"`
	// UnansweredRequests counts the requests without an answer, except those that a kill or a pause excuses.
	UnansweredRequests int `json:"lost_answers"`
	// Violations counts the violations of the invariants of requests and room servers, without Collapses.
	Violations int `json:"rules_broken"`
	// ViolationTexts describes each violation, including Collapses.
	ViolationTexts []string `json:"broken,omitempty"`
	// FalseReports describes each report that FalseFailed counts.
	FalseReports []string `json:"false_reports,omitempty"`
	// MissedObjectives describes each objective that was missed.
	MissedObjectives []string `json:"missed,omitempty"`
}

// Objectives of a membership run: maximum values, and the minimum number of faults. The maximum is 0 for the other
// values that missedObjectives checks.
const (
	maxDetectMs = 12_000
	maxLeaveMs  = 1_500
	maxAgreeMs  = 20_000
	minFaults   = 30
)

// result returns the result of a run whose play has returned. The mean processor time of an instance, cpu, is in
// milliseconds per second.
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

// countFaults sets the counts of faults by kind.
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

// quantile returns the value at the index fraction·n, rounded down, of the n sorted values, and the largest value for
// fraction 1. It returns 0 if there are no values.
func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}

// missedObjectives describes the objectives that were missed. A run without kills, graceful shutdowns or answers also
// misses the objective that is measured from them.
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
			text := fmt.Sprintf("%s: %.0f, expected a measurement of at most %.0f",
				objective.key, objective.value, objective.maximum)
			missed = append(missed, text)
		}
	}
	if r.Faults < minFaults {
		missed = append(missed, fmt.Sprintf("faults: %d, expected at least %d", r.Faults, minFaults))
	}
	return missed
}

// Passed reports whether no objective was missed.
func (r MembershipResult) Passed() bool { return len(r.MissedObjectives) == 0 }

// WriteTable writes the result as a human-readable table, with the violations and the false reports below it.
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
	count("false reports of failure", r.FalseFailed)
	measure("ms until suspected, 99 %", r.SuspectMsP99)
	measure("ms until detected, median", r.DetectMsP50)
	measure("ms until detected, 99 %", r.DetectMsP99)
	measure("ms until all report a shutdown, longest", r.LeaveMsMax)
	measure("ms until all agree after the last fault", r.AgreeMsMax)
	count("polls of a fleet size below the live instances", r.SizeBelowLive)
	count("polls of a view version that went down", r.ViewRegressions)
	count("room servers overloaded while warming up", r.Collapses)
	measure("gossip bytes/s of an instance, 99 %", r.GossipBytesPerSecondP99)
	measure("mean CPU ms/s of an instance", r.CPUMsPerSecond)
	count("answers", r.Answers)
	count("lost", r.UnansweredRequests)
	count("invariants violated", r.Violations)
	if err := w.Flush(); err != nil {
		return err
	}
	for _, text := range slices.Concat(r.ViolationTexts, r.FalseReports) {
		fmt.Fprintln(out, "broken:", text)
	}
	return nil
}
