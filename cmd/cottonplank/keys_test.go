package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cottonplank/internal/config"
)

// Keys are made and listed without a secret on the screen, in a file that is the owner's alone; one that others may read is
// refused with its mode. The example of the fronts file works with them.
func TestKeys(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "resume-keys.json")
	var out bytes.Buffer
	call := func(status int, says string, args ...string) {
		t.Helper()
		out.Reset()
		if got := run(args, &out, &out); got != status || !strings.Contains(out.String(), says) {
			t.Errorf("%q: status %d, output %q, want %d and %q", args, got, out.String(), status, says)
		}
	}
	call(2, "file", "keys", "new")
	call(2, "new or list", "keys")
	call(1, "no such file", "keys", "list", "--file", file)
	call(1, "--after", "keys", "new", "--file", file, "--for", "1s")
	call(0, "seals from", "keys", "new", "--file", file)
	call(0, "seals from", "keys", "new", "--file", file, "--after", "1h")
	call(0, "waits", "keys", "list", "--file", file)
	keys, err := config.LoadKeys(file)
	if err != nil || len(keys) != 2 {
		t.Fatal(keys, err)
	}
	raw, _ := os.ReadFile(file)
	if info, _ := os.Stat(file); info.Mode().Perm() != 0o600 || !bytes.Contains(raw, []byte(`"secret"`)) {
		t.Errorf("mode %v", info.Mode())
	}
	for _, k := range keys {
		if secret := string(raw[bytes.Index(raw, []byte("secret"))+10:][:16]); strings.Contains(out.String(), secret) || !strings.Contains(out.String(), k.ID) {
			t.Errorf("listed as %q", out.String())
		}
	}
	example, err := os.ReadFile("../../deploy/fronts-resume.json")
	if err != nil {
		t.Fatal(err)
	}
	fronts := filepath.Join(dir, "fronts.json")
	settings := filepath.Join(dir, "config.json")
	for path, text := range map[string]string{fronts: string(example), settings: `{"name":"n3","listen":"127.0.0.4:9000",
"discovery":"127.2.0.1:8500","seed":"8c","settings":{"zone":"a","membership_mode":"subscribe","profiles":[{"name":"solo-play",
"aim_s":0.3,"give_up_s":1.2,"repeat":"idempotent"}]}}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Setenv("PROXY_CONFIG", settings)
	call(0, `site "example", key `+keys[0].ID+" seals, 2 keys", "check", "-fronts", fronts)
	for _, mode := range []os.FileMode{0o640, 0o604, 0o620} {
		if err := os.Chmod(file, mode); err != nil {
			t.Fatal(err)
		}
		call(1, "mode 0", "check", "--fronts="+fronts)
		call(1, "mode 0", "keys", "list", "--file", file)
	}
}
