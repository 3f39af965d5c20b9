package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"cottonplank/internal/lab"
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
	for _, v := range []struct {
		args   []string
		status int
		says   string
	}{
		{[]string{"run"}, 2, "accepts 1 arg"}, {[]string{"dance"}, 2, "dance"}, {[]string{"run", "--fast", good}, 2, "fast"},
		{[]string{"run", faulty}, 2, "balancers: "}, {[]string{"run", filepath.Join(dir, "none")}, 2, "no such file"},
		{[]string{"run", good, "--balancer", filepath.Join(dir, "none")}, 2, "no such file"},
		{[]string{"run", good, "--balancer", "/bin/false", "--json"}, 1, "ended at once"},
	} {
		if status, out, errs := call(t, v.args...); status != v.status || !strings.Contains(errs, v.says) || out != "" {
			t.Errorf("%q: status %d, %q, %q", v.args, status, out, errs)
		}
	}
}

// The demo's experiment is sound, and --json prints one object and nothing else on standard output.
func TestJSON(t *testing.T) {
	if _, err := lab.Parse([]byte(demoExperiment)); err != nil {
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
