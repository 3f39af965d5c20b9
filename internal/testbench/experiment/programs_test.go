package experiment

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// buildBalancer builds the balancer and returns the path of the program.
func buildBalancer(t *testing.T) string {
	t.Helper()
	return buildProgram(t, "cottonplank")
}

// buildWorker builds the program that runs hollow nodes and returns its path.
func buildWorker(t *testing.T) string {
	t.Helper()
	return buildProgram(t, "cottonplank-lab")
}

// buildPrograms builds the programs of a scale run.
func buildPrograms(t *testing.T) Programs {
	t.Helper()
	return Programs{Balancer: buildBalancer(t), Worker: buildWorker(t)}
}

// buildProgram builds a command of this module and returns the path of the program.
func buildProgram(t *testing.T, name string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if out, err := exec.Command("go", "build", "-o", path, "../../../cmd/"+name).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// processesOf returns the command lines of the running processes of a program.
func processesOf(t *testing.T, program string) (commandLines []string) {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil || len(files) == 0 {
		t.Fatal("cannot list the processes:", err)
	}
	for _, f := range files {
		raw, err := os.ReadFile(f)
		if err == nil && strings.HasPrefix(string(raw), program+"\x00") {
			commandLines = append(commandLines, strings.ReplaceAll(string(raw), "\x00", " "))
		}
	}
	return commandLines
}

// waitUntilEnded waits until no process of the programs runs, and fails the test after 10 s for a program.
func waitUntilEnded(t *testing.T, programs ...string) {
	t.Helper()
	for _, p := range programs {
		for end := time.Now().Add(10 * time.Second); len(processesOf(t, p)) > 0; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("still running: %q", processesOf(t, p))
			}
		}
	}
}

// parseExperiment parses an experiment and fails the test if it is invalid.
func parseExperiment(t *testing.T, text string) Experiment {
	t.Helper()
	e, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// parseScale parses a scale experiment and fails the test if it is invalid.
func parseScale(t *testing.T, text string) ScaleExperiment {
	t.Helper()
	e, err := ParseScale([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// noProgress discards the progress of a run.
func noProgress(string) {}
