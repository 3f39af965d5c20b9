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
	// joinTimeout is how long the instances may take to see each other.
	joinTimeout = 15 * time.Second
	// regionName is the region of all instances.
	regionName = "lab"
)

// membershipRun is a running MembershipExperiment: a run whose balancers are connected by a network with faults. The
// goroutine of RunMembership owns its fields unless their comments say otherwise.
type membershipRun struct {
	e       MembershipExperiment
	base    *run
	network *membershipNetwork
	faults  []membershipFault
	// paused says which instances are stopped by SIGSTOP.
	paused []bool
	// logRead is how much of each instance's log was read, in bytes. The goroutine that reads the logs owns it.
	logRead []int64
	// start is the time from which events are counted.
	start time.Time

	// mu guards the fields below.
	mu     sync.Mutex
	events []membershipEvent
	// gossipRates holds the bytes of gossip that one instance has sent in one second.
	gossipRates []float64
	// gossipSent holds the latest reading of each instance by its name.
	gossipSent map[string]gossipReading
}

// gossipReading is the number of bytes that an instance had sent at a time.
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

// record adds an event that happens now.
func (m *membershipRun) record(e membershipEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e.At = time.Since(m.start)
	m.events = append(m.events, e)
}

// play opens the network and the run, plays it with the faults and returns the result.
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

// membershipFronts is the fronts file of a member.
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
	// Via holds the address of the proxy to each other member, by the member's address.
	Via map[string]string `json:"via"`
}

// writeFronts writes the fronts file of a balancer.
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

// waitUntilJoined waits until all instances see each other.
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
			return fmt.Errorf("%d of %d instances see all others within %v", joined, m.e.Instances, joinTimeout)
		}
	}
}

// totalCPU returns the processor time of all running instances.
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
