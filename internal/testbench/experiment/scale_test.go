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

// labProgram builds the lab, whose processes of hollow balancers a scale run starts.
func labProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cottonplank-lab")
	if out, err := exec.Command("go", "build", "-o", path, "../../../cmd/cottonplank-lab").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// running is the processes of a program.
func running(t *testing.T, program string) (all []string) {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil || len(files) == 0 {
		t.Fatal("no processes to look at", err)
	}
	for _, f := range files {
		if raw, err := os.ReadFile(f); err == nil && strings.HasPrefix(string(raw), program+"\x00") {
			all = append(all, strings.ReplaceAll(string(raw), "\x00", " "))
		}
	}
	return all
}

// gone waits until no process of the programs runs.
func gone(t *testing.T, programs ...string) {
	t.Helper()
	for _, p := range programs {
		for end := time.Now().Add(10 * time.Second); len(running(t, p)) > 0; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("they still run: %q", running(t, p))
			}
		}
	}
}

const smallScale = `{"name":"small","hollow":30,"modules":9,"cold":3,"each":15,"real":2,"sessions":20,"servers":200,"seconds":8,"mode":"automatic",
"changes_a_day":400000,"faults":[{"at_s":0.5,"for_s":1,"do":"kill","share":0.1},{"at_s":1,"for_s":1,"do":"slow","delay_ms":50,"kb_per_s":500},
{"at_s":2,"for_s":1,"do":"cut"},{"at_s":3,"for_s":1.5,"do":"source"},{"at_s":5,"for_s":1.5,"do":"zone"}]}`

// A small run with all faults: all changes come into force everywhere, and the rules are kept.
func TestScale(t *testing.T) {
	e, err := ParseScale([]byte(smallScale))
	if err != nil {
		t.Fatal(err)
	}
	var said []string
	p := Programs{program(t), labProgram(t)}
	r, err := Scale(t.Context(), p, e, func(line string) { said = append(said, line) })
	if err != nil {
		t.Fatal(err, said)
	}
	if !r.Sound() || r.Changes < 30 || r.Faults != 5 || r.Answers < 40 || r.Hollow != 30 || r.Real != 2 || r.Control != 6 {
		t.Errorf("%+v\n%s", r, strings.Join(said, "\n"))
	}
	// Each change once at each: those that it was told of while it was cut off or gone too.
	if r.InForce != r.Changes*r.Hollow || r.Most <= 0 || r.P50 <= 0 || r.CPUModule <= 0 || r.CPUFollow <= 0 || r.KBMean <= 0 ||
		r.ControlMB <= 0 || r.LabMB <= 0 {
		t.Errorf("%+v", r)
	}
	if uint64(r.Changes) > r.Encoded || r.Encoded > uint64(2*r.Changes+10) {
		t.Errorf("%d encodings for %d changes", r.Encoded, r.Changes)
	}
	var table bytes.Buffer
	if err := r.Table(&table); err != nil || !strings.Contains(table.String(), "changes lost") {
		t.Error(table.String(), err)
	}
	gone(t, p.Balancer, p.Lab)
}

