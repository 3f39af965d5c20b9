package decide

// fleetShare is the number of balancers that the decisions go by.
type fleetShare struct {
	FleetSize
	counted bool // the membership counts them; else it is the number of the settings
}

// ConfiguredFleetSize is the size that the settings name, where the zones are taken to have the same number of balancers each.
func ConfiguredFleetSize(set Settings) FleetSize {
	all := max(set.Balancers, 1)
	return FleetSize{Fleet: all, Zone: max(1, all/max(len(set.Zones), 1)), Admitted: true}
}

// fleetSize takes over what the membership counts. A spoilt number is passed over.
func (b *Balancer) fleetSize(ev FleetSize) {
	if ev.Fleet < 1 || ev.Zone < 1 || ev.Fleet > MaxBalancers {
		return
	}
	b.fleet = fleetShare{FleetSize: ev, counted: true}
	b.setMargins()
	b.reindexAll(b.ready) // whether a server has room depends on the margins
}

// setMargins makes the loads up to which a server has room. A report shows what the others of the zone have placed
// half a second late; own placements are booked at once.
func (b *Balancer) setMargins() {
	hidden := hiddenLoad * (1 - 1/b.peers())
	b.roomy, b.full = roomyLoad-hidden, fullLoad-hidden/2
}

// peers is how many balancers are taken to share the zone.
func (b *Balancer) peers() float64 { return float64(b.fleet.Zone) }
