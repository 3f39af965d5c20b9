package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/operations/management"
	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/invariants"
)

// programEnvironment names another program whose costs are to be measured, one of an older state say.
const programEnvironment = "COTTONPLANK_TEST_PROGRAM"

// endpointEntries are room servers of two zones that do not run. No two names share a derived number: such a list is refused.
func endpointEntries(n int) (all []emulator.Entry) {
	used := map[decide.ServerID]bool{}
	for i := 0; len(all) < n; i++ {
		name := fmt.Sprintf("s-%08x", uint32(i)*2654435761)
		if id := core.ServerID(name); !used[id] {
			used[id] = true
			all = append(all, emulator.Entry{Instance: name, Zone: []string{"a", "b"}[i%2], Lifecycle: "active", Weight: 1,
				Started: 1_700_000_000_000, Address: fmt.Sprintf("127.%d.%d.%d:9000", 3+i>>16, i>>8&255, i&255)})
		}
	}
	return all
}

// balancerProcess is a balancer in a process of its own.
type balancerProcess struct {
	*exec.Cmd
	management string
}

// startBalancer starts one with a discovery, and with a list as it was before.
func startBalancer(t testing.TB, discovery string, known json.RawMessage) *balancerProcess {
	t.Helper()
	free := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		return l.Addr().String()
	}
	p := &balancerProcess{management: free()}
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	raw, err := json.Marshal(map[string]any{"name": "n3", "listen": free(), "management": p.management, "discovery": discovery, "seed": "8c",
		"known": known, "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{"zone": "a", "areas": []string{"a", "b"}, "balancers": 3, "membership_mode": "subscribe",
			"profiles": []any{map[string]any{"name": "solo-play", "aim_s": 0.3, "give_up_s": 1.2, "repeat": "idempotent"}},
			"limits":   map[string]any{"connect_timeout_s": 0.25, "retry_after": true, "max_retry_after_s": 1.5, "most_tries": 3},
			"rules": map[string]any{"must_ask_in_s": 10, "drain_grace_s": 1, "cold_share": 0.4, "cold_s": 6,
				"fall_multiple": 4, "fall_s": 1}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	program := os.Getenv(programEnvironment)
	p.Cmd = exec.Command(program, "serve")
	if program == "" {
		p.Cmd = exec.Command(os.Args[0])
	}
	p.Env = append(os.Environ(), serveEnvironment+"=1", "PROXY_CONFIG="+path, "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY=",
		"PROXY_MANAGEMENT=", "NOTIFY_SOCKET=", "TMPDIR="+dir)
	var log bytes.Buffer
	p.Stderr = &log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Process.Kill()
		p.Wait()
		if t.Failed() {
			t.Log(log.String())
		}
	})
	return p
}

// waitListed waits until it tells of so many room servers.
func (p *balancerProcess) waitListed(t testing.TB, want int, within time.Duration) bool {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if figures, err := management.ParseMetrics(t.Context(), p.management); err == nil && figures["registry_entries"] == uint64(want) {
			return true
		}
	}
	return false
}

// processorTime is the processor time so far, by proc_pid_stat(5); the clock ticks 100 times a second there.
func (p *balancerProcess) processorTime(t testing.TB) time.Duration {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// peakMemoryMB is the largest resident size so far, in MB.
func (p *balancerProcess) peakMemoryMB(t testing.TB) float64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	kb, _ := strconv.Atoi(strings.Fields(rest)[0])
	return float64(kb) / 1024
}

// A list of 20,000 room servers is taken whole from discovery, which is not asked again and again for it.
func TestLongListFromDiscovery(t *testing.T) {
	const n = 20_000
	d := emulator.NewDiscovery(invariants.NewRecorder(invariants.Figures{}))
	defer d.Stop()
	d.Put(endpointEntries(n)...)
	address, err := d.For("n3")
	if err != nil {
		t.Fatal(err)
	}
	p := startBalancer(t, address, nil)
	if !p.waitListed(t, n, 20*time.Second) {
		t.Fatalf("no list after %d calls", d.Calls())
	}
	if calls := d.Calls(); calls > 4 {
		t.Errorf("%d calls", calls)
	}
}

// What a listed room server costs a process where nothing stands: ms/s at rest, ms/s with one change a second, the time from the
// first call until the whole list is known, and the memory at most by then. Of -benchtime=1x each size takes 45 s.
func BenchmarkListedServer(b *testing.B) {
	for _, n := range []int{600, 5000, 8000, 20_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			const over = 20 * time.Second
			d := emulator.NewDiscovery(invariants.NewRecorder(invariants.Figures{}))
			defer d.Stop()
			all := endpointEntries(n)
			d.Put(all...)
			address, err := d.For("n3")
			if err != nil {
				b.Fatal(err)
			}
			for range b.N {
				first, calls := startBalancer(b, address, nil), d.Calls()
				for d.Calls() == calls { // it asks from an offset of its own
					time.Sleep(time.Millisecond)
				}
				begun := time.Now()
				if first.waitListed(b, n, 15*time.Second) {
					b.ReportMetric(time.Since(begun).Seconds(), "list-s")
				}
				b.ReportMetric(first.peakMemoryMB(b), "peak-MB")
				first.Process.Kill()
				p := startBalancer(b, address, d.Known())
				if !p.waitListed(b, n, 20*time.Second) {
					b.Fatal("does not start")
				}
				time.Sleep(time.Second)
				before := p.processorTime(b)
				time.Sleep(over)
				b.ReportMetric(float64((p.processorTime(b)-before).Milliseconds())/over.Seconds(), "rest-ms/s")
				before = p.processorTime(b)
				for i := range int(over / time.Second) {
					e := all[0]
					e.Weight = float64(2 - i%2)
					d.Put(e)
					time.Sleep(time.Second)
				}
				b.ReportMetric(float64((p.processorTime(b)-before).Milliseconds())/over.Seconds(), "changes-ms/s")
			}
		})
	}
}
