package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"cottonplank/internal/config"
	"cottonplank/internal/controlplane"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

func newControlCommand(out io.Writer) *cobra.Command {
	var file string
	command := newCommand(out, "control",
		"Run a control-plane server, which distributes an endpoint list and a discovery address to balancers",
		func(io.Writer) error { return runControlServer(file) })
	command.Flags().StringVar(&file, "file", "", "configuration `file` of the control-plane server (required)")
	command.MarkFlagRequired("file")
	return command
}

// runControlServer runs a control-plane server until SIGTERM or SIGINT. The server is the leader if its configuration
// names a document file, otherwise a follower of other control-plane servers. The leader rereads the document whenever
// its file changes, and at SIGHUP, which also confirms a pending list. A follower ignores SIGHUP.
func runControlServer(file string) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, unregister := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer unregister()
	settings, err := config.LoadControlServer(file)
	if err != nil {
		return err
	}
	keys, err := controlplane.NewKeyring(settings.LoadRing)
	if err != nil {
		return fmt.Errorf("control: %s: %w", file, err)
	}
	log := logrus.New()
	log.SetOutput(os.Stderr)
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return err
	}
	store := controlplane.NewStore(settings.StateFile, settings.Site, log)
	saved := store.Load()
	broadcaster := controlplane.NewBroadcaster(saved, true) // retains changes, which the server sends to followers
	var running sync.WaitGroup
	if settings.DocumentFile != "" {
		leader := controlplane.NewLeader(settings.DocumentFile, settings.Term, broadcaster, store, log)
		running.Go(func() { leader.Run(ctx, hangup) })
	} else {
		startFollower(ctx, &running, settings, keys, store, broadcaster, log)
	}
	running.Go(func() { controlplane.NewServer(broadcaster, keys, settings.Site, log).Serve(ctx, listener) })
	log.WithFields(logrus.Fields{
		"listen":   settings.Listen,
		"region":   settings.Region,
		"document": settings.DocumentFile,
		"version":  saved.Version.String(),
	}).Info("control: serving")
	running.Wait()
	return nil
}

// startFollower starts the goroutines that replicate the document from other control-plane servers and save the
// latest version that they have received.
func startFollower(ctx context.Context, running *sync.WaitGroup, settings config.ControlServer,
	keys *controlplane.Keyring, store *controlplane.Store, broadcaster *controlplane.Broadcaster, log *logrus.Logger) {
	persister := controlplane.NewPersister(store)
	follower := controlplane.NewFollower(broadcaster, settings.Servers, settings.Region, followerSeed(settings.Listen),
		keys, settings.Site, persister.Enqueue, log)
	running.Go(func() { persister.Run(ctx) })
	running.Go(func() { follower.Run(ctx) })
}
