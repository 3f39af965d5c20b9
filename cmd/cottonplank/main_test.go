package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestUsage(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	for _, v := range []struct {
		args   []string
		status int
		says   string
	}{
		{nil, 2, "usage"}, {[]string{"dance"}, 2, `unknown command "dance"`}, {[]string{"serve", "x"}, 2, `"x"`},
		{[]string{"version", "-fronts", "f"}, 2, "fronts"}, {[]string{"check", "-x"}, 2, "-x"},
		{[]string{"check"}, 1, "PROXY_CONFIG is not set"}, {[]string{"serve"}, 1, "PROXY_CONFIG is not set"},
		{[]string{"version"}, 0, "cottonplank"},
	} {
		var out bytes.Buffer
		if status := run(v.args, &out, &out); status != v.status || !strings.Contains(out.String(), v.says) {
			t.Errorf("%q: status %d, output %q", v.args, status, out.String())
		}
	}
}

// The example of the fronts file is valid.
func TestCheckWithFronts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	const text = `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c","settings":{"zone":"a",
"membership_mode":"subscribe","profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":1.2,"repeat":"idempotent"}]}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("PROXY_CONFIG", path)
	var out bytes.Buffer
	if status := run([]string{"check", "-fronts", "../../deploy/fronts.json"}, &out, &out); status != 0 ||
		!strings.Contains(out.String(), `quic "127.0.0.1:4433"`) {
		t.Errorf("status %d, output %q", status, out.String())
	}
}
