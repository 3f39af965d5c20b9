package core

import "time"

const (
	// departedRetention is how long the address of a server is kept after its removal from the endpoint list. The
	// server's process may run for that long, and the state of its sessions can be fetched from it until it ends.
	departedRetention = 30 * time.Second
	// maxDeparted limits the number of removed servers that are kept.
	maxDeparted = 256
)

// departedUpstream is a server that was removed from the endpoint list recently; see rememberDeparted.
type departedUpstream struct {
	Upstream
	// timer deletes the server from the table.
	timer *timer
}

// rememberDeparted keeps the address of a removed server for departedRetention. While the server still has connections,
// each further snapshot without it starts that time again. rememberDeparted does nothing if sessions cannot be resumed,
// as the address is not needed then, or if maxDeparted servers are kept already.
//
// Known fault: if the server is listed again and removed a second time, the timer of the first removal still runs and
// deletes the address too early.
func (e *Engine) rememberDeparted(s Upstream) {
	departed := e.upstreams.departed
	if e.cfg.StateTimeout == 0 || len(departed) >= maxDeparted {
		return
	}
	if previous, ok := departed[s.Name]; ok {
		e.timers.stop(previous.timer)
	}
	forget := e.timers.set(e.now+departedRetention, func() { delete(departed, s.Name) })
	departed[s.Name] = departedUpstream{Upstream: s, timer: forget}
}
