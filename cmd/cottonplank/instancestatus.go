package main

import (
	"context"
	"strings"
	"sync"
	"time"

	"cottonplank/internal/operations/management"
)

// instanceStatus is the status command's report on one instance. The rates are averages over the interval between two
// INFO responses.
type instanceStatus struct {
	Address    string         `json:"address"`
	State      string         `json:"state"` // response to PING without its status code; empty if there was none
	Error      string         `json:"error,omitempty"`
	Generation uint64         `json:"generation"` // configuration generation; 0 if the instance does not report one
	Open       uint64         `json:"open_requests"`
	Listed     uint64         `json:"registry_entries"`
	Ejected    uint64         `json:"out_of_rotation"`
	Served     float64        `json:"served_per_s"`
	Rejected   float64        `json:"refused_per_s"`
	Failed     float64        `json:"failed_per_s"`
	Resumed    float64        `json:"resumed_per_s"`
	Cluster    *clusterStatus `json:"members,omitempty"` // nil if the instance is not a member of a cluster
}

// clusterStatus is the cluster as one instance sees it.
type clusterStatus struct {
	Alive       uint64 `json:"alive"`
	Suspect     uint64 `json:"suspect"`
	Failed      uint64 `json:"failed"`
	FleetSize   uint64 `json:"fleet_size"`
	Isolated    bool   `json:"isolated"`
	Partitioned bool   `json:"partitioned"`
}

// instanceMetrics maps the names of an instance's INFO metrics, without the prefix "svc.", to their values.
type instanceMetrics map[string]uint64

// pollInstances polls all instances concurrently, so that an instance that does not answer delays no other.
func pollInstances(ctx context.Context, addresses []string, interval time.Duration) []instanceStatus {
	instances := make([]instanceStatus, len(addresses))
	var polls sync.WaitGroup
	for i, address := range addresses {
		polls.Go(func() {
			instances[i].Address = address
			if err := instances[i].poll(ctx, interval); err != nil {
				instances[i].Error = err.Error()
			}
		})
	}
	polls.Wait()
	return instances
}

// poll sends PING and reads the instance's metrics twice, with the given interval in between.
func (s *instanceStatus) poll(ctx context.Context, interval time.Duration) error {
	pong, err := management.Query(ctx, s.Address, "PING")
	if err != nil {
		return err
	}
	_, s.State, _ = strings.Cut(pong[0], " ")
	before, err := management.QueryMetrics(ctx, s.Address)
	if err != nil {
		return err
	}
	start := time.Now()
	select {
	case <-time.After(interval):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := management.QueryMetrics(ctx, s.Address)
	if err != nil {
		return err
	}
	s.set(before, after, time.Since(start))
	return nil
}

// set derives the status from the metrics at the beginning and at the end of the elapsed time.
func (s *instanceStatus) set(before, after instanceMetrics, elapsed time.Duration) {
	s.Generation = after["generation"]
	s.Open = after["open_requests"]
	s.Listed = after["registry_entries"]
	s.Ejected = after["out_of_rotation"]
	s.Cluster = after.cluster()
	s.Served = after.rate(before, "fulfilled", elapsed)
	s.Rejected = after.rate(before, "throttled", elapsed)
	s.Failed = after.rate(before, "faulted", elapsed)
	s.Resumed = after.rate(before, "resumed", elapsed)
}

// rate returns the increase per second of the counter with this name, summed over the request classes if INFO reports
// one counter for each of them (name.CLASS). It can be negative: a restart of the instance in between resets the
// counters.
func (m instanceMetrics) rate(before instanceMetrics, name string, elapsed time.Duration) float64 {
	sum := 0.0
	for key, value := range m {
		if key == name || strings.HasPrefix(key, name+".") {
			sum += float64(value) - float64(before[key])
		}
	}
	return sum / elapsed.Seconds()
}

// cluster returns the metrics of the cluster, or nil if the instance is not a member of a cluster.
func (m instanceMetrics) cluster() *clusterStatus {
	if _, isMember := m["members_alive"]; !isMember {
		return nil
	}
	return &clusterStatus{
		Alive:       m["members_alive"],
		Suspect:     m["members_suspect"],
		Failed:      m["members_failed"],
		FleetSize:   m["fleet_size"],
		Isolated:    m["isolated"] > 0,
		Partitioned: m["partitioned"] > 0,
	}
}
