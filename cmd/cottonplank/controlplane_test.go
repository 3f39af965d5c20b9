package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cottonplank/internal/config"
)

// argumentsEnvironment has the test's program run as a command with these arguments.
const argumentsEnvironment = "COTTONPLANK_TEST_ARGUMENTS"

// maxPropagationDelay is how long a change of the operator's file may take to all balancers.
const maxPropagationDelay = 6 * time.Second

// startCommand starts the test's program with arguments; its log may be read once it has ended.
func startCommand(t *testing.T, environment []string, arguments ...string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	c, logged := exec.Command(os.Args[0]), &bytes.Buffer{}
	c.Env = append(append(os.Environ(), argumentsEnvironment+"="+strings.Join(arguments, " ")), environment...)
	c.Stderr = logged
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	return c, logged
}

func endpointsJSON(n int) string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf(`{"name":"s-%d","address":"127.0.0.1:%d","zone":"a"}`, i, 20+i))
	}
	return `{"rooms":[` + strings.Join(all, ",") + `]}`
}

// A control machine that writes, one that follows it, and two balancers: a change of the file is in force at both within 6 s;
// the machine that they follow is killed, and the next change finds them at the other one. A balancer that starts again while no
// machine is there has its last version.
func TestControlPlaneFailover(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	in := func(name string) string { return filepath.Join(dir, name) }
	var out bytes.Buffer
	if run([]string{"keys", "new", "--file", in("keys.json")}, &out, &out) != 0 {
		t.Fatal(out.String())
	}
	writes, follows := reservedAddress(t), reservedAddress(t)
	replaceFile(t, in("document.json"), endpointsJSON(3))
	replaceFile(t, in("writes.json"), fmt.Sprintf(`{"listen":%q,"region":"a","site":"x","keys":"keys.json","state":"writes.db","term":1,"file":"document.json"}`, writes))
	replaceFile(t, in("follows.json"), fmt.Sprintf(`{"listen":%q,"region":"b","site":"x","keys":"keys.json","state":"follows.db","machines":[{"address":%q,"region":"a"}]}`,
		follows, writes))
	for _, name := range []string{"writes.json", "follows.json"} {
		out.Reset()
		if status := run([]string{"check", "--control", in(name)}, &out, &out); status != 0 || !strings.Contains(out.String(), `site "x"`) {
			t.Fatalf("check of %s: %d, %s", name, status, out.String())
		}
	}
	first, _ := startCommand(t, nil, "control", "--file", in("writes.json"))
	second, _ := startCommand(t, nil, "control", "--file", in("follows.json"))
	serve := func(i int) *process {
		fronts := in(fmt.Sprint("fronts", i, ".json"))
		replaceFile(t, fronts, fmt.Sprintf(`{"control":{"region":"b","site":"x","keys":"keys.json","state":"balancer%d.db","machines":[
{"address":%q,"region":"a"},{"address":%q,"region":"b"}]}}`, i, writes, follows))
		path := in(fmt.Sprint("config", i, ".json"))
		replaceFile(t, path, fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":"127.0.0.1:9","seed":"%d","settings":{"zone":"a",
"membership_mode":"subscribe","profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":2,"repeat":"idempotent"}]}}`, i, reservedAddress(t), i+1))
		p := &process{t: t, management: reservedAddress(t)}
		p.command, p.logs = startCommand(t, []string{"PROXY_CONFIG=" + path, "PROXY_MANAGEMENT=" + p.management, "TMPDIR=" + t.TempDir()},
			"serve", "--fronts", fronts)
		return p
	}
	balancers := []*process{serve(0), serve(1)}
	all := func(rooms int) {
		t.Helper()
		start := time.Now()
		for _, p := range balancers {
			p.waitListed(rooms)
		}
		took := time.Since(start)
		t.Logf("%d room servers are listed at both after %v", rooms, took)
		if took > maxPropagationDelay {
			t.Errorf("%d room servers are listed at both after %v", rooms, took)
		}
	}
	for _, p := range balancers {
		p.waitListed(3)
	}
	replaceFile(t, in("document.json"), endpointsJSON(4))
	all(4)
	second.Process.Signal(syscall.SIGKILL)
	replaceFile(t, in("document.json"), endpointsJSON(5))
	all(5)
	first.Process.Signal(syscall.SIGKILL)
	time.Sleep(1200 * time.Millisecond) // a state is saved a second after the one before
	balancers[0].command.Process.Signal(syscall.SIGTERM)
	balancers[0].waitExit()
	if text := balancers[0].logs.String(); !strings.Contains(text, "version=1.3") || !strings.Contains(text, writes) {
		t.Errorf("log:\n%s", text)
	}
	serve(0).waitListed(5)
}

// No servers are configured.
func TestNoReplicaWithoutControlPlane(t *testing.T) {
	if f, err := newConfigReplica(nil, config.ControlPlane{}, nil); f != nil || err != nil {
		t.Errorf("%+v, %v", f, err)
	}
}

// The examples are sound, but for the keys, which nobody ships.
func TestCheckControlPlane(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	replaceFile(t, path, `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c","settings":{"zone":"a",
"membership_mode":"subscribe","profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":1.2,"repeat":"idempotent"}]}}`)
	t.Setenv("PROXY_CONFIG", path)
	dir := t.TempDir()
	for _, name := range []string{"fronts-control.json", "control.json", "control-follows.json", "control-document.json"} {
		raw, err := os.ReadFile(filepath.Join("../../deploy", name))
		if err != nil {
			t.Fatal(err)
		}
		replaceFile(t, filepath.Join(dir, name), string(raw))
	}
	var out bytes.Buffer
	check := func(arguments ...string) (int, string) {
		out.Reset()
		return run(append([]string{"check"}, arguments...), &out, &out), out.String()
	}
	fronts := filepath.Join(dir, "fronts-control.json")
	if status, text := check("--fronts", fronts); status != 1 || !strings.Contains(text, "control.keys") {
		t.Errorf("without keys: %d, %s", status, text)
	}
	if run([]string{"keys", "new", "--file", filepath.Join(dir, "control-keys.json")}, &out, &out) != 0 {
		t.Fatal(out.String())
	}
	if status, text := check("--fronts", fronts); status != 0 || !strings.Contains(text, `control: site "example"`) {
		t.Errorf("%d, %s", status, text)
	}
	for name, want := range map[string]string{"control.json": "writes term 1", "control-follows.json": "2 machines"} {
		if status, text := check("--control", filepath.Join(dir, name)); status != 0 || !strings.Contains(text, want) {
			t.Errorf("%s: %d, %s", name, status, text)
		}
	}
}
