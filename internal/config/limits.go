package config

import (
	"fmt"
	"math"
	"runtime"
	"runtime/debug"
)

// Limits of the process where the configuration sets none.
const (
	defaultCores           = 1
	defaultMemoryMB        = 192
	defaultDescriptorLimit = 1024
	minDescriptorLimit     = 128
)

// goMemoryFraction is the part of the memory limit that the Go runtime gets; the rest is memory that it does not count.
const goMemoryFraction = 0.7

// The division of the file descriptors.
const (
	// spareDescriptors are for discovery, listeners, the log and the runtime.
	spareDescriptors = 16

	// Connections that are kept for probes: one descriptor in probeDivisor, within these bounds.
	probeDivisor  = 8
	minProbeConns = 24
	maxProbeConns = 128

	// managementDescriptors are reserved for the management address, if there is one.
	managementDescriptors = 24
	// managementOverhead counts its listener, and the connection that is accepted before an older one is closed.
	managementOverhead = 2

	// dialDivisor: of the remaining descriptors one in so many is reserved for dials; no client is accepted with it.
	dialDivisor = 8
	// rejectDivisor: one in so many, and minRejectDescriptors at least, is for clients that are answered at once and not
	// placed. Without it clients past the limit would lie unanswered in the listener's backlog.
	rejectDivisor        = 32
	minRejectDescriptors = 4

	// minConnDescriptors are left to a process for client connections and dials while another one runs beside it.
	minConnDescriptors = 24
)

// applyLimits validates the limits, sets their defaults and divides the descriptors.
func (c *Config) applyLimits() error {
	if c.Cores < 0 || math.IsNaN(c.Cores) {
		return invalid("limits.cores", c.Cores, reasonBelowZero)
	}
	if c.MemoryMB < 0 || c.DescriptorLimit < 0 {
		reason := fmt.Sprintf("memory_mb %d or sockets %d is below 0", c.MemoryMB, c.DescriptorLimit)
		return &FieldError{Key: "limits", Reason: reason}
	}
	if c.Cores == 0 {
		c.Cores = defaultCores
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.DescriptorLimit == 0 {
		c.DescriptorLimit = defaultDescriptorLimit
	}
	if c.DescriptorLimit < minDescriptorLimit {
		reason := fmt.Sprintf("is too few, %d at least", minDescriptorLimit)
		return invalid("limits.sockets", c.DescriptorLimit, reason)
	}
	c.splitDescriptors(0)
	return nil
}

// splitDescriptors divides the descriptors among the subsystems; each QUIC flow takes one.
func (c *Config) splitDescriptors(quicFlows int) {
	c.MaxProbeConns = min(max(minProbeConns, c.DescriptorLimit/probeDivisor), maxProbeConns)
	c.ConnDescriptors = c.DescriptorLimit - spareDescriptors - c.MaxProbeConns - quicFlows
	if c.Management != "" {
		c.MaxManagementConns = managementDescriptors - managementOverhead
		c.ConnDescriptors -= managementDescriptors
	}
	c.DialReserve = c.ConnDescriptors / dialDivisor
	c.MaxClients = maxClients(c.ConnDescriptors)
}

// maxClients returns how many clients may wait or be established, each with a dial, so that descriptors are left to
// reject those beyond that number.
func maxClients(descriptors int) int {
	forRejects := max(minRejectDescriptors, descriptors/rejectDivisor)
	return (descriptors - descriptors/dialDivisor - forRejects) / 2
}

// ReserveFlows takes the descriptors of the QUIC frontend's flows out of those for client connections.
func (c *Config) ReserveFlows(f Fronts) error {
	if f.QUIC.Listen == "" {
		return nil
	}
	available := (c.DescriptorLimit - spareDescriptors - c.MaxProbeConns) / 2
	if f.QUIC.MaxFlows > available {
		reason := fmt.Sprintf("is more than half of what limits.sockets %d leaves, %d", c.DescriptorLimit, available)
		return invalid("quic.max_flows", f.QUIC.MaxFlows, reason)
	}
	c.splitDescriptors(f.QUIC.MaxFlows)
	return nil
}

// ProcessLimits are the limits of one process, which may have to share them with another during a hot restart.
type ProcessLimits struct {
	ReservedDescriptors int // part of Config.ConnDescriptors that is left to the other process
	MaxClients          int
	MemoryBytes         int64 // for the Go runtime
}

// ProcessLimits returns the limits of a process that runs alone, or beside another one with the same configuration.
func (c *Config) ProcessLimits(shared bool) ProcessLimits {
	limits := ProcessLimits{
		MaxClients:  c.MaxClients,
		MemoryBytes: int64(float64(c.MemoryMB) * goMemoryFraction * (1 << 20)),
	}
	if !shared {
		return limits
	}
	// Each process has spare descriptors of its own, so that less than half of the others is left to either.
	own := max(c.ConnDescriptors-c.DescriptorLimit/2, minConnDescriptors)
	limits.ReservedDescriptors = c.ConnDescriptors - own
	limits.MaxClients = maxClients(own)
	limits.MemoryBytes /= 2
	return limits
}

// ApplyCores limits the processor cores of the Go runtime.
func (c *Config) ApplyCores() { runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores)))) }

// ApplyMemory limits the memory of the Go runtime.
func (l ProcessLimits) ApplyMemory() { debug.SetMemoryLimit(l.MemoryBytes) }
