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

// maxPropagationDelay is how long a change of the document may take to reach all balancers.
const maxPropagationDelay = 6 * time.Second

// startCommand starts the program with arguments and returns its log, which may be read after the process has exited.
// The log is printed if the test fails.
func startCommand(t *testing.T, environment []string, arguments ...string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	command, logs := exec.Command(os.Args[0]), &bytes.Buffer{}
	command.Env = append(append(os.Environ(), argumentsEnvironment+"="+strings.Join(arguments, " ")), environment...)
	command.Stderr = logs
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		command.Process.Kill()
		command.Wait()
		if t.Failed() {
			t.Logf("log of %v:\n%s", arguments, logs)
		}
	})
	return command, logs
}

// endpointsJSON returns n room servers in the format of the document and of the endpoint file.
func endpointsJSON(n int) string {
	var endpoints []string
	for i := range n {
		endpoints = append(endpoints, fmt.Sprintf(`{"name":"s-%d","address":"127.0.0.1:%d","zone":"a"}`, i, 20+i))
	}
	return `{"rooms":[` + strings.Join(endpoints, ",") + `]}`
}

// controlPlaneFleet is a leader and a follower of the control plane, and the balancers that follow them.
type controlPlaneFleet struct {
	t                              *testing.T
	dir                            string
	leaderAddress, followerAddress string
	leaderProcess, followerProcess *exec.Cmd
	balancers                      []*process
}

func (f *controlPlaneFleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *controlPlaneFleet) writeDocument(servers int) {
	f.t.Helper()
	replaceFile(f.t, f.path("document.json"), endpointsJSON(servers))
}

// newControlPlaneFleet starts the leader, with a document of three room servers, and the follower.
func newControlPlaneFleet(t *testing.T) *controlPlaneFleet {
	t.Helper()
	f := &controlPlaneFleet{t: t, dir: t.TempDir(), leaderAddress: reservedAddress(t), followerAddress: reservedAddress(t)}
	createTestKey(t, f.path("keys.json"))
	f.writeDocument(3)
	replaceFile(t, f.path("leader.json"), fmt.Sprintf(`{"listen":%q,"region":"a","site":"x","keys":"keys.json",
"state":"leader.db","term":1,"file":"document.json"}`, f.leaderAddress))
	replaceFile(t, f.path("follower.json"), fmt.Sprintf(`{"listen":%q,"region":"b","site":"x","keys":"keys.json",
"state":"follower.db","machines":[{"address":%q,"region":"a"}]}`, f.followerAddress, f.leaderAddress))
	for _, name := range []string{"leader.json", "follower.json"} {
		status, output := runCommand("check", "--control", f.path(name))
		if status != 0 || !strings.Contains(output, `site "x"`) {
			t.Fatalf("check of %s: %d, %s", name, status, output)
		}
	}
	f.leaderProcess, _ = startCommand(t, nil, "control", "--file", f.path("leader.json"))
	f.followerProcess, _ = startCommand(t, nil, "control", "--file", f.path("follower.json"))
	return f
}

// startBalancer starts the i-th balancer. If it is started again, it uses the state that it saved before.
func (f *controlPlaneFleet) startBalancer(i int) *process {
	f.t.Helper()
	fronts := f.path(fmt.Sprint("fronts", i, ".json"))
	replaceFile(f.t, fronts, fmt.Sprintf(`{"control":{"region":"b","site":"x","keys":"keys.json","state":"balancer%d.db",
"machines":[{"address":%q,"region":"a"},{"address":%q,"region":"b"}]}}`, i, f.leaderAddress, f.followerAddress))
	path := f.path(fmt.Sprint("config", i, ".json"))
	replaceFile(f.t, path, fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":"127.0.0.1:9","seed":"%d",
"settings":{"zone":"a","membership_mode":"subscribe",
"profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":2,"repeat":"idempotent"}]}}`, i, reservedAddress(f.t), i+1))
	p := &process{t: f.t, management: reservedAddress(f.t)}
	environment := []string{"PROXY_CONFIG=" + path, "PROXY_MANAGEMENT=" + p.management, "TMPDIR=" + f.t.TempDir()}
	p.command, p.logs = startCommand(f.t, environment, "serve", "--fronts", fronts)
	return p
}

// expectListed checks that all balancers list this number of room servers within maxPropagationDelay.
func (f *controlPlaneFleet) expectListed(servers int) {
	f.t.Helper()
	start := time.Now()
	for _, p := range f.balancers {
		p.waitListed(servers)
	}
	delay := time.Since(start)
	f.t.Logf("%d room servers are listed at all balancers after %v", servers, delay)
	if delay > maxPropagationDelay {
		f.t.Errorf("%d room servers are listed at all balancers after %v", servers, delay)
	}
}

// Guards against a control plane with a single point of failure. A change of the leader's document reaches two
// balancers within 6 s. After the follower server in the balancers' region is killed, they receive the next change
// from the leader. A balancer that restarts while no control-plane server runs uses the version that it saved.
func TestControlPlaneFailover(t *testing.T) {
	t.Parallel()
	f := newControlPlaneFleet(t)
	f.balancers = []*process{f.startBalancer(0), f.startBalancer(1)}
	for _, p := range f.balancers {
		p.waitListed(3)
	}
	f.writeDocument(4)
	f.expectListed(4)
	f.followerProcess.Process.Signal(syscall.SIGKILL)
	f.writeDocument(5)
	f.expectListed(5)
	f.leaderProcess.Process.Signal(syscall.SIGKILL)
	time.Sleep(1200 * time.Millisecond) // lets the balancer save the latest version: it saves at most one per second
	first := f.balancers[0]
	first.command.Process.Signal(syscall.SIGTERM)
	first.waitExit()
	if text := first.logs.String(); !strings.Contains(text, "version=1.3") || !strings.Contains(text, f.leaderAddress) {
		t.Errorf("the log lacks version 1.3 or the leader's address:\n%s", text)
	}
	f.startBalancer(0).waitListed(5)
}

// Without configured control-plane servers, newConfigReplica returns nil.
func TestNoReplicaWithoutControlPlane(t *testing.T) {
	if replica, err := newConfigReplica(nil, config.ControlPlane{}, nil); replica != nil || err != nil {
		t.Errorf("%+v, %v", replica, err)
	}
}

// The examples in deploy/ are valid. Only the keys file is missing there, because each deployment creates its own.
func TestCheckControlPlane(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	replaceFile(t, path, validConfig)
	t.Setenv("PROXY_CONFIG", path)
	dir := t.TempDir()
	for _, name := range []string{"fronts-control.json", "control.json", "control-follows.json", "control-document.json"} {
		copyFile(t, filepath.Join("../../deploy", name), filepath.Join(dir, name))
	}
	fronts := filepath.Join(dir, "fronts-control.json")
	status, output := runCommand("check", "--fronts", fronts)
	if status != 1 || !strings.Contains(output, "control.keys") {
		t.Errorf("without keys: %d, %s", status, output)
	}
	createTestKey(t, filepath.Join(dir, "control-keys.json"))
	status, output = runCommand("check", "--fronts", fronts)
	if status != 0 || !strings.Contains(output, `control: site "example"`) {
		t.Errorf("%d, %s", status, output)
	}
	for name, want := range map[string]string{"control.json": "writes term 1", "control-follows.json": "2 machines"} {
		t.Run(name, func(t *testing.T) {
			status, output := runCommand("check", "--control", filepath.Join(dir, name))
			if status != 0 || !strings.Contains(output, want) {
				t.Errorf("%s: %d, %s", name, status, output)
			}
		})
	}
}
