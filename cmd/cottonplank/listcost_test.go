package main

import (
	"bytes"
	"encoding/json"
	"fmt"
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

// programEnvironment is an environment variable with the path of another program to measure, for example an older
// version. If it is empty, the test binary runs the program.
const programEnvironment = "COTTONPLANK_TEST_PROGRAM"

// endpointEntries returns n room servers of two zones, to which no process listens. It skips a name whose ServerID, a
// hash, equals that of another name, because a list with both would be rejected.
func endpointEntries(n int) []emulator.Entry {
	var entries []emulator.Entry
	used := map[decide.ServerID]bool{}
	for i := 0; len(entries) < n; i++ {
		name := fmt.Sprintf("s-%08x", uint32(i)*2654435761)
		id := core.ServerID(name)
		if used[id] {
			continue
		}
		used[id] = true
		entries = append(entries, emulator.Entry{
			Instance:  name,
			Zone:      []string{"a", "b"}[i%2],
			Lifecycle: "active",
			Weight:    1,
			Started:   1_700_000_000_000,
			Address:   fmt.Sprintf("127.%d.%d.%d:9000", 3+i>>16, i>>8&255, i&255),
		})
	}
	return entries
}

// balancerProcess is a balancer that runs in a separate process, for a test or a benchmark.
type balancerProcess struct {
	*exec.Cmd
	management string
}

// startBalancer starts a balancer with the address of a discovery service and the known list of its configuration,
// which may be nil.
func startBalancer(t testing.TB, discovery string, known json.RawMessage) *balancerProcess {
	t.Helper()
	p := &balancerProcess{management: freeAddress(t)}
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	replaceFile(t, path, balancerConfig(t, p.management, discovery, known))
	program := os.Getenv(programEnvironment)
	p.Cmd = exec.Command(program, "serve")
	if program == "" {
		p.Cmd = exec.Command(os.Args[0])
	}
	p.Env = append(os.Environ(), serveEnvironment+"=1", "PROXY_CONFIG="+path, "PROXY_NAME=", "PROXY_LISTEN=",
		"PROXY_DISCOVERY=", "PROXY_MANAGEMENT=", "NOTIFY_SOCKET=", "TMPDIR="+dir)
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

func balancerConfig(t testing.TB, managementAddress, discovery string, known json.RawMessage) string {
	t.Helper()
	type object = map[string]any
	raw, err := json.Marshal(object{
		"name": "n3", "listen": freeAddress(t), "management": managementAddress, "discovery": discovery, "seed": "8c",
		"known": known, "limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": object{
			"zone": "a", "areas": []string{"a", "b"}, "balancers": 3, "membership_mode": "subscribe",
			"profiles": []any{object{"name": "solo-play", "aim_s": 0.3, "give_up_s": 1.2, "repeat": "idempotent"}},
			"limits":   object{"connect_timeout_s": 0.25, "retry_after": true, "max_retry_after_s": 1.5, "most_tries": 3},
			"rules": object{"must_ask_in_s": 10, "drain_grace_s": 1, "cold_share": 0.4, "cold_s": 6,
				"fall_multiple": 4, "fall_s": 1},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// waitListed waits until the balancer lists this number of room servers. It reports false if that takes longer than
// within.
func (p *balancerProcess) waitListed(t testing.TB, servers int, within time.Duration) bool {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		metrics, err := management.QueryMetrics(t.Context(), p.management)
		if err == nil && metrics["registry_entries"] == uint64(servers) {
			return true
		}
	}
	return false
}

// processorTime returns the processor time that the process has used. The kernel reports it in clock ticks of 10 ms;
// see proc_pid_stat(5).
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

// peakMemoryMB returns the largest resident set size of the process so far, in MiB.
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

// Guards against a balancer that polls discovery repeatedly because a list of 20,000 room servers does not arrive
// within one call.
func TestLongListFromDiscovery(t *testing.T) {
	const n = 20_000
	discovery := emulator.NewDiscovery(invariants.NewRecorder(invariants.Limits{}))
	defer discovery.Stop()
	discovery.Put(endpointEntries(n)...)
	address, err := discovery.ListenFor("n3")
	if err != nil {
		t.Fatal(err)
	}
	p := startBalancer(t, address, nil)
	if !p.waitListed(t, n, 20*time.Second) {
		t.Fatalf("the list was not received after %d calls", discovery.Calls())
	}
	if calls := discovery.Calls(); calls > 4 {
		t.Errorf("%d calls to discovery, want at most 4", calls)
	}
}

// Measures the cost of an endpoint list of each size for a process without clients: the processor time while the list
// does not change and with one change per second, the time from the first call until the list is received, and the
// peak memory until then. With -benchtime=1x each size takes 45 s.
func BenchmarkListedServer(b *testing.B) {
	for _, n := range []int{600, 5000, 8000, 20_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			discovery := emulator.NewDiscovery(invariants.NewRecorder(invariants.Limits{}))
			defer discovery.Stop()
			entries := endpointEntries(n)
			discovery.Put(entries...)
			address, err := discovery.ListenFor("n3")
			if err != nil {
				b.Fatal(err)
			}
			for range b.N {
				measureFirstList(b, discovery, address, n)
				measureProcessorTime(b, discovery, address, entries)
			}
		})
	}
}

// measureFirstList reports the time that a process without a known list takes to receive it, and the peak memory.
func measureFirstList(b *testing.B, discovery *emulator.Discovery, address string, servers int) {
	p, calls := startBalancer(b, address, nil), discovery.Calls()
	for discovery.Calls() == calls { // the first poll has a random delay
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	if p.waitListed(b, servers, 15*time.Second) {
		b.ReportMetric(time.Since(began).Seconds(), "list-s")
	}
	b.ReportMetric(p.peakMemoryMB(b), "peak-MB")
	p.Process.Kill()
}

// measureProcessorTime reports the processor time while the list does not change, and with one change per second.
func measureProcessorTime(b *testing.B, discovery *emulator.Discovery, address string, entries []emulator.Entry) {
	const interval = 20 * time.Second
	p := startBalancer(b, address, discovery.ListingJSON())
	if !p.waitListed(b, len(entries), 20*time.Second) {
		b.Fatal("the balancer does not list the known room servers")
	}
	time.Sleep(time.Second)
	before := p.processorTime(b)
	time.Sleep(interval)
	b.ReportMetric(float64((p.processorTime(b)-before).Milliseconds())/interval.Seconds(), "rest-ms/s")
	before = p.processorTime(b)
	for i := range int(interval / time.Second) {
		changed := entries[0]
		changed.Weight = float64(2 - i%2)
		discovery.Put(changed)
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64((p.processorTime(b)-before).Milliseconds())/interval.Seconds(), "changes-ms/s")
}
