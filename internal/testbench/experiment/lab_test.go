package experiment

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// program builds the balancer once for the tests of this package.
func program(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cottonplank")
	if out, err := exec.Command("go", "build", "-o", path, "../../../cmd/cottonplank").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// A small run with real processes: keys exchanged, a drain, a balancer restarted and another killed, tokens raced and replayed.
// All sessions go on, the rules are kept, and what the balancers count is what the players saw. Guards the whole way over
// processes: keys files, SIGHUP, discovery, counters.
func TestRun(t *testing.T) {
	e, err := Parse([]byte(`{"name":"small","balancers":2,"rooms":3,"sessions":40,"fill_s":1,"every_ms":100,"seconds":9,"troubles":[
{"at_s":1.5,"do":"rotate"},{"at_s":2,"do":"replay","share":0.2},{"at_s":2.5,"do":"drain","room":0},{"at_s":2.6,"do":"drain","room":1},
{"at_s":2.7,"do":"return","room":0},{"at_s":4,"do":"restart","balancer":0},{"at_s":7,"do":"drain","room":2},{"at_s":7.1,"do":"kill","balancer":1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	var said []string
	r, err := Run(t.Context(), program(t), e, func(line string) { said = append(said, line) })
	if err != nil {
		t.Fatal(err, said)
	}
	if !r.Sound() || r.StartedOver != 0 || r.Resumed < 40 || r.Raced == 0 || r.Failed != 0 {
		t.Errorf("%+v\n%s", r, strings.Join(said, "\n"))
	}
	if r.ResumedWithin < r.Resumed/2 || r.P50 <= 0 || r.P99 < r.P50 {
		t.Errorf("times: %d of %d, median %v, 99 %% %v", r.ResumedWithin, r.Resumed, r.P50, r.P99)
	}
	var table bytes.Buffer
	if err := r.Table(&table); err != nil || !strings.Contains(table.String(), "with tokens") {
		t.Error(table.String(), err)
	}
}

// Without a restart the balancers' own counts are the players'.
func TestCountsAgree(t *testing.T) {
	e, err := Parse([]byte(`{"name":"counts","balancers":2,"rooms":3,"sessions":30,"fill_s":1,"seconds":4,"troubles":[
{"at_s":2,"do":"drain","room":0},{"at_s":2.5,"do":"crash","room":1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), program(t), e, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	over := 0
	for reason, n := range r.Reasons {
		over += n
		if uint64(n) != r.Balancers["started_over."+reason] {
			t.Errorf("%s: players saw %d, balancers count %d", reason, n, r.Balancers["started_over."+reason])
		}
	}
	if !r.Sound() || uint64(r.Resumed) != r.Balancers["resumed"] || over != r.StartedOver || over == 0 || r.Balancers["tokens_given"] < 30 {
		t.Errorf("%+v", r)
	}
}

// Ctrl-C ends the run at once, and with it every process that it started.
func TestStopped(t *testing.T) {
	e, err := Parse([]byte(`{"name":"stopped","balancers":2,"rooms":1,"sessions":5,"seconds":300}`))
	if err != nil {
		t.Fatal(err)
	}
	binary := program(t)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(time.Second, cancel)
	if _, err := Run(ctx, binary, e, func(string) {}); err == nil {
		t.Error("no error")
	}
	lines, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil || len(lines) == 0 {
		t.Fatal("no processes to look at", err)
	}
	for _, path := range lines {
		if raw, _ := os.ReadFile(path); bytes.HasPrefix(raw, []byte(binary)) {
			t.Errorf("still running: %s", path)
		}
	}
}

// A faulty file is refused with the key and what is wrong; all that the repository holds are sound.
func TestExperiments(t *testing.T) {
	for text, says := range map[string]string{
		`{`: "no JSON", `[]`: "the experiment: ", `{"name":"x","balancers":1,"rooms":1,"sessions":1}`: "seconds",
		`{"name":"x","balancers":0,"rooms":1,"sessions":1,"seconds":1}`:                                                  "balancers: ",
		`{"name":"x","balancers":1,"rooms":1,"sessions":1,"seconds":1,"speed":1}`:                                        "speed",
		`{"name":"x","balancers":1,"rooms":1,"sessions":1,"seconds":1,"troubles":[{"at_s":0,"do":"dance"}]}`:             "troubles/0/do: ",
		`{"name":"x","balancers":1,"rooms":1,"sessions":1,"seconds":1,"troubles":[{"at_s":0,"do":"drain"}]}`:             "room",
		`{"name":"x","balancers":1,"rooms":1,"sessions":1,"seconds":1,"troubles":[{"at_s":0,"do":"drain","room":1}]}`:    "troubles/0/room: 1",
		`{"name":"x","balancers":1,"rooms":1,"sessions":1,"seconds":1,"troubles":[{"at_s":2,"do":"rotate"}]}`:            "troubles/0/at_s",
		`{"name":"x","balancers":1,"rooms":1,"sessions":1,"seconds":1,"troubles":[{"at_s":0,"do":"kill","balancer":1}]}`: "troubles/0/balancer: 1",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%s: %v, want it to say %q", text, err, says)
		}
	}
	files, _ := filepath.Glob("../../../experiments/*.json")
	scales, members := 0, 0
	for _, path := range files { // each is of one of three kinds, and the other two refuse it by its name
		_, err := Load(path)
		_, scaleErr := LoadScale(path)
		_, membersErr := LoadMembers(path)
		switch name := filepath.Base(path); {
		case strings.HasPrefix(name, "two-years"):
			scales++
			err, scaleErr = scaleErr, err
		case strings.HasPrefix(name, "membership"):
			members++
			err, membersErr = membersErr, err
		}
		if err != nil {
			t.Error(path, err)
		}
		for _, other := range []error{scaleErr, membersErr} {
			if other == nil || !strings.Contains(other.Error(), path+": ") {
				t.Error(path, other)
			}
		}
	}
	if _, err := Load("nowhere.json"); len(files) < 8 || scales != 2 || members != 1 || !os.IsNotExist(err) {
		t.Error(len(files), scales, members, err)
	}
}

// Whatever breaks makes a result unsound, in the run beside it too.
func TestSound(t *testing.T) {
	for _, r := range []Result{{RulesBroken: 1}, {AttachedTwice: 1}, {Lost: 1}, {ReplaysUp: 1}, {Without: &Result{RulesBroken: 1}}} {
		if r.Sound() {
			t.Errorf("%+v", r)
		}
	}
	if !(Result{Refused: 3, StartedOver: 2}).Sound() {
		t.Error("refusals break nothing")
	}
}

// The smallest limits that are taken, a list longer than they are wide, and more players than may stand: each is answered, those
// beyond the bound are refused at once, and the limits are kept. Guards against clients that lie unanswered in the backlog
// of a balancer that has used up its descriptors, and against probes' connections that use up the others'.
func TestSmallLimits(t *testing.T) {
	e, err := Load("../../../experiments/small-limits.json")
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), program(t), e, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	stood := int(r.Balancers["open_requests"])
	if !r.Sound() || r.LostAnswers > 0 || r.Failed > 0 || r.Refused < 120 || stood < 40 || stood > 56 {
		t.Errorf("%d stand: %+v", stood, r)
	}
	if c := r.Cost; c.Descriptors > 128 || c.RSS > 32 || c.RSS == 0 || c.Probes == 0 || c.Open == 0 || c.CPU == 0 {
		t.Errorf("%+v", c)
	}
}

// A size is a fleet of its own, measured while its sessions stand.
func TestSizes(t *testing.T) {
	all, err := Sizes(t.Context(), program(t), []int{1, 2}, []int{2}, 4, 0.5, func(string) {})
	if err != nil || len(all) != 2 {
		t.Fatal(all, err)
	}
	for i, s := range all {
		if s.Balancers != i+1 || s.Rooms != 2 || s.Sessions != 8 || !s.Sound || s.Cost.Open < 4 || s.Cost.Descriptors < 8 || s.Cost.RSS < 5 {
			t.Errorf("%+v", s)
		}
	}
	var table bytes.Buffer
	if err := SizeTable(&table, all); err != nil || strings.Count(table.String(), "\n") != 3 {
		t.Error(table.String(), err)
	}
	if _, err := Sizes(t.Context(), "nothing", []int{1000}, []int{2}, 4, 1, func(string) {}); err == nil || !strings.Contains(err.Error(), "balancers") {
		t.Errorf("1000 balancers: %v", err)
	}
}
