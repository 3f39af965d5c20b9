package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"cottonplank/internal/config"
	"cottonplank/internal/controlplane"
	"cottonplank/internal/controlplane/replica"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/httpsource"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

// following is what a balancer that follows control machines starts with.
type following struct {
	cfg   *config.Config
	whom  config.Control
	keys  *controlplane.Keyring
	store *controlplane.Store
	saved replica.State
	log   *logrus.Logger
}

// follows reads the state that was saved, and has cfg start with it; nil where the section is off.
func follows(cfg *config.Config, whom config.Control, log *logrus.Logger) (*following, error) {
	if len(whom.Machines) == 0 {
		return nil, nil
	}
	keys, err := controlplane.NewKeyring(whom.Ring)
	if err != nil {
		return nil, err
	}
	f := &following{cfg: cfg, whom: whom, keys: keys, store: controlplane.NewStore(whom.State, whom.Site, log), log: log}
	f.saved = f.store.Load()
	if d := f.saved.Document; f.saved.Version != (replica.Version{}) {
		if d.Discovery != "" {
			cfg.Discovery = d.Discovery
		}
		if len(d.Rooms) > 0 {
			cfg.Known = controlplane.Endpoints(d)
		}
		log.WithFields(logrus.Fields{"version": f.saved.Version.String(), "rooms": len(d.Rooms), "discovery": d.Discovery}).
			Info("control: starting with the saved version")
	}
	return f, nil
}

func (f *following) source(module *core.Engine) *controlplane.Source {
	inner := func(sink core.UpdateHandler) controlplane.DiscoverySource {
		return httpsource.New(f.cfg.Discovery, f.cfg.Generation, sink, f.log)
	}
	return controlplane.NewSource(controlplane.FollowerConfig{Machines: f.whom.Machines, Region: f.whom.Region, Site: f.whom.Site, Seed: seedOf(f.cfg.Name)},
		f.keys, f.store, f.saved, inner, module.SetDiscoveryAddress, module, f.log)
}

// seedOf spreads followers of different names over the machines.
func seedOf(name string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, name)
	return h.Sum64()
}

func checkFollowing(out io.Writer, c config.Control) error {
	ring, err := c.Ring()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "control: site %q, region %q, key %s, %d machines, state in %s\n", c.Site, c.Region, ring.Sealing(time.Now()),
		len(c.Machines), c.State)
	return err
}

// checkMachine reads all that a control machine starts with.
func checkMachine(out io.Writer, path string) error {
	m, err := config.LoadControlMachine(path)
	if err != nil {
		return err
	}
	if err := checkFollowing(out, m.Control); err != nil {
		return fmt.Errorf("control: %s: %w", path, err)
	}
	if m.File == "" {
		return nil
	}
	d, err := controlplane.ReadDocument(m.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "writes term %d from %s: %d room servers, discovery %q\n", m.Term, m.File, len(d.Rooms), d.Discovery)
	return err
}

func controlCommand(command func(use, short string, do func(io.Writer) error) *cobra.Command) *cobra.Command {
	var file string
	c := command("control", "Run a control machine, which brings an operator's file to the balancers that follow it",
		func(io.Writer) error { return runControl(file) })
	c.Flags().StringVar(&file, "file", "", "its configuration `file` (required)")
	c.MarkFlagRequired("file")
	return c
}

func runControl(file string) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, unregister := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer unregister()
	m, err := config.LoadControlMachine(file)
	if err != nil {
		return err
	}
	keys, err := controlplane.NewKeyring(m.Ring)
	if err != nil {
		return fmt.Errorf("control: %s: %w", file, err)
	}
	log := logrus.New()
	log.SetOutput(os.Stderr)
	listener, err := net.Listen("tcp", m.Listen)
	if err != nil {
		return err
	}
	store := controlplane.NewStore(m.State, m.Site, log)
	saved := store.Load()
	hub := controlplane.NewBroadcaster(saved, true)
	var running sync.WaitGroup
	if m.File != "" {
		writer := controlplane.NewLeader(m.File, m.Term, hub, store, log)
		running.Go(func() { writer.Run(ctx, hangup) })
	} else {
		saver := controlplane.NewPersister(store)
		follower := controlplane.NewFollower(hub, m.Machines, m.Region, seedOf(m.Listen), keys, m.Site, saver.Enqueue, log)
		running.Go(func() { saver.Run(ctx) })
		running.Go(func() { follower.Run(ctx) })
	}
	running.Go(func() { controlplane.NewServer(hub, keys, m.Site, log).Serve(ctx, listener) })
	log.WithFields(logrus.Fields{"listen": m.Listen, "region": m.Region, "writes": m.File, "version": saved.Version.String()}).Info("control: serving")
	running.Wait()
	return nil
}
