package core

import "time"

const (
	// departedRetention is how long the address of a removed server stays known: its process may need as long
	// to end, and hands its sessions over until then.
	departedRetention = 30 * time.Second
	// maxDeparted bounds the number of such servers.
	maxDeparted = 256
)

// departedUpstream is a server that has left the endpoint list.
type departedUpstream struct {
	Upstream
	// timer forgets the server.
	timer *timer
}

// rememberDeparted keeps the address of a removed server for departedRetention, if sessions can be resumed.
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
