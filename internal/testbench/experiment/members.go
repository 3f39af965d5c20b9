package experiment

import (
	"bufio"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cottonplank/internal/cluster/membership"
	"cottonplank/internal/operations/management"
	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/invariants"
)

//go:embed members.schema.json
var membersSchemaText []byte

// MembersExperiment is a run of balancers that are members of one cluster, with faults between them.
type MembersExperiment struct {
	Name      string  `json:"name"`
	Kind      string  `json:"kind"`
	About     string  `json:"about"`
	Seed      uint64  `json:"seed"` // of the faults
	Instances int     `json:"instances"`
	Rooms     int     `json:"rooms"`
	Sessions  int     `json:"sessions"`
	Every     int     `json:"every_ms"`
	Seconds   float64 `json:"seconds"`
}

// MembersKind marks the file of such a run.
const MembersKind = "membership-faults"

// Kind tells of which kind an experiment's file is; empty: of the usual one.
func Kind(path string) (string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	var file struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	return file.Kind, nil
}

// LoadMembers reads the file of a run of members; errors name the file, the key and the value.
func LoadMembers(path string) (MembersExperiment, error) { return load(path, ParseMembers) }

// ParseMembers checks the JSON of such a file and fills in what it leaves out.
func ParseMembers(raw []byte) (MembersExperiment, error) {
	e := MembersExperiment{Seed: 1, Every: 200}
	err := decode(raw, "members.schema.json", membersSchemaText, &e)
	return e, err
}

// Times of a run of members.
const (
	pollEvery   = 250 * time.Millisecond
	tailEvery   = 50 * time.Millisecond
	togetherBy  = 15 * time.Second // all instances see each other
	pauseNotice = 150 * time.Millisecond
	coldSetups  = 30 // connections a second that a warm room server can set up
)

// Members plays a run of members. say gets a line now and then.
func Members(ctx context.Context, program string, e MembersExperiment, say func(string)) (MembersResult, error) {
	dir, err := os.MkdirTemp("", "cottonplank-lab-")
	if err != nil {
		return MembersResult{}, err
	}
	defer os.RemoveAll(dir)
	plain := Experiment{Name: e.Name, Seed: e.Seed, Balancers: e.Instances, Rooms: e.Rooms, Capacity: 1000, Sessions: e.Sessions, Group: 4,
		Fill: 1, Every: e.Every, Patience: 2000, Seconds: e.Seconds, Notice: 200, RollLag: 100, MemoryMB: 192}
	m := &membersRun{e: e, base: newRun(program, dir, plain, say), network: newMemberNetwork(e.Instances, e.Seed),
		faults: drawMemberFaults(e.Instances, e.Seed), reported: make([]int64, e.Instances)}
	defer m.network.close()
	defer m.base.close()
	for _, f := range m.faults {
		say(fmt.Sprintf("%6.2f s  %s", f.At.Seconds(), f))
	}
	return m.play(ctx)
}

// membersRun is one run while it is played.
type membersRun struct {
	e       MembersExperiment
	base    *run
	network *memberNetwork
	faults  []memberFault

	began    time.Time
	mu       sync.Mutex
	events   []memberEvent
	bytes    []float64 // of gossip sent by one instance in one second
	sent     map[string]sentReading
	reported []int64 // how much of each log has been read
}

// sentReading is when an instance had sent how many bytes.
type sentReading struct {
	at    time.Time
	bytes uint64
}

func (m *membersRun) note(e memberEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e.At = time.Since(m.began)
	m.events = append(m.events, e)
}

func (m *membersRun) play(ctx context.Context) (MembersResult, error) {
	m.sent = map[string]sentReading{}
	m.began = time.Now()
	if err := m.network.open(); err != nil {
		return MembersResult{}, err
	}
	m.base.prepare = m.prepare
	m.base.started = func(i int) { m.note(memberEvent{Kind: memberStarted, Member: i}) }
	if err := m.base.open(ctx); err != nil {
		return MembersResult{}, err
	}
	if err := m.together(ctx); err != nil {
		return MembersResult{}, err
	}
	m.schedule()
	watching, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { m.every(watching, tailEvery, m.tail) })
	watchers.Go(func() { m.every(watching, pollEvery, m.poll) })
	from := m.cpu()
	begin := time.Now()
	err := m.base.play(ctx)
	used := (m.cpu() - from).Seconds() * 1000 / time.Since(begin).Seconds() / float64(m.e.Instances)
	stop()
	watchers.Wait()
	m.tail()
	if err != nil {
		return MembersResult{}, err
	}
	return m.result(used), nil
}

