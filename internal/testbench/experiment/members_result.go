package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// MembersResult is what a run of members shows, in the form of the lab's JSON.
type MembersResult struct {
	Name         string   `json:"name"`
	Seed         uint64   `json:"seed"`
	Instances    int      `json:"instances"`
	Faults       int      `json:"faults"`
	Pauses       int      `json:"pauses"`       // processes that were stopped,
	OneWayCuts   int      `json:"one_way_cuts"` // faults that cut one direction
	Partitions   int      `json:"partitions"`
	LossPercent  float64  `json:"loss_percent"` // the largest, on all paths
	FalseFailed  int      `json:"false_failed"`
	SuspectP99   float64  `json:"suspect_ms_p99"` // until the detector's report, of which detect_ms counts from the same kill
	DetectP50    float64  `json:"detect_ms_p50"`
	DetectP99    float64  `json:"detect_ms_p99"`
	Left         float64  `json:"left_ms_max"`
	Agree        float64  `json:"agree_ms_max"`
	SizeBelow    int      `json:"size_below_live"`
	ViewsBack    int      `json:"views_back"`
	ColdOver     int      `json:"cold_over_budget"` // cold room servers that were pushed over
	GossipBytes  float64  `json:"gossip_bytes_per_s_p99"`
	GossipCPU    float64  `json:"gossip_cpu_ms_per_s"` // at most: of the whole process, its share of the load among it
	Answers      int      `json:"answers"`
	LostAnswers  int      `json:"lost_answers"`
	RulesBroken  int      `json:"rules_broken"`
	Broken       []string `json:"broken,omitempty"`
	FalseReports []string `json:"false_reports,omitempty"`
	Missed       []string `json:"missed,omitempty"` // aims
}

// Aims of a run of members.
const (
	detectAim = 12_000 // milliseconds
	leftAim   = 1_500
	agreeAim  = 20_000
	faultsAim = 30
)

func (m *membersRun) result(cpu float64) MembersResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := checkMembers(m.e.Instances, m.events)
	played := m.base.result
	r := MembersResult{Name: m.e.Name, Seed: m.e.Seed, Instances: m.e.Instances, Faults: len(m.faults), FalseFailed: len(found.FalseFailed),
		SuspectP99: quantile(found.Suspect, 0.99), DetectP50: quantile(found.Detect, 0.5), DetectP99: quantile(found.Detect, 0.99), Left: quantile(found.Left, 1), Agree: found.Agree,
		SizeBelow: found.SizeBelowLive, ViewsBack: found.ViewsBack, GossipBytes: quantile(m.bytes, 0.99), GossipCPU: cpu,
		Answers: played.Answers, LostAnswers: played.LostAnswers, Broken: played.Broken}
	for _, f := range m.faults {
		switch f.Kind {
		case faultPause:
			r.Pauses += len(f.Members)
		case faultOneWay, faultMute, faultDeaf:
			r.OneWayCuts++
		case faultPartition:
			r.Partitions++
		case faultNoise:
			r.LossPercent = max(r.LossPercent, 100*f.Noise.Loss)
		}
	}
	r.ColdOver = m.base.collapses
	r.RulesBroken = played.RulesBroken - m.base.collapses
	for _, e := range found.FalseFailed {
		r.FalseReports = append(r.FalseReports, fmt.Sprintf("%v: n%d reports n%d failed", e.At.Round(time.Millisecond), e.Member, e.Other))
	}
	r.Missed = r.misses(len(found.Detect), len(found.Left))
	return r
}

// quantile is the smallest value that this part of all do not exceed; 0: there are none.
func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// misses names the aims that were missed; a run that shows no kill or no planned stop misses its aim too.
func (r MembersResult) misses(kills, stops int) (missed []string) {
	for _, aim := range []struct {
		name    string
		figure  float64
		most    float64
		nothing bool
	}{
		{"false_failed", float64(r.FalseFailed), 0, false},
		{"detect_ms_p99", r.DetectP99, detectAim, kills == 0},
		{"left_ms_max", r.Left, leftAim, stops == 0},
		{"agree_ms_max", r.Agree, agreeAim, false},
		{"size_below_live", float64(r.SizeBelow), 0, false},
		{"views_back", float64(r.ViewsBack), 0, false},
		{"cold_over_budget", float64(r.ColdOver), 0, false},
		{"lost_answers", float64(r.LostAnswers), 0, r.Answers == 0},
		{"rules_broken", float64(r.RulesBroken), 0, false},
	} {
		if aim.figure > aim.most || aim.nothing {
			missed = append(missed, fmt.Sprintf("%s %.0f of %.0f", aim.name, aim.figure, aim.most))
		}
	}
	if r.Faults < faultsAim {
		missed = append(missed, fmt.Sprintf("faults %d of %d", r.Faults, faultsAim))
	}
	return missed
}

// Sound tells whether nothing was missed.
func (r MembersResult) Sound() bool { return len(r.Missed) == 0 }

// Table writes the result for people.
func (r MembersResult) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range []struct {
		name  string
		value any
	}{
		{"instances", r.Instances}, {"faults", r.Faults}, {"pauses", r.Pauses}, {"one-way cuts", r.OneWayCuts}, {"partitions", r.Partitions},
		{"loss, percent", r.LossPercent}, {"failed falsely", r.FalseFailed},
		{"ms to suspect, 99 %", r.SuspectP99}, {"ms to detect, median", r.DetectP50}, {"ms to detect, 99 %", r.DetectP99}, {"ms until a stop is told", r.Left},
		{"ms until all agree", r.Agree}, {"sizes below the live ones", r.SizeBelow}, {"views that went back", r.ViewsBack},
		{"cold room servers pushed over", r.ColdOver}, {"bytes/s of gossip, 99 %", r.GossipBytes}, {"ms/s of processor time, at most", r.GossipCPU},
		{"answers", r.Answers}, {"lost", r.LostAnswers}, {"rules broken", r.RulesBroken},
	} {
		if f, ok := row.value.(float64); ok {
			fmt.Fprintf(w, "%s\t%.1f\t\n", row.name, f)
			continue
		}
		fmt.Fprintf(w, "%s\t%v\t\n", row.name, row.value)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, text := range slices.Concat(r.Broken, r.FalseReports) {
		fmt.Fprintln(out, "broken:", text)
	}
	return nil
}
