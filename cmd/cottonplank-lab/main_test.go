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

// call executes a command and returns its exit status, standard output and standard error.
func call(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	var outBuffer, errsBuffer bytes.Buffer
	status = run(t.Context(), args, &outBuffer, &errsBuffer)
	return status, outBuffer.String(), errsBuffer.String()
}

// writeFile writes a file in a directory and returns its path.
func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// build builds a package and returns the path of the program.
func build(t *testing.T, dir, name, source string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if out, err := exec.Command("go", "build", "-o", path, source).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// Invalid usage and invalid files end with status 2, and runs that fail with status 1, as does scale-compare with fewer
// than two sizes. The reason is written to standard error, and nothing to standard output.
func TestStatus(t *testing.T) {
	dir := t.TempDir()
	valid := writeFile(t, dir, "valid.json", `{"name":"x","balancers":1,"rooms":1,"sessions":1,"seconds":1}`)
	negative := writeFile(t, dir, "negative.json", `{"name":"x","balancers":-1,"rooms":1,"sessions":1,"seconds":1}`)
	large := writeFile(t, dir, "large.json",
		`{"name":"x","hollow":4000,"modules":4000,"real":1,"servers":20000,"seconds":1}`)
	missing := filepath.Join(dir, "missing")
	for _, v := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{"run"}, 2, "accepts 1 arg"},
		{[]string{"dance"}, 2, "dance"},
		{[]string{"run", "--fast", valid}, 2, "fast"},
		{[]string{"run", negative}, 2, "balancers: "},
		{[]string{"run", missing}, 2, "no such file"},
		{[]string{"run", valid, "--balancer", missing}, 2, "no such file"},
		{[]string{"run", valid, "--balancer", "/bin/false", "--json"}, 1, "ended before it served"},
		{[]string{"scale"}, 2, "accepts 1 arg"},
		{[]string{"scale", valid}, 2, "hollow"},
		{[]string{"scale", large, "--seed", "x"}, 2, "seed"},
		{[]string{"scale", large, "--balancer", "/bin/false"}, 2, "the limit is"},
		{[]string{"scale-compare", "--servers", "9", "--balancer", "/bin/false"}, 1, "two sizes"},
		{[]string{"slope", "list", "--changes", "0"}, 2, "changes: 0"},
	} {
		t.Run(strings.Join(v.args, " "), func(t *testing.T) {
			status, out, errs := call(t, v.args...)
			if status != v.status || !strings.Contains(errs, v.want) || out != "" {
				t.Errorf("status %d, want %d; output %q; errors %q, want %q", status, v.status, out, errs, v.want)
			}
		})
	}
}

// The built-in experiment of the command demo is valid.
func TestDemoExperiment(t *testing.T) {
	if _, err := experiment.Parse([]byte(demoExperiment)); err != nil {
		t.Error(err)
	}
}

// With --json, a run prints one object and nothing else on standard output.
func TestJSON(t *testing.T) {
	dir := t.TempDir()
	program := build(t, dir, "cottonplank", "../cottonplank")
	file := writeFile(t, dir, "experiment.json",
		`{"name":"x","balancers":1,"rooms":1,"sessions":3,"fill_s":0,"seconds":0.5,"beside_without_tokens":true}`)
	status, out, errs := call(t, "run", file, "--json", "--balancer", program)
	if status != 0 || strings.Count(out, "\n") != 1 || !strings.Contains(errs, "of 3 play") {
		t.Errorf("status %d\n%s\n%s", status, out, errs)
	}
	if !strings.HasPrefix(out, `{"name":"x","tokens":true,"sessions":3,`) {
		t.Errorf("unexpected start of the result: %s", out)
	}
	if !strings.Contains(out, `"without_tokens":{`) {
		t.Errorf("no result without tokens in %s", out)
	}
}

// The commands size and scale-compare both have a flag --seconds, and the help of each shows its own default. The test
// guards against flags of one command that set the defaults of another.
func TestDefaults(t *testing.T) {
	for _, v := range []struct {
		command string
		want    []string
	}{
		{"size", []string{"[10,90]", "(default 20)"}},
		{"scale-compare", []string{"[1000,2000,4000]", "(default 10)"}},
	} {
		t.Run(v.command, func(t *testing.T) {
			status, out, _ := call(t, v.command, "--help")
			for _, want := range v.want {
				if status != 0 || !strings.Contains(out, want) {
					t.Errorf("status %d, want %q in %s", status, want, out)
				}
			}
		})
	}
}

// With --json, a scale run prints one object and nothing else on standard output. Its status is 3 if the result names a
// missed objective, which a busy machine may cause, and 0 otherwise. The run uses at most the memory that it announces.
func TestScaleJSON(t *testing.T) {
	dir := t.TempDir()
	build(t, dir, "cottonplank", "../cottonplank")
	program := build(t, dir, "cottonplank-lab", ".")
	file := writeFile(t, dir, "experiment.json", `{"name":"x","hollow":6,"modules":3,"real":1,"servers":50,"seconds":1,
"changes_a_day":400000,"mode":"automatic","sessions":2}`)
	var out, errs bytes.Buffer
	c := exec.Command(program, "scale", file, "--json", "--seed", "9")
	c.Stdout, c.Stderr = &out, &errs
	c.Run() // the status is checked below
	checkAnnouncement(t, errs.String(), out.Bytes())
	want := 3
	if strings.Contains(out.String(), `"aims_missed":[]`) {
		want = 0
	}
	if status := c.ProcessState.ExitCode(); status != want || strings.Count(out.String(), "\n") != 1 {
		t.Errorf("status %d, want %d\n%s\n%s", status, want, out.String(), errs.String())
	}
	if !strings.HasPrefix(out.String(), `{"name":"x","seed":9,"hollow":6,"modules":3,`) {
		t.Errorf("unexpected start of the result: %s", out.String())
	}
	if !strings.Contains(errs.String(), "of 6 hollow balancers watch") {
		t.Errorf("the progress does not show the hollow nodes that watch: %s", errs.String())
	}
}

// checkAnnouncement checks that the progress of a scale run announces four processes (the lab, two workers and a real
// balancer), and at least as much memory as its result reports.
func checkAnnouncement(t *testing.T, progress string, out []byte) {
	t.Helper()
	var result struct {
		TotalMB float64 `json:"lab_mb"`
	}
	if err := json.Unmarshal(out, &result); err != nil {
		t.Error(err)
	}
	var processes, announcedMB float64
	if _, err := fmt.Sscanf(progress, "x: %g processes, about %g MB", &processes, &announcedMB); err != nil {
		t.Errorf("%v: %s", err, progress)
	}
	if processes != 4 || result.TotalMB <= 0 || result.TotalMB > announcedMB {
		t.Errorf("announced %g processes, want 4; the run used %g MB of %g MB announced",
			processes, result.TotalMB, announcedMB)
	}
}
