package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cottonplank/internal/operations/management"
)

const (
	// pollInterval is the time between two polls of the instances' metrics.
	pollInterval = 250 * time.Millisecond
	// logInterval is the time between two reads of the instances' logs.
	logInterval = 50 * time.Millisecond
	// joinTimeout is how long the instances may take until all consider each other alive.
	joinTimeout = 15 * time.Second
	// regionName is the region of all instances.
	regionName = "lab"
)

// membershipRun is a MembershipExperiment in progress: a run whose balancers are connected by a network with faults.
// Only the goroutine of RunMembership writes its fields, unless their comments say otherwise. The goroutines that read
// logs and poll metrics read base and start.
type membershipRun struct {
	e       MembershipExperiment
	base    *run
	network *membershipNetwork
	faults  []membershipFault
	// paused says, for each instance, whether it is paused by SIGSTOP.
	paused []bool
	// logRead holds the number of bytes of each instance's log that were read. Only readLogs accesses it.
	logRead []int64
	// start is the time that the times of events are relative to.
	start time.Time

	// mu guards the fields below.
	mu     sync.Mutex
	events []membershipEvent
	// gossipRates holds the measured rates of gossip of all instances, in bytes per second.
	gossipRates []float64
	// gossipSent holds the latest reading of each instance, by its name.
	gossipSent map[string]gossipReading
}

// gossipReading is the number of bytes of gossip that an instance had sent at a given time.
type gossipReading struct {
	at    time.Time
	bytes uint64
}

// RunMembership runs a MembershipExperiment with the given balancer program.
func RunMembership(
	ctx context.Context, program string, e MembershipExperiment, progress Progress,
) (MembershipResult, error) {
	dir, err := os.MkdirTemp("", "cottonplank-lab-")
	if err != nil {
		return MembershipResult{}, err
	}
	defer os.RemoveAll(dir)
	m := &membershipRun{
		e:          e,
		base:       newRun(program, dir, e.experiment(), progress),
		network:    newMembershipNetwork(e.Instances, e.Seed),
		faults:     drawMembershipFaults(e.Instances, e.Seed),
		paused:     make([]bool, e.Instances),
		logRead:    make([]int64, e.Instances),
		gossipSent: map[string]gossipReading{},
	}
	defer m.network.close()
	defer m.base.close()
	for _, f := range m.faults {
		progress(fmt.Sprintf("%6.2f s  %s", f.At.Seconds(), f))
	}
	return m.play(ctx)
}

// record adds an event and sets its time to now.
func (m *membershipRun) record(e membershipEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e.At = time.Since(m.start)
	m.events = append(m.events, e)
}

// play opens the network and the base run, waits until the instances have joined, and plays the run with the faults.
func (m *membershipRun) play(ctx context.Context) (MembershipResult, error) {
	m.start = time.Now()
	if err := m.network.open(); err != nil {
		return MembershipResult{}, err
	}
	m.base.beforeFirstStart = m.writeFronts
	m.base.beforeStart = func(i int) { m.record(membershipEvent{Kind: memberStarted, Member: i}) }
	if err := m.base.open(ctx); err != nil {
		return MembershipResult{}, err
	}
	if err := m.waitUntilJoined(ctx); err != nil {
		return MembershipResult{}, err
	}
	m.scheduleFaults()
	observing, stopObserving := context.WithCancel(ctx)
	var observers sync.WaitGroup
	observers.Go(func() { repeat(observing, logInterval, m.readLogs) })
	observers.Go(func() { repeat(observing, pollInterval, m.pollMetrics) })
	cpuBefore := m.totalCPU()
	begin := time.Now()
	err := m.base.play(ctx)
	cpu := (m.totalCPU() - cpuBefore).Seconds() * 1000
	cpuPerInstance := cpu / time.Since(begin).Seconds() / float64(m.e.Instances)
	stopObserving()
	observers.Wait()
	m.readLogs()
	if err != nil {
		return MembershipResult{}, err
	}
	return m.result(cpuPerInstance), nil
}

// repeat calls a function at an interval until ctx ends.
func repeat(ctx context.Context, interval time.Duration, call func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			call()
		}
	}
}

// membershipFronts is the contents of the fronts file of a member.
type membershipFronts struct {
	Membership membershipSection `json:"membership"`
}

// membershipSection configures a member.
type membershipSection struct {
	Name   string   `json:"name"`
	Listen string   `json:"listen"`
	Zone   string   `json:"zone"`
	Region string   `json:"region"`
	Seeds  []string `json:"seeds"`
	Keys   string   `json:"keys"`
	// Via maps the address of each other member to that of the proxy to it.
	Via map[string]string `json:"via"`
}

// writeFronts writes the fronts file of a balancer, with its membership and its proxies.
func (m *membershipRun) writeFronts(i int, b *balancer) error {
	via := map[string]string{}
	for j, address := range m.network.addresses {
		if j != i {
			via[address.String()] = m.network.proxies[i][j].address.String()
		}
	}
	raw, err := json.Marshal(membershipFronts{Membership: membershipSection{
		Name:   b.name,
		Listen: m.network.addresses[i].String(),
		Zone:   singleZoneName,
		Region: regionName,
		Seeds:  []string{m.network.addresses[0].String()},
		Keys:   m.base.keys.path,
		Via:    via,
	}})
	if err != nil {
		return err
	}
	b.frontsFile = filepath.Join(b.dir, frontsFileName)
	return os.WriteFile(b.frontsFile, raw, 0o600)
}

// waitUntilJoined waits until each instance considers all instances alive.
func (m *membershipRun) waitUntilJoined(ctx context.Context) error {
	for end := time.Now().Add(joinTimeout); ; time.Sleep(pollInterval) {
		joined := 0
		for _, b := range m.base.balancers {
			metrics, err := management.QueryMetrics(ctx, b.management)
			if err == nil && metrics[aliveMetric] == uint64(m.e.Instances) {
				joined++
			}
		}
		if joined == m.e.Instances {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d instances consider all others alive after %v",
				joined, m.e.Instances, joinTimeout)
		}
	}
}

// totalCPU returns the sum of the processor time of all running instances since their starts.
func (m *membershipRun) totalCPU() (sum time.Duration) {
	for i, b := range m.base.balancers {
		if !m.base.alive[i] {
			continue
		}
		if usage, err := b.usage(); err == nil {
			sum += usage.cpu
		}
	}
	return sum
}
