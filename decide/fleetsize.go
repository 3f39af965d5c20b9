package decide

// fleetState is the number of balancers that the decisions go by.
type fleetState struct {
	FleetSize
	fromMembership bool // the membership counts them; else it is the number of the settings
}

// ConfiguredFleetSize is the size that the settings name, where the zones are taken to have the same number of balancers each.
func ConfiguredFleetSize(set Settings) FleetSize {
	all := max(set.Balancers, 1)
	return FleetSize{Fleet: all, Zone: max(1, all/max(len(set.Zones), 1)), Admitted: true}
}

// setFleetSize takes over what the membership counts. A spoilt number is passed over.
func (b *Balancer) setFleetSize(ev FleetSize) {
	if ev.Fleet < 1 || ev.Zone < 1 || ev.Fleet > MaxBalancers {
		return
	}
	b.fleet = fleetState{FleetSize: ev, fromMembership: true}
	b.updateThresholds()
	b.reindexAll(b.ready) // whether a server has room depends on the margins
}

// updateThresholds makes the loads up to which a server has room. A report shows what the others of the zone have placed
// half a second late; own placements are booked at once.
func (b *Balancer) updateThresholds() {
	hidden := unreportedLoadMargin * (1 - 1/b.zoneBalancers())
	b.capacityThreshold, b.saturationThreshold = maxLoadWithCapacity-hidden, saturationLoad-hidden/2
}

// zoneBalancers is how many balancers are taken to share the zone.
func (b *Balancer) zoneBalancers() float64 { return float64(b.fleet.Zone) }
