package main

import (
	"context"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/cluster/gossip"
	"cottonplank/internal/cluster/membership"
	"cottonplank/internal/config"
	"cottonplank/internal/core"
	"cottonplank/internal/operations/management"

	"github.com/sirupsen/logrus"
)

// serviceStateInterval is how often followServiceState checks the engine's service state.
const serviceStateInterval = 100 * time.Millisecond

// newCluster returns nil if the fronts file configures no membership. The cluster calls setFleetSize with the fleet
// size of each new view, and with the configured fleet size when the membership ends.
func newCluster(m config.Membership, settings decide.Settings, setFleetSize func(decide.FleetSize),
	log *logrus.Logger) (*gossip.Cluster, error) {
	if m.Name == "" {
		return nil, nil
	}
	ring, err := m.LoadRing()
	if err != nil {
		return nil, frontsError(config.InSection("membership", err))
	}
	return gossip.New(gossip.Config{
		Settings:       m,
		Ring:           ring,
		ConfiguredSize: decide.ConfiguredFleetSize(settings),
		Version:        programVersion(),
		Log:            log,
		OnView:         func(view *membership.View) { setFleetSize(fleetSize(view, settings)) },
	}), nil
}

// fleetSize returns the fleet size that the view reports. If view is nil, because the instance is not a member, it
// returns the configured fleet size.
func fleetSize(view *membership.View, settings decide.Settings) decide.FleetSize {
	if view == nil {
		return decide.ConfiguredFleetSize(settings)
	}
	return decide.FleetSize{
		Fleet:    view.Divisors.Cluster,
		Zone:     view.Divisors.Zone,
		Admitted: view.Divisors.Admitted,
	}
}

// startCluster starts the goroutines of the cluster membership, if it is configured. Cluster.Run joins the cluster.
func (d *daemon) startCluster(ctx context.Context) {
	if d.cluster == nil {
		return
	}
	d.running.Go(func() { d.cluster.Run(ctx) })
	d.running.Go(func() { followServiceState(ctx, d.cluster, d.engine.ServiceState) })
}

// followServiceState leaves the cluster when this process becomes a lame duck, and rejoins it when the process serves
// again. In a graceful shutdown, leaveCluster leaves it.
func followServiceState(ctx context.Context, cluster *gossip.Cluster, state func() core.ServiceState) {
	ticker := time.NewTicker(serviceStateInterval)
	defer ticker.Stop()
	left := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		switch s := state(); {
		case s == core.LameDuck && !left:
			left = true
			cluster.SetMember(false)
		case s == core.Serving && left:
			left = false
			cluster.SetMember(true)
		}
	}
}

// clusterMetrics returns the metrics that INFO reports about the cluster. If view is nil, because the instance is not
// a member, the metrics about members are omitted.
func clusterMetrics(stats gossip.Stats, view *membership.View) []management.Metric {
	metrics := []management.Metric{
		{Name: "gossip_bytes_sent", Value: stats.BytesSent},
		{Name: "frames_too_long", Value: stats.TooLong},
		{Name: "frames_replayed", Value: stats.Replayed},
		{Name: "frames_refused", Value: stats.Rejected},
	}
	if view == nil {
		return metrics
	}
	return append(metrics,
		management.Metric{Name: "members_alive", Value: uint64(view.Alive)},
		management.Metric{Name: "members_suspect", Value: uint64(view.Suspect)},
		management.Metric{Name: "members_failed", Value: uint64(view.Failed)},
		management.Metric{Name: "fleet_size", Value: uint64(view.Divisors.Cluster)},
		management.Metric{Name: "zone_size", Value: uint64(view.Divisors.Zone)},
		management.Metric{Name: "isolated", Value: boolMetric(view.Isolated)},
		management.Metric{Name: "partitioned", Value: boolMetric(view.Partitioned)},
		management.Metric{Name: "admitted", Value: boolMetric(view.Divisors.Admitted)},
		management.Metric{Name: "view_version", Value: view.Version})
}

func boolMetric(value bool) uint64 {
	if value {
		return 1
	}
	return 0
}
