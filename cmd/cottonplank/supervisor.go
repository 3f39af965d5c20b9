package main

import (
	"context"
	"fmt"
	"os"

	"cottonplank/internal/core"
	"cottonplank/internal/operations/sdnotify"
)

// notifyReady notifies the service supervisor as soon as this process serves for the first time. If it replaces
// another process, it first declares itself the service's main process, because the previous process is about to be
// stopped.
func notifyReady(ctx context.Context, engine *core.Engine, notifier *sdnotify.Notifier, replacesAnother bool) {
	select {
	case <-ctx.Done():
	case <-engine.Ready():
		if replacesAnother {
			notifier.SetMainPID(os.Getpid())
		}
		notifier.Ready()
	}
}

// statusLine returns the status text that a service supervisor shows for this process.
func statusLine(s *core.Snapshot) string {
	return fmt.Sprintf("%s: %d connections stand, %d requests wait, %d room servers listed, %d of them left out",
		s.Service, s.Established, s.Waiting, s.Listed, s.Ejected)
}
