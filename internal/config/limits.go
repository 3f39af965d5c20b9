package config

import (
	"fmt"
	"math"
	"runtime"
	"runtime/debug"
)

// Limits of the process that apply if the configuration sets none, and the smallest descriptor limit that it may set.
const (
	defaultCores           = 1
	defaultMemoryMB        = 192
	defaultDescriptorLimit = 1024
	minDescriptorLimit     = 128
)

// goMemoryFraction is the fraction of the memory limit that the Go runtime may use. The rest is for memory that the
// runtime does not count.
const goMemoryFraction = 0.7

// The division of the file descriptors.
const (
	// spareDescriptors are for discovery, listeners, the log and the runtime.
	spareDescriptors = 16

	// The number of connections that are kept open for probes is the descriptor limit divided by probeDivisor, but at
	// least minProbeConns and at most maxProbeConns.
	probeDivisor  = 8
	minProbeConns = 24
	maxProbeConns = 128

	// managementDescriptors are reserved for the management address if the configuration sets one.
	managementDescriptors = 24
	// managementOverhead is the number of managementDescriptors that serve no connection: one for the listener, and one
	// for a new connection, which is accepted before the oldest one is closed.
	managementOverhead = 2

	// The remaining descriptors are Config.ConnDescriptors. Their number divided by dialDivisor is reserved for dials to
	// room servers; no client is accepted with these.
	dialDivisor = 8
	// The number of remaining descriptors divided by rejectDivisor, but at least minRejectDescriptors, is for clients
	// beyond MaxClients, which are rejected at once. Without these descriptors such clients would wait unanswered in the
	// listener's backlog.
	rejectDivisor        = 32
	minRejectDescriptors = 4

	// minConnDescriptors is the minimum for client connections and dials of a process while another one runs beside it,
	// during a hot restart. Where this minimum applies, the two processes together may exceed DescriptorLimit.
	minConnDescriptors = 24
)

// applyLimits validates the limits, sets their defaults and divides the descriptors.
func (c *Config) applyLimits() error {
	if c.Cores < 0 || math.IsNaN(c.Cores) {
		return invalid("limits.cores", c.Cores, reasonBelowZero)
	}
	if c.MemoryMB < 0 || c.DescriptorLimit < 0 {
		reason := fmt.Sprintf("memory_mb %d, sockets %d: expected 0 or more for each", c.MemoryMB, c.DescriptorLimit)
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
		reason := fmt.Sprintf("is out of range: expected at least %d", minDescriptorLimit)
		return invalid("limits.sockets", c.DescriptorLimit, reason)
	}
	c.splitDescriptors(0)
	return nil
}

// splitDescriptors divides the descriptors among the subsystems. Each QUIC flow uses one descriptor.
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

// maxClients returns the maximum number of pending requests and established connections together. Each of them uses two
// descriptors, one for the client and one for the dial. The reserve for dials and the descriptors for rejecting further
// clients are not counted.
func maxClients(descriptors int) int {
	forRejects := max(minRejectDescriptors, descriptors/rejectDivisor)
	return (descriptors - descriptors/dialDivisor - forRejects) / 2
}

// ReserveFlows reserves descriptors for the flows of the QUIC frontend, which reduces those for client connections. The
// flows may use at most half of the descriptors that remain after the spare ones and those for probes.
func (c *Config) ReserveFlows(f Fronts) error {
	if f.QUIC.Listen == "" {
		return nil
	}
	available := (c.DescriptorLimit - spareDescriptors - c.MaxProbeConns) / 2
	if f.QUIC.MaxFlows > available {
		reason := fmt.Sprintf("is out of range: with limits.sockets %d, expected at most %d", c.DescriptorLimit, available)
		return invalid("quic.max_flows", f.QUIC.MaxFlows, reason)
	}
	c.splitDescriptors(f.QUIC.MaxFlows)
	return nil
}

// ProcessLimits are the limits of one process. During a hot restart the previous process and its replacement share the
// limits of the configuration.
type ProcessLimits struct {
	// ReservedDescriptors is the number of Config.ConnDescriptors that are reserved for the other process. It is negative
	// if ConnDescriptors is below minConnDescriptors.
	ReservedDescriptors int
	MaxClients          int
	MemoryBytes         int64 // memory limit of the Go runtime
}

// ProcessLimits returns the limits of a process that runs alone or, if shared is set, beside another process with the
// same configuration.
func (c *Config) ProcessLimits(shared bool) ProcessLimits {
	limits := ProcessLimits{
		MaxClients:  c.MaxClients,
		MemoryBytes: int64(float64(c.MemoryMB) * goMemoryFraction * (1 << 20)),
	}
	if !shared {
		return limits
	}
	// Each of the two processes may hold half of DescriptorLimit. The descriptors outside ConnDescriptors (spare, probes,
	// management, QUIC flows) are not halved, so client connections and dials get less than half of ConnDescriptors.
	own := max(c.ConnDescriptors-c.DescriptorLimit/2, minConnDescriptors)
	limits.ReservedDescriptors = c.ConnDescriptors - own
	limits.MaxClients = maxClients(own)
	limits.MemoryBytes /= 2
	return limits
}

// ApplyCores sets GOMAXPROCS of the Go runtime to Cores, rounded up.
func (c *Config) ApplyCores() { runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores)))) }

// ApplyMemory sets the memory limit of the Go runtime to MemoryBytes.
func (l ProcessLimits) ApplyMemory() { debug.SetMemoryLimit(l.MemoryBytes) }
