// Package stub implements the core's interfaces for tests of other parts: a discovery source that never delivers an
// endpoint list, and a prober that never completes a probe.
package stub

import (
	"context"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// Discovery is a core.Discovery that ignores every call.
type Discovery struct{}

// SetAddress implements core.Discovery.
func (Discovery) SetAddress(string) {}

// Watch implements core.Discovery.
func (Discovery) Watch(context.Context, uint64) {}

// Fetch implements core.Discovery.
func (Discovery) Fetch(context.Context) {}

// Prober is a core.Prober that ignores every call.
type Prober struct{}

// Probe implements core.Prober.
func (Prober) Probe(context.Context, uint64, core.Upstream) {}

// Remove implements core.Prober.
func (Prober) Remove(decide.ServerID) {}
