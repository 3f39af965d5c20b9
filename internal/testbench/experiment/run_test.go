package experiment

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

// All sessions continue and all invariants hold in a small run with rotated sealing keys, drains, a restarted and a
// killed balancer, and raced and replayed tokens. The test covers the key file, SIGHUP, discovery and the metrics.
func TestRun(t *testing.T) {
	e := parseExperiment(t, `{"name":"small","balancers":2,"rooms":3,"sessions":40,"fill_s":1,"every_ms":100,
"seconds":9,"troubles":[
{"at_s":1.5,"do":"rotate"},{"at_s":2,"do":"replay","share":0.2},{"at_s":2.5,"do":"drain","room":0},
{"at_s":2.6,"do":"drain","room":1},{"at_s":2.7,"do":"return","room":0},{"at_s":4,"do":"restart","balancer":0},
{"at_s":7,"do":"drain","room":2},{"at_s":7.1,"do":"kill","balancer":1}]}`)
	var progress []string
	r, err := Run(t.Context(), buildBalancer(t), e, func(line string) { progress = append(progress, line) })
	if err != nil {
		t.Fatal(err, progress)
	}
	if !r.Passed() || r.StartedOver != 0 || r.Resumed < 40 || r.RacedTokens == 0 || r.Failed != 0 {
		t.Errorf("%+v\n%s", r, strings.Join(progress, "\n"))
	}
	if r.ResumedWithin < r.Resumed/2 || r.ResumeMsP50 <= 0 || r.ResumeMsP99 < r.ResumeMsP50 {
		t.Errorf("%d of %d resumed within 500 ms; median %v ms, 99 %% quantile %v ms",
			r.ResumedWithin, r.Resumed, r.ResumeMsP50, r.ResumeMsP99)
	}
	var table bytes.Buffer
	if err := r.WriteTable(&table); err != nil || !strings.Contains(table.String(), "with tokens") {
		t.Error(table.String(), err)
	}
}

// In a run that stops no balancer, the balancers' metrics of sessions that resumed or started over equal the clients'
// counts.
func TestCountsAgree(t *testing.T) {
	e := parseExperiment(t, `{"name":"counts","balancers":2,"rooms":3,"sessions":30,"fill_s":1,"seconds":4,"troubles":[
{"at_s":2,"do":"drain","room":0},{"at_s":2.5,"do":"crash","room":1}]}`)
	r, err := Run(t.Context(), buildBalancer(t), e, noProgress)
	if err != nil {
		t.Fatal(err)
	}
	startedOver := 0
	for reason, n := range r.Reasons {
		startedOver += n
		if uint64(n) != r.Balancers["started_over."+reason] {
			t.Errorf("sessions that started over, %s: clients count %d, balancers %d",
				reason, n, r.Balancers["started_over."+reason])
		}
	}
	if !r.Passed() || uint64(r.Resumed) != r.Balancers["resumed"] || r.Balancers["tokens_given"] < 30 {
		t.Errorf("%+v", r)
	}
	if startedOver != r.StartedOver || startedOver == 0 {
		t.Errorf("%d sessions started over, the reasons add up to %d", r.StartedOver, startedOver)
	}
}

// A cancelled run returns an error, and none of the processes that it has started runs afterwards.
func TestRunCancelled(t *testing.T) {
	e := parseExperiment(t, `{"name":"stopped","balancers":2,"rooms":1,"sessions":5,"seconds":300}`)
	program := buildBalancer(t)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(time.Second, cancel)
	if _, err := Run(ctx, program, e, noProgress); err == nil {
		t.Error("no error of a cancelled run")
	}
	for _, commandLine := range processesOf(t, program) {
		t.Errorf("still running: %s", commandLine)
	}
}

// Each kind of violation makes a result fail, also one in the run without tokens. Rejections and sessions that start
// over do not.
func TestResultPassed(t *testing.T) {
	for name, v := range map[string]struct {
		result Result
		want   bool
	}{
		"violation":                {Result{Violations: 1}, false},
		"double attachment":        {Result{DoubleAttachments: 1}, false},
		"lost session":             {Result{LostSessions: 1}, false},
		"replay accepted":          {Result{ReplaysAccepted: 1}, false},
		"violation without tokens": {Result{WithoutTokens: &Result{Violations: 1}}, false},
		"rejections":               {Result{Rejected: 3, StartedOver: 2}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := v.result.Passed(); got != v.want {
				t.Errorf("passed: %v, want %v", got, v.want)
			}
		})
	}
}

// With the smallest limits, a long list and more clients than the balancers have descriptors for, every request is
// answered, requests beyond the limit are rejected, and the limits are kept. The test guards against clients that
// wait unanswered in the backlog of a balancer without free descriptors, and against probes that use up the clients'
// descriptors.
func TestSmallLimits(t *testing.T) {
	e, err := Load("../../../experiments/small-limits.json")
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), buildBalancer(t), e, noProgress)
	if err != nil {
		t.Fatal(err)
	}
	established := int(r.Balancers["open_requests"])
	if established < 40 || established > 56 {
		t.Errorf("%d established connections, want 40 to 56", established)
	}
	if !r.Passed() || r.UnansweredRequests > 0 || r.Failed > 0 || r.Rejected < 120 {
		t.Errorf("%+v", r)
	}
	c := r.Cost
	if c.MaxDescriptors > 128 || c.MaxResidentMB > 32 || c.MaxResidentMB == 0 {
		t.Errorf("limits are exceeded: %+v", c)
	}
	if c.ProbesPerSecond == 0 || c.MeanOpen == 0 || c.CPUMsPerSecond == 0 {
		t.Errorf("costs that are 0: %+v", c)
	}
}
