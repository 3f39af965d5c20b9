package main

import (
	"errors"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestUsage(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	for _, test := range []struct {
		name   string
		args   []string
		status int
		output string
	}{
		{"no command", nil, 2, "Usage"},
		{"unknown command", []string{"dance"}, 2, `unknown command "dance"`},
		{"unexpected argument", []string{"serve", "x"}, 2, `"x"`},
		{"flag of another command", []string{"version", "-fronts", "f"}, 2, "fronts"},
		{"unknown flag", []string{"check", "-x"}, 2, "-x"},
		{"check without configuration", []string{"check"}, 1, "PROXY_CONFIG is not set"},
		{"serve without configuration", []string{"serve"}, 1, "PROXY_CONFIG is not set"},
		{"version", []string{"version"}, 0, "cottonplank"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if status, output := runCommand(test.args...); status != test.status || !strings.Contains(output, test.output) {
				t.Errorf("%q: status %d, output %q", test.args, status, output)
			}
		})
	}
}

// The example of a fronts file in deploy/ is valid.
func TestCheckWithFronts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	replaceFile(t, path, validConfig)
	t.Setenv("PROXY_CONFIG", path)
	status, output := runCommand("check", "-fronts", "../../deploy/fronts.json")
	if status != 0 || !strings.Contains(output, `quic "127.0.0.1:4433"`) ||
		!strings.Contains(output, "SIGHUP takes over: discovery") {
		t.Errorf("status %d, output %q", status, output)
	}
}

// Guards against a program that does not start under an existing service unit: older versions had the flag -fronts
// with one dash, which the flag parser takes for several short flags.
func TestLongFlags(t *testing.T) {
	args := []string{"check", "-fronts", "f", "-fronts=f", "--fronts", "-x"}
	want := []string{"check", "--fronts", "f", "--fronts=f", "--fronts", "-x"}
	if got := withLongFlags(args); !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
	if args[1] != "-fronts" {
		t.Error("the caller's arguments were modified")
	}
}

func TestCommandError(t *testing.T) {
	err := error(&commandError{fs.ErrNotExist})
	if !errors.Is(err, fs.ErrNotExist) || err.Error() != fs.ErrNotExist.Error() {
		t.Errorf("%v, want %v", err, fs.ErrNotExist)
	}
}
