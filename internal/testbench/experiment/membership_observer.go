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

// gossipWindow is the least time over which the rate of gossip is measured.
const gossipWindow = time.Second

// stateChangePattern matches the line of a balancer's log that a member's state has changed.
var stateChangePattern = regexp.MustCompile(`a member's state changed".* member=n(\d+) state=(\w+)`)

// statesByName holds the states of members by their names in the log.
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
		return // the instance has not started yet
	}
	defer file.Close()
	file.Seek(m.logRead[i], io.SeekStart)
	for lines := bufio.NewReader(file); ; {
		line, err := lines.ReadString('\n')
		if err != nil {
			return // the rest of the line is not written yet
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

// pollMetrics records the metrics of all instances that answer in time.
func (m *membershipRun) pollMetrics() {
	var polls sync.WaitGroup
	for i, b := range m.base.balancers {
		polls.Go(func() { m.pollInstance(i, b) })
	}
	polls.Wait()
}

// pollInstance records the metrics of an instance, if it answers in time.
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

// recordGossip records the rate at which an instance has sent gossip, about once a second.
func (m *membershipRun) recordGossip(name string, bytes uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	before, known := m.gossipSent[name]
	if known && now.Sub(before.at) < gossipWindow {
		return
	}
	m.gossipSent[name] = gossipReading{now, bytes}
	if known && bytes >= before.bytes { // fewer bytes are those of a new process
		rate := float64(bytes-before.bytes) / now.Sub(before.at).Seconds()
		m.gossipRates = append(m.gossipRates, rate)
	}
}
