package main

import (
	"fmt"
	"os"

	"cottonplank/internal/config"
	"cottonplank/internal/discovery/filesource"
	"cottonplank/internal/frontend/platform"
	"cottonplank/internal/session/token"

	"github.com/sirupsen/logrus"
)

// loadConfig reads the configuration and the fronts file, and subtracts the file descriptors of the QUIC flows from
// the descriptors for client connections. An empty frontsFile means no fronts file.
func loadConfig(frontsFile string) (*config.Config, config.Fronts, error) {
	cfg, err := config.Load()
	if err != nil {
		return nil, config.Fronts{}, err
	}
	fronts, err := config.LoadFronts(frontsFile, cfg.Settings.Classes)
	if err == nil {
		err = cfg.ReserveFlows(fronts)
	}
	return cfg, fronts, err
}

// loadConfig reads the files that the balancer needs to start, except for the cluster keys, which newCluster reads. It
// also applies the limit on processor cores and creates the logger.
func (d *daemon) loadConfig() error {
	var err error
	if d.cfg, d.fronts, err = loadConfig(d.frontsFile); err != nil {
		return err
	}
	if d.sessionKeys, err = loadSessionKeys(d.fronts.Sessions); err != nil {
		return err
	}
	if d.fronts.EndpointFile != "" {
		if d.initialEndpoints, err = filesource.Read(d.fronts.EndpointFile); err != nil {
			return frontsError(err)
		}
		d.cfg.KnownEndpoints = filesource.Endpoints(d.initialEndpoints)
	}
	d.cfg.ApplyCores()
	d.log = logrus.New()
	d.log.SetOutput(os.Stderr)
	if d.configReplica, err = newConfigReplica(d.cfg, d.fronts.ControlPlane, d.log); err != nil {
		return frontsError(config.InSection("control", err))
	}
	return nil
}

// loadSessionKeys reads the keyring that seals session tokens. It returns nil if session resumption is not configured.
func loadSessionKeys(sessions config.Sessions) (*token.Ring, error) {
	ring, err := sessions.LoadRing()
	if err != nil {
		return nil, frontsError(config.InSection("resume", err))
	}
	return ring, nil
}

// frontsError adds a prefix to err that names the fronts file as its source.
func frontsError(err error) error { return fmt.Errorf("fronts: %w", err) }

// classNames returns the names of the request classes in the order of their class indexes.
func classNames(cfg *config.Config) []string {
	var names []string
	for _, class := range cfg.Settings.Classes {
		names = append(names, class.Name)
	}
	return names
}

// protocolNames returns the names of classes and tenants that a client's request may contain, with the class indexes.
func protocolNames(cfg *config.Config) platform.AllowedNames {
	names := platform.AllowedNames{Classes: map[string]int{}, Tenants: map[string]bool{}}
	for i, class := range cfg.Settings.Classes {
		names.Classes[class.Name] = i
	}
	for _, tenant := range cfg.Tenants {
		names.Tenants[tenant] = true
	}
	return names
}