// prepare gives a balancer its section of the membership.
func (m *membersRun) prepare(i int, b *balancer) error {
	seed := m.network.addresses[0].String()
	via := map[string]string{}
	for j, address := range m.network.addresses {
		if j != i {
			via[address.String()] = m.network.relays[i][j].address.String()
		}
	}
	section := map[string]any{"membership": map[string]any{"name": b.name, "listen": m.network.addresses[i].String(), "zone": "a",
		"region": "lab", "seeds": []string{seed}, "keys": m.base.keys.path, "via": via}}
	raw, err := json.Marshal(section)
	if err != nil {
		return err
	}
	b.fronts = filepath.Join(b.dir, "fronts.json")
	return os.WriteFile(b.fronts, raw, 0o600)
}

// together waits until all instances see each other.
func (m *membersRun) together(ctx context.Context) error {
	for end := time.Now().Add(togetherBy); ; time.Sleep(pollEvery) {
		seen := 0
		for _, b := range m.base.balancers {
			if figures, err := management.ParseMetrics(ctx, b.management); err == nil && figures["members_alive"] == uint64(m.e.Instances) {
				seen++
			}
		}
		if seen == m.e.Instances {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d instances see all others within %v", seen, m.e.Instances, togetherBy)
		}
	}
}

// schedule turns the faults into the run's troubles.
func (m *membersRun) schedule() {
	last := time.Duration(0)
	for _, f := range m.faults {
		m.at(f.At, f.String(), func(ctx context.Context) error { return m.begin(ctx, f) })
		if f.For > 0 {
			m.at(f.At+f.For, "end of "+f.String(), func(context.Context) error { return m.end(f) })
		}
		last = max(last, f.At+f.For)
	}
	m.at(last+time.Millisecond, "the last fault is over", func(context.Context) error {
		m.note(memberEvent{Kind: faultsEnded})
		return nil
	})
	m.base.e.Troubles = sortTroubles(m.base.e.Troubles)
}

func (m *membersRun) at(when time.Duration, label string, act func(context.Context) error) {
	m.base.e.Troubles = append(m.base.e.Troubles, Trouble{At: when.Seconds(), label: label, act: act})
}

// begin starts a fault. One that befalls a process that has another just now is left out.
func (m *membersRun) begin(ctx context.Context, f memberFault) error {
	r := m.base
	switch f.Kind {
	case faultKill:
		i := f.Members[0]
		m.note(memberEvent{Kind: memberKilled, Member: i})
		return r.trouble(ctx, Trouble{Do: "kill", Balancer: i})
	case faultRestart:
		i := f.Members[0]
		if !r.alive[i] || m.network.paused[i] {
			return nil
		}
		m.note(memberEvent{Kind: memberKilled, Member: i})
		if err := r.trouble(ctx, Trouble{Do: "kill", Balancer: i}); err != nil {
			return err
		}
		return r.trouble(ctx, Trouble{Do: "restart", Balancer: i})
	case faultStop:
		return m.stopInOrder(f.Members[0])
	case faultPause:
		for _, i := range f.Members {
			m.pause(i)
		}
	case faultCold:
		return r.addCold(coldSetups)
	default:
		m.network.disturb(f, true, m.note)
	}
	return nil
}

// end ends a fault.
func (m *membersRun) end(f memberFault) error {
	if f.Kind != faultPause {
		m.network.disturb(f, false, m.note)
		return nil
	}
	for _, i := range f.Members {
		if m.network.paused[i] {
			m.network.paused[i] = false
			m.base.balancers[i].process.Process.Signal(syscall.SIGCONT)
			m.note(memberEvent{Kind: memberResumed, Member: i})
			m.base.recorder.Add(invariants.Event{Kind: invariants.BalancerStarted, Balancer: m.base.balancers[i].name})
			m.base.front.Add(m.base.balancers[i].name, m.base.balancers[i].address)
		}
	}
	return nil
}

