package experiment

import (
	"bufio"
	"context"
	"io"
	"os"
	"regexp"
	"strconv"
	"sync"
	"time"

	"cottonplank/internal/cluster/membership"
	"cottonplank/internal/operations/management"
)

// Names of the metrics that are polled.
const (
	aliveMetric       = "members_alive"
	fleetSizeMetric   = "fleet_size"
	viewVersionMetric = "view_version"
	gossipMetric      = "gossip_bytes_sent"
)

// gossipWindow is the shortest time over which the rate of gossip is measured.
const gossipWindow = time.Second

// stateChangePattern matches the line that a balancer logs when the state of a member changes in its view.
var stateChangePattern = regexp.MustCompile(`a member's state changed".* member=n(\d+) state=(\w+)`)

// statesByName maps the name of a state in the log to the state.
var statesByName = map[string]membership.State{
	"alive":   membership.Alive,
	"suspect": membership.Suspect,
	"failed":  membership.Failed,
	"left":    membership.Left,
}

// readLogs records the state changes that the instances have logged since the last call.
func (m *membershipRun) readLogs() {
	for i, b := range m.base.balancers {
		m.readLog(i, b)
	}
}

// readLog records the state changes that an instance has logged since the last call.
func (m *membershipRun) readLog(i int, b *balancer) {
	file, err := os.Open(b.logPath())
	if err != nil {
		return // the instance has no log yet
	}
	defer file.Close()
	file.Seek(m.logRead[i], io.SeekStart)
	for lines := bufio.NewReader(file); ; {
		line, err := lines.ReadString('\n')
		if err != nil {
			return // the last line, if it is incomplete, is read by the next call
		}
		m.logRead[i] += int64(len(line))
		found := stateChangePattern.FindStringSubmatch(line)
		if found == nil {
			continue
		}
		other, _ := strconv.Atoi(found[1])
		m.record(membershipEvent{Kind: memberReported, Member: i, Other: other, State: statesByName[found[2]]})
	}
}

// pollMetrics records the metrics of all instances that answer within pollInterval.
func (m *membershipRun) pollMetrics() {
	var polls sync.WaitGroup
	for i, b := range m.base.balancers {
		polls.Go(func() { m.pollInstance(i, b) })
	}
	polls.Wait()
}

// pollInstance records the metrics of an instance, if it answers within pollInterval.
func (m *membershipRun) pollInstance(i int, b *balancer) {
	ctx, cancel := context.WithTimeout(context.Background(), pollInterval)
	defer cancel()
	metrics, err := management.QueryMetrics(ctx, b.management)
	if err != nil {
		return
	}
	alive, isMember := metrics[aliveMetric]
	if !isMember {
		return
	}
	m.record(membershipEvent{
		Kind:    memberPolled,
		Member:  i,
		Alive:   int(alive),
		Size:    int(metrics[fleetSizeMetric]),
		Version: metrics[viewVersionMetric],
	})
	m.recordGossip(b.name, metrics[gossipMetric])
}

// recordGossip records the rate at which an instance has sent gossip since the last reading. It does nothing if less
// than gossipWindow has passed since then.
func (m *membershipRun) recordGossip(name string, bytes uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	before, known := m.gossipSent[name]
	if known && now.Sub(before.at) < gossipWindow {
		return
	}
	m.gossipSent[name] = gossipReading{now, bytes}
	if known && bytes >= before.bytes { // a lower count is that of a new process
		rate := float64(bytes-before.bytes) / now.Sub(before.at).Seconds()
		m.gossipRates = append(m.gossipRates, rate)
	}
}
