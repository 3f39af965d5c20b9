package main

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/cluster/gossip"
	"cottonplank/internal/cluster/membership"
	"cottonplank/internal/config"
	"cottonplank/internal/core"
	"cottonplank/internal/operations/management"

	"github.com/sirupsen/logrus"
)

// serviceEvery is how often the membership looks whether this process serves.
const serviceEvery = 100 * time.Millisecond

// newCluster returns the membership that a fronts file asks for; nil: it asks for none.
func newCluster(m config.Membership, settings decide.Settings, use func(decide.FleetSize),
	log *logrus.Logger) (*gossip.Cluster, error) {
	if m.Name == "" {
		return nil, nil
	}
	ring, err := m.Ring()
	if err != nil {
		return nil, fmt.Errorf("fronts: membership.%w", err)
	}
	return gossip.New(gossip.Config{Settings: m, Ring: ring, ConfiguredSize: decide.ConfiguredFleetSize(settings), Version: programVersion(), Log: log,
		OnView: func(view *membership.View) { use(fleetSize(view, settings)) }}), nil
}

// fleetSize is what the decisions go by: the membership's count, or the settings' number where the instance is no member.
func fleetSize(view *membership.View, settings decide.Settings) decide.FleetSize {
	if view == nil {
		return decide.ConfiguredFleetSize(settings)
	}
	return decide.FleetSize{Fleet: view.Divisors.Cluster, Zone: view.Divisors.Zone, Admitted: view.Divisors.Admitted}
}

func programVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

// checkMembership reads what the section names and tells of it.
func checkMembership(out io.Writer, m config.Membership) error {
	if m.Name == "" {
		return nil
	}
	ring, err := m.Ring()
	if err != nil {
		return fmt.Errorf("fronts: membership.%w", err)
	}
	_, err = fmt.Fprintf(out, "membership: %s at %s, zone %q, region %q, %d seeds, key %s seals, %d keys\n", m.Name, m.Listen, m.Zone,
		m.Region, len(m.Seeds), ring.Sealing(time.Now()), len(ring.Keys()))
	return err
}

// followService leaves the cluster while this process sends its clients away, and joins it again when it is called back.
func followService(ctx context.Context, cluster *gossip.Cluster, service func() core.ServiceState) {
	ticker := time.NewTicker(serviceEvery)
	defer ticker.Stop()
	away := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		switch s := service(); {
		case s == core.LameDuck && !away:
			away = true
			cluster.SetMember(false)
		case s == core.Serving && away:
			away = false
			cluster.SetMember(true)
		}
	}
}

// clusterFigures are what INFO tells of the membership.
func clusterFigures(cluster *gossip.Cluster) []management.Metric {
	frames := cluster.Stats()
	figures := []management.Metric{
		{Name: "gossip_bytes_sent", Value: frames.BytesSent},
		{Name: "frames_too_long", Value: frames.TooLong},
		{Name: "frames_replayed", Value: frames.Replayed},
		{Name: "frames_refused", Value: frames.Rejected},
	}
	view := cluster.View()
	if view == nil {
		return figures
	}
	return append(figures,
		management.Metric{Name: "members_alive", Value: uint64(view.Alive)},
		management.Metric{Name: "members_suspect", Value: uint64(view.Suspect)},
		management.Metric{Name: "members_failed", Value: uint64(view.Failed)},
		management.Metric{Name: "fleet_size", Value: uint64(view.Divisors.Cluster)},
		management.Metric{Name: "zone_size", Value: uint64(view.Divisors.Zone)},
		management.Metric{Name: "isolated", Value: flag(view.Isolated)},
		management.Metric{Name: "partitioned", Value: flag(view.Partitioned)},
		management.Metric{Name: "admitted", Value: flag(view.Divisors.Admitted)},
		management.Metric{Name: "view_version", Value: view.Version})
}

func flag(is bool) uint64 {
	if is {
		return 1
	}
	return 0
}
