package main

import (
	"hash/fnv"
	"io"

	"cottonplank/internal/config"
	"cottonplank/internal/controlplane"
	"cottonplank/internal/controlplane/replica"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/httpsource"

	"github.com/sirupsen/logrus"
)

// configReplica holds what the balancer needs to replicate the control plane's document: the settings for following the
// control-plane servers, and the state that an earlier process saved. The replica itself is in the source that
// newSource returns.
type configReplica struct {
	cfg      *config.Config
	settings config.ControlPlane
	keys     *controlplane.Keyring
	store    *controlplane.Store
	saved    replica.State
	log      *logrus.Logger
}

// newConfigReplica loads the saved state and applies its document to cfg. It returns nil if no control-plane servers
// are configured.
func newConfigReplica(cfg *config.Config, settings config.ControlPlane, log *logrus.Logger) (*configReplica, error) {
	if len(settings.Servers) == 0 {
		return nil, nil
	}
	keys, err := controlplane.NewKeyring(settings.LoadRing)
	if err != nil {
		return nil, err
	}
	r := &configReplica{
		cfg:      cfg,
		settings: settings,
		keys:     keys,
		store:    controlplane.NewStore(settings.StateFile, settings.Site, log),
		log:      log,
	}
	r.saved = r.store.Load()
	r.applySaved()
	return r, nil
}

// applySaved applies the saved document, if there is one, to the configuration that the balancer starts with. Settings
// that the document omits keep their configured values.
func (r *configReplica) applySaved() {
	if r.saved.Version == (replica.Version{}) {
		return
	}
	document := r.saved.Document
	if document.Discovery != "" {
		r.cfg.Discovery = document.Discovery
	}
	if len(document.Endpoints) > 0 {
		r.cfg.KnownEndpoints = controlplane.Endpoints(document)
	}
	r.log.WithFields(logrus.Fields{
		"version":   r.saved.Version.String(),
		"endpoints": len(document.Endpoints),
		"discovery": document.Discovery,
	}).Info("control: starting from the saved document")
}

// newSource returns the endpoint source that follows the control plane. Until the document contains an endpoint list,
// the source delivers the list of the discovery service.
func (r *configReplica) newSource(engine *core.Engine) *controlplane.Source {
	newDiscovery := func(updates core.UpdateHandler) controlplane.DiscoverySource {
		return httpsource.New(r.cfg.Discovery, r.cfg.KnownGeneration, updates, r.log)
	}
	follower := controlplane.FollowerConfig{
		Servers: r.settings.Servers,
		Region:  r.settings.Region,
		Site:    r.settings.Site,
		Seed:    followerSeed(r.cfg.Name),
	}
	return controlplane.NewSource(follower, r.keys, r.store, r.saved, newDiscovery, engine.SetDiscoveryAddress, engine,
		r.log)
}

// followerSeed derives a seed from the name of a follower: a balancer's name, or the address at which a control-plane
// server listens. A follower chooses the server that it follows with this seed, so that the followers spread over the
// control-plane servers.
func followerSeed(name string) uint64 {
	hash := fnv.New64a()
	io.WriteString(hash, name)
	return hash.Sum64()
}
