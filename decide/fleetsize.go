package decide

// fleetState is the number of balancers that the decisions use.
type fleetState struct {
	FleetSize
	fromMembership bool // counted by the cluster's membership; otherwise configured
}

// ConfiguredFleetSize returns the fleet size of the settings. It assumes that all zones have equally many balancers.
func ConfiguredFleetSize(settings Settings) FleetSize {
	balancers := max(settings.Balancers, 1)
	perZone := balancers / max(len(settings.Zones), 1)
	return FleetSize{Fleet: balancers, Zone: max(1, perZone), Admitted: true}
}

// setFleetSize applies a fleet size counted by the membership. An invalid size is ignored.
func (b *Balancer) setFleetSize(event FleetSize) {
	if event.Fleet < 1 || event.Zone < 1 || event.Fleet > MaxBalancers {
		return
	}
	b.fleet = fleetState{FleetSize: event, fromMembership: true}
	b.updateThresholds()
	b.reindexAll(b.ready) // the lists depend on the thresholds
}

// zoneBalancers returns the number of balancers in the own zone, including this one.
func (b *Balancer) zoneBalancers() float64 { return float64(b.fleet.Zone) }
