package core

import (
	"time"

	"cottonplank/decide"
)

// Config configures an Engine.
type Config struct {
	// Settings configure the decision module.
	Settings decide.Settings
	// Known is the endpoint list that the process is started with. It may be out of date.
	Known []Endpoint
	// MaxClients limits the sum of pending requests and established connections, because each of them holds a
	// transport to the client and one to the server. A request beyond the limit is rejected immediately. Requests of
	// RestoreConnection count, but are not rejected.
	MaxClients int
	// AwaitFirstList is set in a process that replaces a running one. The engine then stays in state Starting until
	// discovery has delivered a list or SkipListWait is called, for 3 s at most.
	AwaitFirstList bool
	// ListPushed is set if discovery pushes its lists. By the operators' rules, this balancer then counts as notified of
	// a change when discovery has the change, not when the balancer receives it. For example, a server's drain grace
	// starts at that time. The engine therefore stays in state Starting as with AwaitFirstList, and reopens a broken
	// watch after a short fixed delay.
	ListPushed bool
	// Learned is the learned state that the previous process has exported.
	Learned []decide.LearnedState
	// StateTimeout is how long the transfer of a session's state may take; 0 disables resuming sessions.
	StateTimeout time.Duration
	// RequestIDs keeps the claimed values of Request.ID; nil if no other process claims any.
	RequestIDs RequestIDs
	// Watchdog observes the iterations of the event loop; nil if they are not observed.
	Watchdog Watchdog
	// Log writes a line to the operators' log.
	Log func(text string)
}