// pause stops a process. The clients' front deals it nothing meanwhile, as the platform's does, and what it had taken
// is the stop's.
func (m *membersRun) pause(i int) {
	b := m.base.balancers[i]
	if !m.base.alive[i] || m.network.paused[i] {
		return
	}
	m.network.paused[i] = true
	m.base.front.Remove(b.name)
	time.Sleep(pauseNotice)
	m.base.recorder.Add(invariants.Event{Kind: invariants.BalancerKilled, Balancer: b.name})
	b.process.Process.Signal(syscall.SIGSTOP)
	m.note(memberEvent{Kind: memberPaused, Member: i})
}

// stopInOrder begins a planned stop; nobody waits for its end.
func (m *membersRun) stopInOrder(i int) error {
	b := m.base.balancers[i]
	m.base.front.Remove(b.name)
	m.base.alive[i], m.base.ended[b.name] = false, true
	m.note(memberEvent{Kind: memberStopped, Member: i})
	m.base.lagging.Go(func() { b.stop() })
	return nil
}

func (m *membersRun) every(ctx context.Context, pause time.Duration, do func()) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// stateLine is a line of a balancer's log.
var stateLine = regexp.MustCompile(`a member's state changed".* member=n(\d+) state=(\w+)`)

var statesByName = map[string]membership.State{"alive": membership.Alive, "suspect": membership.Suspect, "failed": membership.Failed,
	"left": membership.Left}

// tail reads what the balancers have logged of each other since the last look.
func (m *membersRun) tail() {
	for i, b := range m.base.balancers {
		file, err := os.Open(filepath.Join(b.dir, "log"))
		if err != nil {
			continue
		}
		file.Seek(m.reported[i], io.SeekStart)
		for lines := bufio.NewReader(file); ; {
			line, err := lines.ReadString('\n')
			if err != nil {
				break // the rest is not written yet
			}
			m.reported[i] += int64(len(line))
			if found := stateLine.FindStringSubmatch(line); found != nil {
				other, _ := strconv.Atoi(found[1])
				m.note(memberEvent{Kind: memberReported, Member: i, Other: other, State: statesByName[found[2]]})
			}
		}
		file.Close()
	}
}

// poll asks all that answer for their figures, at once.
func (m *membersRun) poll() {
	var all sync.WaitGroup
	for i, b := range m.base.balancers {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), pollEvery)
			defer cancel()
			figures, err := management.ParseMetrics(ctx, b.management)
			if _, member := figures["members_alive"]; err != nil || !member {
				return
			}
			m.note(memberEvent{Kind: memberPolled, Member: i, Alive: int(figures["members_alive"]), Size: int(figures["fleet_size"]),
				Version: figures["view_version"]})
			m.count(b.name, figures["gossip_bytes_sent"])
		})
	}
	all.Wait()
}

// count notes the bytes that an instance has sent in a second or a little more.
func (m *membersRun) count(name string, bytes uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	before, known := m.sent[name]
	if known && now.Sub(before.at) < time.Second {
		return
	}
	m.sent[name] = sentReading{now, bytes}
	if known && bytes >= before.bytes {
		m.bytes = append(m.bytes, float64(bytes-before.bytes)/now.Sub(before.at).Seconds())
	}
}

// cpu is the processor time of all that live.
func (m *membersRun) cpu() (sum time.Duration) {
	for i, b := range m.base.balancers {
		if m.base.alive[i] {
			if _, _, cpu, err := b.usage(); err == nil {
				sum += cpu
			}
		}
	}
	return sum
}

// addCold starts a room server that is cold.
func (r *run) addCold(setups float64) error {
	room, err := emulator.NewRoomServer(emulator.RoomServerConfig{Name: fmt.Sprintf("s-%d", len(r.rooms)), Capacity: r.e.Capacity, Recorder: r.recorder,
		SetupRate: setups, WarmupFraction: coldShare, WarmupTime: coldFor, CollapseFactor: fallMultiple})
	if err != nil {
		return err
	}
	r.rooms = append(r.rooms, room)
	r.discovery.SetLifecycle(room, "a", "active")
	return nil
}
