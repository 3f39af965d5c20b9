package controlplane

import (
	"sync"

	"cottonplank/internal/core"
)

// detachableHandler forwards updates from the discovery service to another handler until it is detached.
type detachableHandler struct {
	handler core.UpdateHandler

	// mu guards detached. It is also held during each call of handler, so that no call is in progress when detach
	// returns.
	mu       sync.Mutex
	detached bool
}

// EndpointsUpdated implements core.UpdateHandler.
func (h *detachableHandler) EndpointsUpdated(update core.EndpointUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.detached {
		h.handler.EndpointsUpdated(update)
	}
}

// WatchAlive implements core.UpdateHandler.
func (h *detachableHandler) WatchAlive(watch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.detached {
		h.handler.WatchAlive(watch)
	}
}

// detach makes the handler drop all later updates and reports of live watches. It waits for a call in progress.
func (h *detachableHandler) detach() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.detached = true
}
