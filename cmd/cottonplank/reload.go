package main

import (
	"context"
	"fmt"
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

// reloader takes over what SIGHUP may change: discovery's address, the keys of tokens and of the membership, the list
// of room servers. One reload is of all of them or of none: where one file is faulty, all that was in force stays.
type reloader struct {
	fronts     config.Fronts
	cluster    *gossip.Cluster // nil: this instance is no member
	rediscover func(address string)
	resuming   *platform.SessionResumer // nil: sessions are not resumed
	rooms      *filesource.Source       // nil: the list is discovery's
	generation func(uint64)             // tells how many have been taken over, the start as the first
	supervisor *sdnotify.Notifier
	log        *logrus.Logger
}

// run reloads at each signal, one after the other, until ctx ends.
func (r *reloader) run(ctx context.Context, hangup <-chan os.Signal) {
	generation := uint64(1)
	r.generation(generation)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		r.supervisor.Reloading(sdnotify.MonotonicNow())
		if err := r.reload(ctx); err != nil {
			r.log.WithError(err).Error("configuration is faulty, the one in force stays")
		} else {
			generation++
			r.generation(generation)
			r.log.WithField("generation", generation).Info("configuration read again")
		}
		r.supervisor.Ready()
	}
}

// reload reads all files before it takes any over.
func (r *reloader) reload(ctx context.Context) error {
	cfg, err := config.Reload()
	if err != nil {
		return err
	}
	var ring *token.Ring
	if r.resuming != nil {
		if ring, err = r.fronts.Resume.Ring(); err != nil {
			return err
		}
	}
	var rooms endpoint.List
	if r.rooms != nil {
		if rooms, err = filesource.Read(r.fronts.Rooms); err != nil {
			return err
		}
	}
	var members *token.Ring
	if r.cluster != nil {
		if members, err = r.fronts.Membership.Ring(); err != nil {
			return fmt.Errorf("membership.%w", err)
		}
	}
	if members != nil {
		r.cluster.SetKeys(members)
	}
	if ring != nil {
		r.resuming.SetKeys(ring)
		r.log.WithFields(logrus.Fields{"seals": ring.Sealing(time.Now()), "keys": len(ring.Keys())}).Info("keys taken over")
	}
	if r.rooms != nil {
		r.rooms.Propose(ctx, rooms)
	} else {
		r.rediscover(cfg.Discovery)
	}
	return nil
}
