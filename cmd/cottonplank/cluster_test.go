package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/cluster/gossip"
	"cottonplank/internal/cluster/membership"
	"cottonplank/internal/operations/management"
)

// clusterFleet is a fleet of balancer processes that form one cluster.
type clusterFleet struct {
	t               *testing.T
	dir             string
	gossipAddresses []string
	clientAddresses []string
}

func newClusterFleet(t *testing.T, n int) *clusterFleet {
	f := &clusterFleet{t: t, dir: t.TempDir()}
	createTestKey(t, filepath.Join(f.dir, "keys.json"))
	for range n {
		f.gossipAddresses = append(f.gossipAddresses, reservedAddress(t))
		f.clientAddresses = append(f.clientAddresses, reservedAddress(t))
	}
	return f
}

// start starts a process of the i-th instance. It replaces a running process of the same instance in a hot restart.
func (f *clusterFleet) start(i int) *process {
	f.t.Helper()
	dir := filepath.Join(f.dir, fmt.Sprint(i))
	os.MkdirAll(dir, 0o700)
	fronts, path := filepath.Join(f.dir, fmt.Sprintf("fronts%d.json", i)), filepath.Join(dir, "config.json")
	replaceFile(f.t, fronts, fmt.Sprintf(`{"membership":{"name":"b-%d","listen":%q,"zone":"a","region":"x",
"seeds":[%q],"keys":"keys.json"}}`, i, f.gossipAddresses[i], f.gossipAddresses[0]))
	replaceFile(f.t, path, fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":"127.0.0.1:9","seed":"%d",
"settings":{"zone":"a","balancers":%d,"membership_mode":"subscribe",
"profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":2,"repeat":"idempotent"}]}}`,
		i, f.clientAddresses[i], i+1, len(f.gossipAddresses)))
	return startProcess(f.t, reservedAddress(f.t), argumentsEnvironment+"=serve --fronts "+fronts, "PROXY_CONFIG="+path,
		"TMPDIR="+dir)
}

// waitMembersAlive waits until the process reports this number of alive members, and returns how long that took. If it
// takes longer than within, the test fails.
func (p *process) waitMembersAlive(alive uint64, within time.Duration) time.Duration {
	p.t.Helper()
	began := time.Now()
	for p.metrics()["members_alive"] != alive {
		if time.Since(began) > within {
			p.t.Fatalf("the process does not report %d alive members within %v: %v", alive, within, p.metrics())
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// Guards cluster membership between real processes. They discover each other through gossip. A process that is paused
// for 5 s neither declares another member failed nor is declared failed. A lame duck, a rejoin and a shutdown are
// announced, so that the other members need no failure detection. A hot restart keeps the instance a member. A killed
// process is detected as failed.
func TestClusterOfProcesses(t *testing.T) {
	t.Parallel()
	const n = 5
	f := newClusterFleet(t, n)
	var processes []*process
	for i := range n {
		processes = append(processes, f.start(i))
	}
	for _, p := range processes {
		p.waitReady().waitMembersAlive(n, testTimeout)
	}
	observer := processes[0]

	checkPause(t, processes, processes[1])

	lameDuck := processes[2]
	if response := lameDuck.call("LAMEDUCK"); !strings.HasPrefix(response, "200") {
		t.Fatalf("response to LAMEDUCK: %q", response)
	}
	t.Logf("the lame duck left the cluster after %v", observer.waitMembersAlive(n-1, 2*time.Second))
	if _, isMember := lameDuck.metrics()["members_alive"]; isMember {
		t.Error("the lame duck is still a member")
	}
	lameDuck.call("REJOIN")
	observer.waitMembersAlive(n, testTimeout)

	next := f.start(3)
	next.waitReady()
	processes[3].signal(syscall.SIGTERM)
	processes[3].waitExit()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if metrics := observer.metrics(); metrics["members_alive"]+metrics["members_suspect"] != n {
			t.Fatalf("another member saw the hot restart as a departure or a failure: %v", metrics)
		}
	}
	next.waitMembersAlive(n, testTimeout)

	processes[4].signal(syscall.SIGTERM)
	t.Logf("the stopping process left the cluster after %v", observer.waitMembersAlive(n-1, 2*time.Second))
	processes[4].waitExit()
	next.signal(syscall.SIGKILL)
	t.Logf("the killed process was declared failed after %v", waitFailed(t, observer))
}

// checkPause pauses a process for 5 s and checks that no process reports a failed member afterwards.
func checkPause(t *testing.T, processes []*process, paused *process) {
	t.Helper()
	paused.signal(syscall.SIGSTOP)
	time.Sleep(5 * time.Second)
	paused.signal(syscall.SIGCONT)
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i, p := range processes {
			if failed := p.metrics()["members_failed"]; failed > 0 {
				t.Fatalf("process %d reports %d failed members after another process paused for 5 s", i, failed)
			}
		}
	}
}

// waitFailed waits until the observer reports one failed member, and returns how long that took.
func waitFailed(t *testing.T, observer *process) time.Duration {
	t.Helper()
	began := time.Now()
	for observer.metrics()["members_failed"] != 1 {
		if time.Since(began) > 2*testTimeout {
			t.Fatalf("the killed process is not declared failed: %v", observer.metrics())
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// Without a membership section in the fronts file, INFO reports no cluster metrics.
func TestMetricsWithoutMembership(t *testing.T) {
	d := newDeployment(t)
	p := d.start(d.startDiscovery(false)).waitReady()
	for name := range p.metrics() {
		if strings.Contains(name, "members") || strings.Contains(name, "gossip") || strings.Contains(name, "fleet") {
			t.Errorf("INFO reports %s", name)
		}
	}
	p.signal(syscall.SIGTERM)
	p.waitExit()
}

// The names and their order are part of the management protocol, which operators' tools read.
func TestClusterMetricNames(t *testing.T) {
	stats := gossip.Stats{BytesSent: 1, FramesSent: 99, TooLong: 2, Replayed: 3, Rejected: 4}
	view := &membership.View{Version: 13, Alive: 5, Suspect: 6, Failed: 7, Isolated: true, Partitioned: true,
		Divisors: membership.BudgetDivisors{Cluster: 8, Zone: 9, Admitted: true}}
	frames := []management.Metric{{Name: "gossip_bytes_sent", Value: 1}, {Name: "frames_too_long", Value: 2},
		{Name: "frames_replayed", Value: 3}, {Name: "frames_refused", Value: 4}}
	members := []management.Metric{{Name: "members_alive", Value: 5}, {Name: "members_suspect", Value: 6},
		{Name: "members_failed", Value: 7}, {Name: "fleet_size", Value: 8}, {Name: "zone_size", Value: 9},
		{Name: "isolated", Value: 1}, {Name: "partitioned", Value: 1}, {Name: "admitted", Value: 1},
		{Name: "view_version", Value: 13}}
	if got := clusterMetrics(stats, nil); !slices.Equal(got, frames) {
		t.Errorf("without a view: %v", got)
	}
	if got := clusterMetrics(stats, view); !slices.Equal(got, append(frames, members...)) {
		t.Errorf("with a view: %v", got)
	}
}

func TestFleetSize(t *testing.T) {
	settings := decide.Settings{Balancers: 6, Zones: []string{"a", "b"}}
	if got, want := fleetSize(nil, settings), (decide.FleetSize{Fleet: 6, Zone: 3, Admitted: true}); got != want {
		t.Errorf("without a view: %+v, want %+v", got, want)
	}
	view := &membership.View{Alive: 9, Divisors: membership.BudgetDivisors{Cluster: 8, Zone: 5}}
	if got, want := fleetSize(view, settings), (decide.FleetSize{Fleet: 8, Zone: 5}); got != want {
		t.Errorf("with a view: %+v, want %+v", got, want)
	}
}
