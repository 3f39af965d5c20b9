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

	"cottonplank/internal/operations/management"
)

// clusterFleet is processes that are members of one cluster.
type clusterFleet struct {
	t               *testing.T
	dir             string
	gossipAddresses []string // of the gossip
	clientAddresses []string // of the clients
}

func newClusterFleet(t *testing.T, n int) *clusterFleet {
	f := &clusterFleet{t: t, dir: t.TempDir()}
	var out bytes.Buffer
	if run([]string{"keys", "new", "--file", filepath.Join(f.dir, "keys.json")}, &out, &out) != 0 {
		t.Fatal(out.String())
	}
	for range n {
		f.gossipAddresses = append(f.gossipAddresses, reservedAddress(t))
		f.clientAddresses = append(f.clientAddresses, reservedAddress(t))
	}
	return f
}

// start runs the i-th instance; beside a live one of the same number it takes over from that.
func (f *clusterFleet) start(i int) *process {
	f.t.Helper()
	dir := filepath.Join(f.dir, fmt.Sprint(i))
	os.MkdirAll(dir, 0o700)
	fronts, path := filepath.Join(f.dir, fmt.Sprintf("fronts%d.json", i)), filepath.Join(dir, "config.json")
	replaceFile(f.t, fronts, fmt.Sprintf(`{"membership":{"name":"b-%d","listen":%q,"zone":"a","region":"x","seeds":[%q],"keys":"keys.json"}}`,
		i, f.gossipAddresses[i], f.gossipAddresses[0]))
	replaceFile(f.t, path, fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":"127.0.0.1:9","seed":"%d","settings":{"zone":"a","balancers":%d,
"membership_mode":"subscribe","profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":2,"repeat":"idempotent"}]}}`,
		i, f.clientAddresses[i], i+1, len(f.gossipAddresses)))
	p := &process{t: f.t, management: reservedAddress(f.t), logs: &bytes.Buffer{}, command: exec.Command(os.Args[0])}
	p.command.Env = append(os.Environ(), argumentsEnvironment+"=serve --fronts "+fronts, "PROXY_CONFIG="+path,
		"PROXY_MANAGEMENT="+p.management, "TMPDIR="+dir)
	p.command.Stderr = p.logs
	if err := p.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { p.command.Process.Kill(); p.command.Wait() })
	return p
}

func (p *process) metrics() map[string]uint64 {
	figures, err := management.ParseMetrics(p.t.Context(), p.management)
	if err != nil {
		return map[string]uint64{}
	}
	return figures
}

// waitMembersAlive waits until a process has so many members alive, and tells how long that took.
func (p *process) waitMembersAlive(alive uint64, within time.Duration) time.Duration {
	p.t.Helper()
	began := time.Now()
	for p.metrics()["members_alive"] != alive {
		if time.Since(began) > within {
			p.t.Fatalf("%d members are not alive within %v: %v", alive, within, p.metrics())
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// Processes find each other; a pause of one fails nobody on either side; a planned stop, a lame duck and one that is
// called back are told at once; a new version takes the member over; a killed one is found.
func TestClusterOfProcesses(t *testing.T) {
	t.Parallel()
	const n = 5
	f := newClusterFleet(t, n)
	var all []*process
	for i := range n {
		all = append(all, f.start(i))
	}
	for _, p := range all {
		p.waitReady().waitMembersAlive(n, testTimeout)
	}

	all[1].signal(syscall.SIGSTOP)
	time.Sleep(5 * time.Second)
	all[1].signal(syscall.SIGCONT)
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i, p := range all {
			if failed := p.metrics()["members_failed"]; failed > 0 {
				t.Fatalf("process %d has %d failed after a pause of 5 s", i, failed)
			}
		}
	}

	if answer := all[2].call("LAMEDUCK"); !strings.HasPrefix(answer, "200") {
		t.Fatalf("LAMEDUCK brings %q", answer)
	}
	t.Logf("a lame duck is told after %v", all[0].waitMembersAlive(n-1, 2*time.Second))
	if _, is := all[2].metrics()["members_alive"]; is {
		t.Error("the lame duck is a member still")
	}
	all[2].call("REJOIN")
	all[0].waitMembersAlive(n, testTimeout)

	next := f.start(3)
	next.waitReady()
	all[3].signal(syscall.SIGTERM)
	all[3].waitExit()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if figures := all[0].metrics(); figures["members_alive"]+figures["members_suspect"] != n {
			t.Fatalf("the hand-over is seen: %v", figures)
		}
	}
	next.waitMembersAlive(n, testTimeout)

	all[4].signal(syscall.SIGTERM)
	t.Logf("a planned stop is told after %v", all[0].waitMembersAlive(n-1, 2*time.Second))
	all[4].waitExit()
	next.signal(syscall.SIGKILL)
	began := time.Now()
	for all[0].metrics()["members_failed"] != 1 {
		if time.Since(began) > 2*testTimeout {
			t.Fatalf("the killed one is not found: %v", all[0].metrics())
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("a killed one is found after %v", time.Since(began))
}

// Without the section there is no figure of a membership.
func TestMetricsWithoutMembership(t *testing.T) {
	d := newDeployment(t)
	p := d.start(d.startDiscovery(false)).waitReady()
	for name := range p.metrics() {
		if strings.Contains(name, "members") || strings.Contains(name, "gossip") || strings.Contains(name, "fleet") {
			t.Errorf("INFO tells %s", name)
		}
	}
	p.signal(syscall.SIGTERM)
	p.waitExit()
}
