package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cottonplank/internal/config"
)

// expectCommand checks the exit status of a command and a part of its output, which it returns.
func expectCommand(t *testing.T, status int, part string, args ...string) (output string) {
	t.Helper()
	got, output := runCommand(args...)
	if got != status || !strings.Contains(output, part) {
		t.Errorf("%q: status %d, output %q, want %d and %q", args, got, output, status, part)
	}
	return output
}

// Keys are created and listed without a secret on the screen, in a file that only its owner may use; one that others
// may read is rejected with its mode. The example of the fronts file works with them.
func TestKeys(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "resume-keys.json")
	expectCommand(t, 2, "file", "keys", "new")
	expectCommand(t, 2, "new or list", "keys")
	expectCommand(t, 1, "no such file", "keys", "list", "--file", file)
	expectCommand(t, 1, "--after", "keys", "new", "--file", file, "--for", "1s")
	expectCommand(t, 0, "seals from", "keys", "new", "--file", file)
	expectCommand(t, 0, "seals from", "keys", "new", "--file", file, "--after", "1h")
	listed := expectCommand(t, 0, "waits", "keys", "list", "--file", file)
	keys, err := config.LoadKeys(file)
	if err != nil || len(keys) != 2 {
		t.Fatal(keys, err)
	}
	raw, _ := os.ReadFile(file)
	if info, _ := os.Stat(file); info.Mode().Perm() != 0o600 || !bytes.Contains(raw, []byte(`"secret"`)) {
		t.Errorf("mode %v", info.Mode())
	}
	for _, key := range keys {
		secret := string(raw[bytes.Index(raw, []byte("secret"))+10:][:16])
		if strings.Contains(listed, secret) || !strings.Contains(listed, key.ID) {
			t.Errorf("listed as %q", listed)
		}
	}
	fronts := filepath.Join(dir, "fronts.json")
	copyFile(t, "../../deploy/fronts-resume.json", fronts)
	path := filepath.Join(dir, "config.json")
	replaceFile(t, path, validConfig)
	t.Setenv("PROXY_CONFIG", path)
	expectCommand(t, 0, `site "example", key `+keys[0].ID+" seals, 2 keys", "check", "-fronts", fronts)
	for _, mode := range []os.FileMode{0o640, 0o604, 0o620} {
		if err := os.Chmod(file, mode); err != nil {
			t.Fatal(err)
		}
		expectCommand(t, 1, "mode 0", "check", "--fronts="+fronts)
		expectCommand(t, 1, "mode 0", "keys", "list", "--file", file)
	}
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	raw, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	replaceFile(t, to, string(raw))
}
