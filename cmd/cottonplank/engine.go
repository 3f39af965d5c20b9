package main

import (
	"errors"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/config"
	"cottonplank/internal/core"
	"cottonplank/internal/operations/hotrestart"

	"github.com/sirupsen/logrus"
)

// Names of the watchdog's tasks. A service supervisor shows the name of a task that is stuck, and operators' alerts
// match on it.
const (
	engineTask    = "module"
	discoveryTask = "list"
	frontendTask  = "clients' front"
	quicTask      = "quic front"
)

// newEngine creates the engine. During a hot restart it starts with the learned state of the previous process.
func (d *daemon) newEngine() error {
	engine, err := core.New(core.Config{
		Settings:       d.cfg.Settings,
		Known:          d.cfg.KnownEndpoints,
		MaxClients:     d.cfg.MaxClients,
		AwaitFirstList: d.previous != nil,
		ListPushed:     d.cfg.ListPushed,
		StateTimeout:   sessionStateTimeout(d.fronts.Sessions),
		RequestIDs:     d.requestIDs,
		Watchdog:       d.monitor.AddTask(engineTask),
		Learned:        decodeLearned(d.previous, core.DeploymentID(d.cfg.Settings), d.log),
		Log:            func(text string) { d.log.Info(text) },
	})
	d.engine = engine
	return err
}

// sessionStateTimeout returns the timeout for transferring a session's state, or 0 if session resumption is not
// configured.
func sessionStateTimeout(sessions config.Sessions) time.Duration {
	if sessions.KeysFile == "" {
		return 0
	}
	return sessions.StateTimeout
}

// decodeLearned decodes the previous process's learned state of the room servers. It skips malformed lines. It returns
// nil if previous is nil, or if a line belongs to a deployment with other zones or classes.
func decodeLearned(previous *hotrestart.PreviousProcess, deployment string, log *logrus.Logger) []decide.LearnedState {
	if previous == nil {
		return nil
	}
	var states []decide.LearnedState
	for _, line := range previous.Learned {
		state, err := core.DecodeLearned(line, deployment)
		if errors.Is(err, core.ErrOtherDeployment) {
			log.Warn("hot restart: ignoring the previous process's learned state: its settings or its version differ")
			return nil
		}
		if err != nil {
			log.WithError(err).Warn("hot restart: skipping a malformed line of learned state")
			continue
		}
		states = append(states, state)
	}
	return states
}
