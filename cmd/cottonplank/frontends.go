package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/config"
	"cottonplank/internal/core"
	"cottonplank/internal/frontend/platform"
	"cottonplank/internal/frontend/quic"
	"cottonplank/internal/operations/management"

	"github.com/sirupsen/logrus"
)

// detailedSnapshotTimeout bounds the SNMP agent's wait for the engine's detailed snapshot. After the timeout the agent
// reports the previous detailed snapshot, or no room servers if the engine has none: its event loop deletes one that
// is older than 10 s, but a stuck loop deletes none.
const detailedSnapshotTimeout = 200 * time.Millisecond

// newFrontend creates the frontend of the platform's line protocol. It enables session resumption if session keys are
// configured.
func (d *daemon) newFrontend() {
	budget := platform.DescriptorBudget{Total: d.cfg.ConnDescriptors, DialReserve: d.cfg.DialReserve}
	d.frontend = platform.New(d.engine, protocolNames(d.cfg), budget, d.log)
	d.frontend.SetWatchdog(d.monitor.AddTask(frontendTask))
	if d.sessionKeys == nil {
		return
	}
	settings := d.fronts.Sessions
	d.sessions = platform.NewSessionResumer(platform.SessionLimits{
		Site:          settings.Site,
		TokenLifetime: settings.TokenLifetime,
		MaxState:      settings.MaxStateBytes,
		MaxBytes:      settings.MaxBytesInFlight,
		MaxMigrations: settings.MaxMigrations,
	}, d.sessionKeys)
	d.frontend.EnableSessions(d.sessions)
}

// startFrontend starts the frontend of the platform's line protocol, which runs until ctx ends or stopFrontend is
// called.
func (d *daemon) startFrontend(ctx context.Context) {
	ctx, d.stopFrontend = context.WithCancel(ctx)
	d.frontendEnded = make(chan struct{})
	d.running.Go(func() {
		defer close(d.frontendEnded)
		d.frontend.Serve(ctx, d.clientListener, d.clientPauser)
	})
}

func newQUICFrontend(cfg *config.Config, settings config.QUIC, conn *net.UDPConn, engine *core.Engine,
	log *logrus.Logger) (*quic.Frontend, error) {
	ids, err := quic.NewIDFormat(settings.ConfigID, settings.NonceLength, settings.IDKey)
	if err != nil {
		return nil, fmt.Errorf("quic front: %w", err)
	}
	class := cfg.Settings.Classes[settings.ClassIndex]
	return quic.New(quic.Config{
		Conn:       conn,
		IDs:        ids,
		ResetKey:   settings.ResetKey,
		Class:      settings.ClassIndex,
		Timeout:    class.ClientTimeout,
		Idle:       settings.IdleTimeout,
		MaxFlows:   settings.MaxFlows,
		Repeatable: class.Idempotency == decide.Idempotent,
	}, engine, log), nil
}

// startManagement starts the management server if a management address is configured.
func (d *daemon) startManagement(ctx context.Context) {
	if d.managementListener == nil {
		return
	}
	server := management.New(d.engine, classNames(d.cfg), d.cfg.MaxManagementConns, d.log)
	if d.cluster != nil {
		server.AddMetrics(func() []management.Metric { return clusterMetrics(d.cluster.Stats(), d.cluster.View()) })
	}
	d.running.Go(func() { server.Serve(ctx, d.managementListener) })
}

// startDatagramServers starts the QUIC frontend and the SNMP agent, each if it is configured.
func (d *daemon) startDatagramServers(ctx context.Context) {
	if d.quicFrontend != nil {
		d.running.Go(func() { d.quicFrontend.Serve(ctx, d.quicPauser) })
	}
	if d.previousQUIC != nil {
		d.quicFrontend.AddPrevious(ctx, d.previousQUIC)
	}
	if d.snmpAgent != nil {
		d.running.Go(func() { d.snmpAgent.Serve(ctx, d.snmpPauser) })
	}
}
