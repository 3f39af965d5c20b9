package experiment

import (
	"strings"
	"testing"
)

// An invalid file is rejected with an error that names the key, or says that the whole file is invalid.
func TestParseScale(t *testing.T) {
	with := func(values string) string { return `{"name":"x","hollow":1,"real":1,` + values + `}` }
	wantParseErrors(t, ParseScale, map[string]string{
		`{`:                 "invalid JSON",
		with(`"servers":9`): "seconds",
		`{"name":"x","hollow":0,"real":1,"servers":9,"seconds":1}`:                             "hollow: ",
		with(`"servers":9,"seconds":1,"fast":true`):                                            "fast",
		with(`"modules":2,"servers":9,"seconds":1`):                                            "modules: 2",
		with(`"cold":2,"servers":9,"seconds":1`):                                               "cold: 2",
		with(`"servers":3,"seconds":1`):                                                        "servers: 3",
		with(`"servers":9,"seconds":1,"zones":2`):                                              "zones: 2",
		with(`"servers":9,"seconds":1,"sources":2`):                                            "sources: 2",
		`{"name":"x","hollow":1,"real":9,"servers":99,"seconds":1}`:                            "real: 9",
		with(`"servers":9,"seconds":1,"faults":[{"at_s":0,"for_s":2,"do":"cut"}]`):             "faults/0: ends at 2",
		with(`"servers":9,"seconds":3,"faults":[{"at_s":0,"for_s":2,"do":"kill"}]`):            "share",
		with(`"servers":9,"seconds":3,"faults":[{"at_s":0,"for_s":2,"do":"rain"}]`):            "faults/0/do",
		with(`"servers":9,"seconds":3,"regions":1,"faults":[{"at_s":0,"for_s":2,"do":"cut"}]`): "faults/0/do: cut",
		with(`"servers":9,"seconds":3,"regions":1,"sources":1,` +
			`"faults":[{"at_s":0,"for_s":2,"do":"source"}]`): "faults/0/do: source",
	})
	e, err := ParseScale([]byte(smallScaleText))
	if err != nil || e.workers() != 3 || e.region(0) != 0 || e.region(8) != 2 || e.realZone(1) != 3 {
		t.Errorf("%+v, %v", e, err)
	}
}

// A run that needs more of a resource than the limit is rejected with an error that names the resource.
func TestRequirements(t *testing.T) {
	large := parseScale(t, `{"name":"x","hollow":2300,"modules":2300,"real":3,"servers":20000,"seconds":1}`)
	r := large.Requirements()
	sufficient := Limits{MemoryMB: r.MemoryMB, Processes: r.Processes, Descriptors: r.Descriptors}
	if err := r.Check(sufficient); err != nil {
		t.Error(err)
	}
	for want, reduce := range map[string]func(*Limits){
		"MB of memory": func(l *Limits) { l.MemoryMB-- },
		"processes":    func(l *Limits) { l.Processes-- },
		"descriptors":  func(l *Limits) { l.Descriptors-- },
	} {
		t.Run(want, func(t *testing.T) {
			limits := sufficient
			reduce(&limits)
			if err := r.Check(limits); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v, want an error with %q", err, want)
			}
		})
	}
	half := large
	half.Servers /= 2
	if got := half.Requirements(); got.MemoryMB >= r.MemoryMB || got.MemoryMB < r.MemoryMB/3 {
		t.Errorf("half of the room servers need %d MB, all of them %d MB", got.MemoryMB, r.MemoryMB)
	}
	limits, err := MachineLimits()
	if err != nil || limits.MemoryMB < 100 || limits.Processes != 300 || limits.Descriptors < 100 {
		t.Errorf("%+v, %v", limits, err)
	}
}

// Each missed objective is described with its key. Each kind of loss or violation makes the result fail.
func TestScaleObjectives(t *testing.T) {
	good := ScaleResult{
		Changes:           9,
		Applied:           9,
		ApplyMsMax:        maxApplyMs,
		ApplyMsP99:        maxApplyMsP99,
		CPUMsPerSecondP99: maxCPUMsPerSecond,
		KBPerSecondMean:   maxKBPerSecond,
		KBPerSecondP99:    maxKBPerSecond,
		EngineMBMax:       maxEngineMB,
	}
	if missed := good.missedObjectives(); len(missed) != 0 || !good.Passed() {
		t.Error(missed)
	}
	for key, worsen := range map[string]func(*ScaleResult){
		"in_force_ms_max":  func(r *ScaleResult) { r.ApplyMsMax++ },
		"in_force_ms_p99":  func(r *ScaleResult) { r.ApplyMsP99++ },
		"cpu_ms_per_s_p99": func(r *ScaleResult) { r.CPUMsPerSecondP99++ },
		"kb_per_s_mean":    func(r *ScaleResult) { r.KBPerSecondMean++ },
		"kb_per_s_p99":     func(r *ScaleResult) { r.KBPerSecondP99++ },
		"control_mb_max":   func(r *ScaleResult) { r.EngineMBMax++ },
		"no change":        func(r *ScaleResult) { r.Applied = 0 },
	} {
		t.Run(key, func(t *testing.T) {
			r := good
			worsen(&r)
			if missed := r.missedObjectives(); len(missed) != 1 || !strings.Contains(missed[0], key) {
				t.Errorf("missed objectives: %q", missed)
			}
		})
	}
	for _, r := range []ScaleResult{{LostChanges: 1}, {Regressions: 1}, {UnansweredRequests: 1}, {Violations: 1}} {
		if r.Passed() {
			t.Errorf("passed in spite of a failure: %+v", r)
		}
	}
}
