package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/invariants"

	"golang.org/x/sys/unix"
)

// maxListDelay is when a change counts as told, after discovery had it and could be reached.
const maxListDelay = 6 * time.Second

// newDeploymentWithFaultyDiscovery is a deployment whose discovery can go down.
func newDeploymentWithFaultyDiscovery(t *testing.T) (*deployment, *emulator.Discovery, *emulator.FaultyListener) {
	t.Helper()
	d, discovery := newDeployment(t), emulator.NewDiscovery(invariants.NewRecorder(invariants.Figures{}))
	d.listen = reservedAddress(t)
	discovery.Tell("s-1", d.server, "a", "active")
	door, err := emulator.NewFaultyListener(discovery.Handler("any"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(door.Close)
	return d, discovery, door
}

// reservedAddress is a free one whose port no client's socket takes meanwhile: these have another IP address.
func reservedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.78.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startLimited starts one of a fleet of 300, with so many descriptors.
func (d *deployment) startLimited(door *emulator.FaultyListener, name, listen, mode string, sockets uint64) *process {
	d.t.Helper()
	dir := filepath.Join(d.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		d.t.Fatal(err)
	}
	path := filepath.Join(dir, "config.json")
	seed := fmt.Sprintf("%x", len(name)*1000+int(name[len(name)-1]))
	replaceFile(d.t, path, fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":%q,"limits":{"sockets":%d},
"known":{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":%q,"zone":"a","lifecycle":"active"}]},
"settings":{"zone":"a","membership_mode":%q,"balancers":300,"rules":{"must_ask_in_s":10,"drain_grace_s":0.5},
"profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":2,"repeat":"idempotent"}]}}`, name, listen, door.Address(), seed, sockets,
		d.server, mode))
	p := &process{t: d.t, command: exec.Command(os.Args[0]), management: reservedAddress(d.t), logs: &bytes.Buffer{}}
	p.command.Env = append(os.Environ(), serveEnvironment+"=1", "PROXY_CONFIG="+path, "PROXY_MANAGEMENT="+p.management,
		"TMPDIR="+dir)
	p.command.Stderr = p.logs
	if err := p.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { p.command.Process.Kill(); p.command.Wait() })
	if err := unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: sockets, Max: sockets}, nil); err != nil {
		d.t.Fatal(err)
	}
	return p
}

// waitListed waits until a process lists so many room servers.
func (p *process) waitListed(entries int) (after time.Duration) {
	p.t.Helper()
	start := time.Now()
	for !strings.Contains(p.call("INFO"), fmt.Sprintf("svc.registry_entries=%d\r\n", entries)) {
		if time.Since(start) > 2*testTimeout {
			p.t.Errorf("%d room servers are never listed", entries)
			return time.Since(start)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

func setOutage(t *testing.T, door *emulator.FaultyListener, to emulator.Outage) {
	t.Helper()
	if err := door.SetOutage(to); err != nil {
		t.Fatal(err)
	}
}

// Twelve processes of a fleet of 300: discovery goes down under their watches and resets every call. What has changed
// meanwhile is with each of them before it counts as told.
func TestListAfterDiscoveryOutage(t *testing.T) {
	t.Parallel()
	d, discovery, door := newDeploymentWithFaultyDiscovery(t)
	var all []*process
	for i := range 12 {
		all = append(all, d.startLimited(door, fmt.Sprint("n", i), reservedAddress(t), "subscribe", 1024))
	}
	for _, p := range all {
		p.waitReady()
		p.waitListed(1)
	}
	waitForCalls(t, door, 12)
	setOutage(t, door, emulator.Resets)
	discovery.Tell("s-2", "127.0.0.1:9", "a", "active")
	time.Sleep(12 * time.Second)
	setOutage(t, door, emulator.Open)
	took := make([]time.Duration, len(all))
	var waiting sync.WaitGroup
	for i, p := range all {
		waiting.Go(func() { took[i] = p.waitListed(2) })
	}
	waiting.Wait()
	t.Logf("heard after %v", took)
	for i, d := range took {
		if d > maxListDelay {
			t.Errorf("process %d heard %v after the return, it counts as told after %v", i, d, maxListDelay)
		}
	}
}

// waitForCalls waits until discovery has had so many: each process's first poll may be seconds away.
func waitForCalls(t *testing.T, door *emulator.FaultyListener, n uint64) {
	t.Helper()
	for end := time.Now().Add(testTimeout); door.Calls.Load() < n; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("discovery had %d calls, want %d", door.Calls.Load(), n)
		}
	}
}

// connectIdleClients keeps so many clients connected that say nothing, or only PING, and come again when they are put out.
func (d *deployment) connectIdleClients(ctx context.Context, n int) {
	var all sync.WaitGroup
	d.t.Cleanup(all.Wait)
	for i := range n {
		all.Go(func() {
			for ctx.Err() == nil {
				if conn, err := net.DialTimeout("tcp", d.listen, time.Second); err == nil {
					stop := context.AfterFunc(ctx, func() { conn.Close() })
					if i%2 == 0 {
						io.WriteString(conn, "PING\r\n")
					}
					io.Copy(io.Discard, conn)
					stop()
					conn.Close()
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
}

// openDescriptors are how many a process has open.
func (p *process) openDescriptors() int {
	p.t.Helper()
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(all)
}

// Idle clients fill the descriptors while discovery is down: the call to discovery, the management address and the next
// client each find one, and the list is back before it counts as told.
func TestIdleClientsDuringDiscoveryOutage(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"subscribe", "automatic"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			const sockets = 128
			d, discovery, door := newDeploymentWithFaultyDiscovery(t)
			p := d.startLimited(door, "n7", d.listen, mode, sockets).waitReady()
			waitForCalls(t, door, 1)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			setOutage(t, door, emulator.Resets)
			discovery.Tell("s-2", "127.0.0.1:9", "a", "leaving")
			d.connectIdleClients(ctx, 2*sockets)
			most := 0
			for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				most = max(most, p.openDescriptors())
				if got := p.call("PING"); got != "200 serving\r\n" {
					t.Errorf("PING at the management address brings %q", got)
				}
				start := time.Now()
				c := d.open()
				d.exchange(c, "x", "x")
				c.Close()
				if took := time.Since(start); took > 3*time.Second {
					t.Errorf("the next client waited %v", took)
				}
			}
			dials := door.Dials.Load()
			if dials < 5 {
				t.Errorf("only %d connections came to discovery", dials)
			}
			setOutage(t, door, emulator.Open)
			took := p.waitListed(2)
			t.Logf("%d of %d descriptors were open at most, %d connections came while it was down, heard after %v", most, sockets,
				dials, took)
			if took > maxListDelay {
				t.Errorf("it heard %v after the return, it counts as told after %v", took, maxListDelay)
			}
			if most < sockets/2 {
				t.Errorf("only %d of %d descriptors were open", most, sockets)
			}
			p.command.Process.Kill()
			p.command.Wait() // its log is whole then
			if strings.Contains(p.logs.String(), "too many open files") {
				t.Errorf("descriptors ran out:\n%s", p.logs)
			}
		})
	}
}
