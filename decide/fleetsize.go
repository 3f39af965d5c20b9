package decide

// fleetState is the number of balancers that the decisions use.
type fleetState struct {
	FleetSize
	fromMembership bool // the cluster's membership counts it; otherwise it is the configured number
}

// ConfiguredFleetSize returns the size that the settings name. The zones are assumed to have equally many balancers.
func ConfiguredFleetSize(settings Settings) FleetSize {
	balancers := max(settings.Balancers, 1)
	perZone := balancers / max(len(settings.Zones), 1)
	return FleetSize{Fleet: balancers, Zone: max(1, perZone), Admitted: true}
}

// setFleetSize applies the size that the membership counts. An invalid one is ignored.
func (b *Balancer) setFleetSize(event FleetSize) {
	if event.Fleet < 1 || event.Zone < 1 || event.Fleet > MaxBalancers {
		return
	}
	b.fleet = fleetState{FleetSize: event, fromMembership: true}
	b.updateThresholds()
	b.reindexAll(b.ready) // the lists depend on the thresholds
}

// zoneBalancers returns the number of balancers that share the zone.
func (b *Balancer) zoneBalancers() float64 { return float64(b.fleet.Zone) }