// Ctrl-C ends a run with all its processes, and so does its own end by SIGKILL, which it cannot see.
func TestScaleEnds(t *testing.T) {
	p := Programs{program(t), labProgram(t)}
	text := strings.Replace(smallScale, `"seconds":8`, `"seconds":300`, 1)
	e, err := ParseScale([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := Scale(ctx, p, e, func(line string) {
		if strings.Contains(line, "is gone with") { // a real one may be on its way back
			time.AfterFunc(1510*time.Millisecond, cancel)
		}
	}); err == nil {
		t.Error("no error")
	}
	gone(t, p.Balancer, p.Lab)

	file := filepath.Join(t.TempDir(), "scale.json")
	os.WriteFile(file, []byte(text), 0o600)
	var progress bytes.Buffer
	c := exec.Command(p.Lab, "scale", file, "--balancer", p.Balancer)
	c.Stderr = &progress
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(60 * time.Second); (len(running(t, p.Balancer)) < 2 || len(running(t, p.Lab)) < 4) && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	before := append(running(t, p.Balancer), running(t, p.Lab)...)
	c.Process.Kill()
	c.Wait()
	if len(before) < 6 {
		t.Errorf("only these ran: %q\n%s", before, progress.String())
	}
	gone(t, p.Balancer, p.Lab)
}

// Bad files are told by the key and the value.
func TestParseScale(t *testing.T) {
	for text, says := range map[string]string{
		`{"name":"x","hollow":1,"real":1,"servers":9}`:                                                                                   "seconds",
		`{"name":"x","hollow":0,"real":1,"servers":9,"seconds":1}`:                                                                       "hollow: ",
		`{"name":"x","hollow":1,"real":1,"servers":9,"seconds":1,"fast":true}`:                                                           "fast",
		`{"name":"x","hollow":1,"modules":2,"real":1,"servers":9,"seconds":1}`:                                                           "modules: 2",
		`{"name":"x","hollow":1,"cold":2,"real":1,"servers":9,"seconds":1}`:                                                              "cold: 2",
		`{"name":"x","hollow":1,"real":1,"servers":3,"seconds":1}`:                                                                       "servers: 3",
		`{"name":"x","hollow":1,"real":1,"servers":9,"seconds":1,"zones":2}`:                                                             "zones: 2",
		`{"name":"x","hollow":1,"real":1,"servers":9,"seconds":1,"sources":2}`:                                                           "sources: 2",
		`{"name":"x","hollow":1,"real":9,"servers":99,"seconds":1}`:                                                                      "real: 9",
		`{"name":"x","hollow":1,"real":1,"servers":9,"seconds":1,"faults":[{"at_s":0,"for_s":2,"do":"cut"}]}`:                            "faults/0: mended at 2",
		`{"name":"x","hollow":1,"real":1,"servers":9,"seconds":3,"faults":[{"at_s":0,"for_s":2,"do":"kill"}]}`:                           "share",
		`{"name":"x","hollow":1,"real":1,"servers":9,"seconds":3,"faults":[{"at_s":0,"for_s":2,"do":"rain"}]}`:                           "faults/0/do",
		`{"name":"x","hollow":1,"real":1,"servers":9,"seconds":3,"regions":1,"faults":[{"at_s":0,"for_s":2,"do":"cut"}]}`:                "faults/0/do: cut",
		`{"name":"x","hollow":1,"real":1,"servers":9,"seconds":3,"regions":1,"sources":1,"faults":[{"at_s":0,"for_s":2,"do":"source"}]}`: "faults/0/do: source",
		`{`: "no JSON",
	} {
		if _, err := ParseScale([]byte(text)); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%s: %v", text, err)
		}
	}
	if e, err := ParseScale([]byte(smallScale)); err != nil || e.workers() != 3 || e.region(0) != 0 || e.region(8) != 2 || e.realZone(1) != 3 {
		t.Errorf("%+v, %v", e, err)
	}
}

// A run that does not fit is refused before anything starts, with what is too large.
func TestNeed(t *testing.T) {
	large, err := ParseScale([]byte(`{"name":"x","hollow":2300,"modules":2300,"real":3,"servers":20000,"seconds":1}`))
	if err != nil {
		t.Fatal(err)
	}
	n := large.Need()
	good := Limits{n.MemoryMB, n.Processes, n.Descriptors}
	if err := n.Fits(good); err != nil {
		t.Error(err)
	}
	for says, l := range map[string]Limits{
		"MB of memory": {n.MemoryMB - 1, n.Processes, n.Descriptors}, "processes": {n.MemoryMB, n.Processes - 1, n.Descriptors},
		"descriptors": {n.MemoryMB, n.Processes, n.Descriptors - 1},
	} {
		if err := n.Fits(l); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%s: %v", says, err)
		}
	}
	more := large
	more.Servers /= 2
	if m := more.Need(); m.MemoryMB >= n.MemoryMB || m.MemoryMB < n.MemoryMB/3 {
		t.Errorf("half of the room servers: %d MB after %d", m.MemoryMB, n.MemoryMB)
	}
	l, err := MachineLimits()
	if err != nil || l.MemoryMB < 100 || l.Processes != 300 || l.Descriptors < 100 {
		t.Errorf("%+v, %v", l, err)
	}
}

// Each aim that is missed is named, and each way to be unsound is seen.
func TestScaleJudged(t *testing.T) {
	good := ScaleResult{Changes: 9, InForce: 9, Most: aimMost, P99: aimP99, CPU: aimCPU, KBMean: aimKB, KB: aimKB, ControlMB: aimControl}
	if m := good.missed(); len(m) != 0 || !good.Sound() {
		t.Error(m)
	}
	for key, change := range map[string]func(*ScaleResult){
		"in_force_ms_max": func(r *ScaleResult) { r.Most++ }, "in_force_ms_p99": func(r *ScaleResult) { r.P99++ },
		"cpu_ms_per_s_p99": func(r *ScaleResult) { r.CPU++ }, "kb_per_s_mean": func(r *ScaleResult) { r.KBMean++ },
		"kb_per_s_p99": func(r *ScaleResult) { r.KB++ }, "control_mb_max": func(r *ScaleResult) { r.ControlMB++ },
		"no change": func(r *ScaleResult) { r.InForce = 0 },
	} {
		r := good
		change(&r)
		if m := r.missed(); len(m) != 1 || !strings.Contains(m[0], key) {
			t.Errorf("%s: %q", key, m)
		}
	}
	for _, r := range []ScaleResult{{Lost: 1}, {WentBack: 1}, {LostAns: 1}, {Rules: 1}} {
		if r.Sound() {
			t.Errorf("%+v is sound", r)
		}
	}
}
