package main

import (
	"testing"
	"time"
)

func TestInstanceMetricsRate(t *testing.T) {
	before := instanceMetrics{"fulfilled.a": 10, "resumed": 4}
	after := instanceMetrics{"fulfilled.a": 30, "fulfilled.b": 4, "fulfilled_later": 99, "resumed": 3}
	for _, test := range []struct {
		name string
		want float64
	}{
		{"fulfilled", 12}, // sum of both classes
		{"resumed", -0.5}, // a restart has reset the counter
		{"faulted", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := after.rate(before, test.name, 2*time.Second); got != test.want {
				t.Errorf("%v per second, want %v", got, test.want)
			}
		})
	}
}

func TestInstanceMetricsCluster(t *testing.T) {
	if got := (instanceMetrics{"fleet_size": 3}).cluster(); got != nil {
		t.Errorf("an instance that is not a member: %+v", got)
	}
	metrics := instanceMetrics{"members_alive": 1, "members_suspect": 2, "members_failed": 3, "fleet_size": 4,
		"partitioned": 1}
	want := clusterStatus{Alive: 1, Suspect: 2, Failed: 3, FleetSize: 4, Partitioned: true}
	if got := metrics.cluster(); got == nil || *got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

func TestClusterColumns(t *testing.T) {
	for _, test := range []struct {
		name   string
		status *clusterStatus
		want   [3]string
	}{
		{"not a member", nil, [3]string{"-", "-", "-"}},
		{"whole", &clusterStatus{Alive: 5, FleetSize: 5}, [3]string{"5/0/0", "5", "whole"}},
		{"partitioned", &clusterStatus{Alive: 2, Failed: 3, FleetSize: 5, Partitioned: true},
			[3]string{"2/0/3", "5", "partitioned"}},
		{"isolated", &clusterStatus{Alive: 1, Suspect: 4, FleetSize: 5, Isolated: true, Partitioned: true},
			[3]string{"1/4/0", "5", "isolated"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			counts, size, health := test.status.columns()
			if got := [3]string{counts, size, health}; got != test.want {
				t.Errorf("%q, want %q", got, test.want)
			}
		})
	}
}
