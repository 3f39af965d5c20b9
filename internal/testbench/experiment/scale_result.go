package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/hollow"

	"cottonplank/decide"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ScaleResult is what a scale run shows, in the form of the lab's JSON.
type ScaleResult struct {
	Name      string  `json:"name"`
	Seed      uint64  `json:"seed"`
	Hollow    int     `json:"hollow"`  // balancers that are control code alone
	Modules   int     `json:"modules"` // of these, the ones whose module has the whole list
	Cold      int     `json:"cold"`    // of these, the ones that start without a known list
	Real      int     `json:"real"`
	Control   int     `json:"control"` // stand-in sources of the list: there are no control machines
	Servers   int     `json:"servers"`
	ListKB    float64 `json:"list_kb"` // the whole list, encoded
	Changes   int     `json:"changes"`
	Faults    int     `json:"faults"`
	StartS    float64 `json:"start_s"`   // until all hollow balancers watched
	NotBegun  int     `json:"not_begun"` // hollow balancers that did not watch by then
	Seconds   float64 `json:"seconds"`   // from then on
	P50       float64 `json:"in_force_ms_p50"`
	P99       float64 `json:"in_force_ms_p99"`
	Most      float64 `json:"in_force_ms_max"`
	InForce   int     `json:"in_force"`         // times that a change came into force
	CPU       float64 `json:"cpu_ms_per_s_p99"` // of one hollow balancer, over the seconds of each process once all watched; the larger of the next two
	CPUModule float64 `json:"cpu_ms_per_s_p99_modules"`
	CPUFollow float64 `json:"cpu_ms_per_s_p99_followers"`
	CPUStart  float64 `json:"cpu_ms_per_s_start"` // the busiest second until then, of the processes whose modules have the list
	KBMean    float64 `json:"kb_per_s_mean"`      // both ways, of one hollow balancer, with its start
	KB        float64 `json:"kb_per_s_p99"`       // over each second of each
	KBMost    float64 `json:"kb_per_s_max"`
	RealKB    float64 `json:"real_kb_per_s_mean"`
	ControlMB float64 `json:"control_mb_max"` // by which a process of modules that have the list has grown, for each of them
	RealMB    float64 `json:"real_mb_max"`
	LabMB     float64 `json:"lab_mb"` // all processes
	Calls     uint64  `json:"source_calls"`
	Messages  uint64  `json:"source_messages"`
	Encoded   uint64  `json:"source_encodings"`
	Answers   int     `json:"answers"`
	Lost      int     `json:"lost_changes"`
	WentBack  int     `json:"went_back"`
	LostAns   int     `json:"lost_answers"`
	Rules     int     `json:"rules_broken"`

	Missed []string `json:"aims_missed"`
	Broken []string `json:"broken,omitempty"`
}

// The aims of a scale run.
const (
	aimMost    = 6000.0 // ms, in force at the latest
	aimP99     = 1000.0 // ms
	aimCPU     = 33.0   // ms a second
	aimKB      = 21.0   // KB a second
	aimControl = 256.0  // MB
)

// Sound tells whether nothing was lost and no rule was broken.
func (r ScaleResult) Sound() bool {
	return r.Lost == 0 && r.WentBack == 0 && r.LostAns == 0 && r.Rules == 0
}

// missed names the aims that a result misses. Nothing in force, or none measured, is a miss too.
func (r ScaleResult) missed() []string {
	all := []string{}
	for _, a := range []struct {
		key       string
		got, most float64
	}{{"in_force_ms_max", r.Most, aimMost}, {"in_force_ms_p99", r.P99, aimP99}, {"cpu_ms_per_s_p99", r.CPU, aimCPU},
		{"kb_per_s_mean", r.KBMean, aimKB}, {"kb_per_s_p99", r.KB, aimKB}, {"control_mb_max", r.ControlMB, aimControl}} {
		if a.got > a.most {
			all = append(all, fmt.Sprintf("%s: %.3g is over %g", a.key, a.got, a.most))
		}
	}
	if r.Changes > 0 && r.InForce == 0 {
		all = append(all, "in_force: no change came into force")
	}
	return all
}

var lifecycles = map[string]decide.State{"active": decide.Ready, "leaving": decide.Draining}

// digest is that of a list.
func digest(entries []emulator.Entry) (d uint64) {
	for _, e := range entries {
		d ^= hollow.Digest(e.Instance, e.Address, e.Zone, lifecycles[e.Lifecycle])
	}
	return d
}

