package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"cottonplank/internal/testbench/experiment"
)

func call(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	status = run(t.Context(), args, &o, &e)
	return status, o.String(), e.String()
}

// Bad usage and bad files are status 2, a run that fails is 1, and each says why on standard error alone.
func TestStatus(t *testing.T) {
	dir := t.TempDir()
	good := filepath.Join(dir, "good.json")
	faulty := filepath.Join(dir, "faulty.json")
	os.WriteFile(good, []byte(`{"name":"x","balancers":1,"rooms":1,"sessions":1,"seconds":1}`), 0o600)
	os.WriteFile(faulty, []byte(`{"name":"x","balancers":-1,"rooms":1,"sessions":1,"seconds":1}`), 0o600)
	large := filepath.Join(dir, "large.json")
	os.WriteFile(large, []byte(`{"name":"x","hollow":4000,"modules":4000,"real":1,"servers":20000,"seconds":1}`), 0o600)
	for _, v := range []struct {
		args   []string
		status int
		says   string
	}{
		{[]string{"run"}, 2, "accepts 1 arg"}, {[]string{"dance"}, 2, "dance"}, {[]string{"run", "--fast", good}, 2, "fast"},
		{[]string{"run", faulty}, 2, "balancers: "}, {[]string{"run", filepath.Join(dir, "none")}, 2, "no such file"},
		{[]string{"run", good, "--balancer", filepath.Join(dir, "none")}, 2, "no such file"},
		{[]string{"run", good, "--balancer", "/bin/false", "--json"}, 1, "ended at once"},
		{[]string{"scale"}, 2, "accepts 1 arg"}, {[]string{"scale", good}, 2, "hollow"}, {[]string{"scale", large, "--seed", "x"}, 2, "seed"},
		{[]string{"scale", large, "--balancer", "/bin/false"}, 2, "is the most"},
		{[]string{"scale-compare", "--servers", "9", "--balancer", "/bin/false"}, 1, "two sizes"},
	} {
		if status, out, errs := call(t, v.args...); status != v.status || !strings.Contains(errs, v.says) || out != "" {
			t.Errorf("%q: status %d, %q, %q", v.args, status, out, errs)
		}
	}
}

// The demo's experiment is sound, and --json prints one object and nothing else on standard output.
func TestJSON(t *testing.T) {
	if _, err := experiment.Parse([]byte(demoExperiment)); err != nil {
		t.Error(err)
	}
	dir := t.TempDir()
	program := filepath.Join(dir, "cottonplank")
	if out, err := exec.Command("go", "build", "-o", program, "../cottonplank").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	file := filepath.Join(dir, "e.json")
	os.WriteFile(file, []byte(`{"name":"x","balancers":1,"rooms":1,"sessions":3,"fill_s":0,"seconds":0.5,"beside_without_tokens":true}`), 0o600)
	status, out, errs := call(t, "run", file, "--json", "--balancer", program)
	if status != 0 || strings.Count(out, "\n") != 1 || !strings.HasPrefix(out, `{"name":"x","tokens":true,"sessions":3,`) ||
		!strings.Contains(out, `"without_tokens":{`) || !strings.Contains(errs, "of 3 play") {
		t.Errorf("status %d\n%s\n%s", status, out, errs)
	}
}

// The flags of one command do not set the defaults of another.
func TestDefaults(t *testing.T) {
	for _, v := range [][]string{{"size", "--rooms", "[10,90]", "(default 20)"}, {"scale-compare", "--servers", "[1000,2000,4000]", "(default 10)"}} {
		if status, out, _ := call(t, v[0], "--help"); status != 0 || !strings.Contains(out, v[2]) || !strings.Contains(out, v[3]) {
			t.Errorf("%q: status %d, %s", v, status, out)
		}
	}
}

// A scale run prints one object and nothing else on standard output; its status is that of a missed aim where it names
// one, which a busy machine may bring about, and 0 where it names none. It takes no more than it says beforehand.
func TestScaleJSON(t *testing.T) {
	dir := t.TempDir()
	program, lab := filepath.Join(dir, "cottonplank"), filepath.Join(dir, "cottonplank-lab")
	for path, source := range map[string]string{program: "../cottonplank", lab: "."} {
		if out, err := exec.Command("go", "build", "-o", path, source).CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
	}
	file := filepath.Join(dir, "e.json")
	os.WriteFile(file, []byte(`{"name":"x","hollow":6,"modules":3,"real":1,"servers":50,"seconds":1,"changes_a_day":400000,"mode":"automatic","sessions":2}`), 0o600)
	var out, errs bytes.Buffer
	c := exec.Command(lab, "scale", file, "--json", "--seed", "9")
	c.Stdout, c.Stderr = &out, &errs
	c.Run()
	var result struct {
		LabMB float64 `json:"lab_mb"`
	}
	var said, of float64
	if err := json.Unmarshal(out.Bytes(), &result); err != nil {
		t.Error(err)
	}
	if _, err := fmt.Sscanf(errs.String(), "x: %g processes, about %g MB", &of, &said); err != nil || of != 4 || result.LabMB <= 0 || result.LabMB > said {
		t.Errorf("it took %g MB, and said %g, of %g processes: %v", result.LabMB, said, of, err)
	}
	want := missed
	if strings.Contains(out.String(), `"aims_missed":[]`) {
		want = kept
	}
	if c.ProcessState.ExitCode() != want || strings.Count(out.String(), "\n") != 1 || !strings.HasPrefix(out.String(), `{"name":"x","seed":9,"hollow":6,"modules":3,`) ||
		!strings.Contains(errs.String(), "of 6 hollow balancers watch") {
		t.Errorf("status %d\n%s\n%s", c.ProcessState.ExitCode(), out.String(), errs.String())
	}
}
