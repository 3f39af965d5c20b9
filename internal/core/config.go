package core

import (
	"time"

	"cottonplank/decide"
)

// Config configures an Engine.
type Config struct {
	// Settings configure the decision module.
	Settings decide.Settings
	// Known are the endpoints that this balancer knew before its start.
	Known []Endpoint
	// MaxClients bounds the pending requests and established connections together, as each holds a transport
	// on both sides. A request beyond it is rejected at once.
	MaxClients int
	// AwaitFirstList is set in a process that takes over from a running one: it stays in state Starting until
	// discovery has delivered a list, for 3 s at most.
	AwaitFirstList bool
	// ListPushed is set where a change of the endpoint list is binding as soon as discovery has it. The
	// engine then stays in state Starting until the first list is there, for 3 s at most, and reopens a
	// broken watch after a short fixed delay.
	ListPushed bool
	// Learned is what the previous process has learned about the servers.
	Learned []decide.LearnedState
	// StateTimeout is how long the transfer of a session's state may take; 0 disables resuming sessions.
	StateTimeout time.Duration
	// Watchdog observes the iterations of the event loop; nil disables it.
	Watchdog Watchdog
	// Log receives lines for operators.
	Log func(text string)
}
