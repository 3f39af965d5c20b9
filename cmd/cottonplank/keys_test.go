package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cottonplank/internal/config"
)

// expectCommand checks that a command exits with the given status and that its output contains a substring. It returns
// the output.
func expectCommand(t *testing.T, status int, substring string, args ...string) (output string) {
	t.Helper()
	got, output := runCommand(args...)
	if got != status || !strings.Contains(output, substring) {
		t.Errorf("%q: status %d, output %q, want %d and %q", args, got, output, status, substring)
	}
	return output
}

// Guards the secrets of the keys: keys list does not print them, a new keys file is accessible to its owner only, and a
// file that other users may access is rejected with an error that names its mode. The example of a fronts file with
// session resumption in deploy/ is valid with these keys.
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
		t.Errorf("keys file: mode %v, want 0600 and a secret in it", info.Mode())
	}
	for _, key := range keys {
		secret := string(raw[bytes.Index(raw, []byte("secret"))+10:][:16])
		if strings.Contains(listed, secret) || !strings.Contains(listed, key.ID) {
			t.Errorf("list prints a secret, or lacks a key ID: %q", listed)
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
