package main

import (
	"context"

	"cottonplank/internal/core"
	"cottonplank/internal/discovery/filesource"
	"cottonplank/internal/discovery/httpsource"
)

// endpointSource delivers the endpoint list and its changes to the engine.
type endpointSource interface {
	core.Discovery
	SetWatchdog(core.Watchdog)
	Run(context.Context)
}

// newDiscovery creates the source of the endpoint list: the control plane if one is configured, else the endpoint
// file if there is one, else the discovery service.
func (d *daemon) newDiscovery() {
	d.setDiscoveryAddress = d.engine.SetDiscoveryAddress
	switch {
	case d.configReplica != nil:
		source := d.configReplica.newSource(d.engine)
		d.setDiscoveryAddress = source.SetFallbackAddress
		d.discovery = source
	case d.fronts.EndpointFile != "":
		d.endpointFile = filesource.New(d.fronts.EndpointFile, d.initialEndpoints, d.engine, d.log)
		d.discovery = d.endpointFile
	default:
		d.discovery = httpsource.New(d.cfg.Discovery, d.cfg.KnownGeneration, d.engine, d.log)
	}
	d.discovery.SetWatchdog(d.monitor.AddTask(discoveryTask))
}
