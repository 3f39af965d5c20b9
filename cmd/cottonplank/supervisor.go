package main

import (
	"context"
	"fmt"
	"os"

	"cottonplank/internal/core"
	"cottonplank/internal/operations/sdnotify"
)

// notifyReady tells the service supervisor when this process serves. A process that replaces another one is the
// service's main process from then on: the other is about to be stopped.
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

// statusLine is the text that a service supervisor shows for this process.
func statusLine(s *core.Snapshot) string {
	return fmt.Sprintf("%s: %d connections stand, %d requests wait, %d room servers listed, %d of them left out",
		s.Service, s.Established, s.Waiting, s.Listed, s.Ejected)
}