// read makes the result of what was noted.
func (s *scaleRun) read() {
	r := &s.result
	r.Name, r.Seed, r.Hollow, r.Modules, r.Cold, r.Real, r.Control, r.Servers = s.e.Name, s.e.Seed, s.e.Hollow, s.e.Modules, s.e.Cold,
		s.e.Real, s.e.Sources, s.e.Servers
	end := hollow.Now()
	events := slices.Clone(s.events)
	var cpu [2]*hdrhistogram.Histogram
	for i := range cpu {
		cpu[i] = hdrhistogram.New(1, int64(time.Minute), 3)
	}
	for _, w := range s.workers {
		w.mu.Lock()
		events = append(events, w.events...)
		kind := 1
		if w.full {
			kind = 0
		}
		for i, u := range w.usages {
			switch {
			case u.Running == 0:
			case i >= w.start:
				cpu[kind].RecordValue(int64(perSecond(u)))
			case w.full:
				r.CPUStart = max(r.CPUStart, perSecond(u)/1e6)
			}
		}
		w.mu.Unlock()
	}
	version := s.roster.Version()
	f := hollow.Check(events, hollow.FinalList{Version: version, Digest: digest(s.roster.Entries(version))}, end, inForceWithin)
	took := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	for _, d := range f.Latencies {
		took.RecordValue(max(d.Microseconds(), 1))
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	r.InForce, r.Lost, r.WentBack = len(f.Latencies), f.LostUpdates, f.Regressions
	r.P50, r.P99, r.Most = ms(took.ValueAtQuantile(50)), ms(took.ValueAtQuantile(99)), ms(took.Max())
	r.CPUModule, r.CPUFollow = ms(cpu[0].ValueAtQuantile(99))/1000, ms(cpu[1].ValueAtQuantile(99))/1000
	r.CPU = max(r.CPUModule, r.CPUFollow)
	r.KBMean, r.KB, r.KBMost = s.kb[0].Mean()/kb, float64(s.kb[0].ValueAtQuantile(99))/kb, float64(s.kb[0].Max())/kb
	r.RealKB = s.kb[1].Mean() / kb
	for _, source := range s.sources {
		t := source.Traffic()
		r.Calls, r.Messages = r.Calls+t.Calls, r.Messages+t.Messages
	}
	r.Encoded = s.roster.Encodings()
	report := s.recorder.Report()
	r.Answers, r.LostAns, r.Rules, r.Broken = int(s.tally.Answers.Load()), report.UnansweredRequests, len(report.Violations), slices.Concat(report.Violations, f.Violations)
	r.Missed = r.missed()
}

// perSecond is the processor time that one hollow balancer takes a second, in nanoseconds.
func perSecond(u hollow.Usage) float64 {
	return float64(u.CPU) / float64(u.Running) / u.Interval.Seconds()
}

// Table writes the result for people.
func (r ScaleResult) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	row(r.Name, "seed %d", r.Seed)
	row("hollow, of these with the list, cold", "%d, %d, %d", r.Hollow, r.Modules, r.Cold)
	row("real, stand-in sources, room servers", "%d, %d, %d", r.Real, r.Control, r.Servers)
	row("s until all watched, without", "%.1f, %d", r.StartS, r.NotBegun)
	row("changes, faults", "%d, %d", r.Changes, r.Faults)
	row("ms until in force: median, 99 %, most", "%.1f, %.1f, %.1f", r.P50, r.P99, r.Most)
	row("CPU ms/s, 99 %: modules, followers", "%.2f, %.2f", r.CPUModule, r.CPUFollow)
	row("CPU ms/s in the start's busiest second", "%.0f", r.CPUStart)
	row("KB/s: mean, 99 %, most", "%.2f, %.2f, %.2f", r.KBMean, r.KB, r.KBMost)
	row("MB: control part, a real one, the whole lab", "%.1f, %.1f, %.0f", r.ControlMB, r.RealMB, r.LabMB)
	row("answers, lost", "%d, %d", r.Answers, r.LostAns)
	row("changes lost, went back", "%d, %d", r.Lost, r.WentBack)
	row("rules broken", "%d", r.Rules)
	if err := w.Flush(); err != nil {
		return err
	}
	for i, text := range r.Broken {
		if i == 10 {
			fmt.Fprintf(out, "... and %d more\n", len(r.Broken)-i)
			break
		}
		fmt.Fprintln(out, "broken:", text)
	}
	for _, text := range r.Missed {
		fmt.Fprintln(out, "missed:", text)
	}
	return nil
}
