package main

import (
	"context"
	"os"
	"time"

	"cottonplank/internal/cluster/gossip"
	"cottonplank/internal/config"
	"cottonplank/internal/discovery/endpoint"
	"cottonplank/internal/discovery/filesource"
	"cottonplank/internal/frontend/platform"
	"cottonplank/internal/operations/sdnotify"
	"cottonplank/internal/session/token"

	"github.com/sirupsen/logrus"
)

// reloader applies the settings that SIGHUP reloads: the discovery address, the session and cluster keys, and the
// endpoint file. If any of the files cannot be read or is invalid, the reload changes nothing. The endpoint file also
// takes effect without a reload, whenever it changes (filesource.Source).
type reloader struct {
	fronts              config.Fronts
	cluster             *gossip.Cluster // nil if no cluster membership is configured
	setDiscoveryAddress func(address string)
	sessions            *platform.SessionResumer // nil if session resumption is not configured
	endpointFile        *filesource.Source       // nil unless an endpoint file replaces discovery
	reportGeneration    func(generation uint64)  // generation: 1 at the start, 1 higher after each successful reload
	notifier            *sdnotify.Notifier
	log                 *logrus.Logger
}

// reloadedFiles holds the validated contents of the files that one reload has read.
type reloadedFiles struct {
	discovery   string        // address
	sessionKeys *token.Ring   // nil if session resumption is not configured
	clusterKeys *token.Ring   // nil if no cluster membership is configured
	endpoints   endpoint.List // empty unless an endpoint file replaces discovery
}

// startReloader starts a goroutine that reloads the configuration at each signal on hangup.
func (d *daemon) startReloader(ctx context.Context, hangup <-chan os.Signal) {
	r := &reloader{
		fronts:              d.fronts,
		cluster:             d.cluster,
		setDiscoveryAddress: d.setDiscoveryAddress,
		sessions:            d.sessions,
		endpointFile:        d.endpointFile,
		reportGeneration:    func(uint64) {},
		notifier:            d.notifier,
		log:                 d.log,
	}
	if d.frontsFile != "" { // without a fronts file INFO reports only the metrics that the platform specifies
		r.reportGeneration = d.engine.SetConfigGeneration
	}
	d.running.Go(func() { r.run(ctx, hangup) })
}

// run reloads the configuration at each signal until ctx ends. Reloads do not overlap.
func (r *reloader) run(ctx context.Context, hangup <-chan os.Signal) {
	generation := uint64(1)
	r.reportGeneration(generation)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		r.notifier.Reloading(sdnotify.MonotonicNow())
		if err := r.reload(ctx); err != nil {
			r.log.WithError(err).Error("reload failed: the configuration is invalid, keeping the previous one")
		} else {
			generation++
			r.reportGeneration(generation)
			r.log.WithField("generation", generation).Info("configuration reloaded")
		}
		r.notifier.Ready()
	}
}

// reload reads and validates all files before it applies any of them. On an error it applies none.
func (r *reloader) reload(ctx context.Context) error {
	files, err := r.readFiles()
	if err != nil {
		return err
	}
	r.apply(ctx, files)
	return nil
}

func (r *reloader) readFiles() (reloadedFiles, error) {
	var files reloadedFiles
	cfg, err := config.Reload()
	if err != nil {
		return files, err
	}
	files.discovery = cfg.Discovery
	if r.sessions != nil {
		if files.sessionKeys, err = r.fronts.Sessions.LoadRing(); err != nil {
			return files, err
		}
	}
	if r.endpointFile != nil {
		if files.endpoints, err = filesource.Read(r.fronts.EndpointFile); err != nil {
			return files, err
		}
	}
	if r.cluster != nil {
		if files.clusterKeys, err = r.fronts.Membership.LoadRing(); err != nil {
			return files, config.InSection("membership", err)
		}
	}
	return files, nil
}

// apply applies the files' contents. It ignores the discovery address if an endpoint file replaces discovery. Two of
// the settings may not take effect although the reload succeeds: an endpoint list that loses over half of the active
// endpoints, until the operator confirms it (endpoint.ChangeGuard), and a discovery address, if the control plane
// overrides it or has no contact to its leader (controlplane.Source.SetFallbackAddress).
func (r *reloader) apply(ctx context.Context, files reloadedFiles) {
	if files.clusterKeys != nil {
		r.cluster.SetKeys(files.clusterKeys)
	}
	if files.sessionKeys != nil {
		r.sessions.SetKeys(files.sessionKeys)
		r.log.WithFields(logrus.Fields{
			"sealing_key": files.sessionKeys.SealingKeyID(time.Now()),
			"keys":        len(files.sessionKeys.Keys()),
		}).Info("session keys reloaded")
	}
	if r.endpointFile != nil {
		r.endpointFile.Propose(ctx, files.endpoints)
	} else {
		r.setDiscoveryAddress(files.discovery)
	}
}
