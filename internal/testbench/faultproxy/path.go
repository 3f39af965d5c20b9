// Package faultproxy proxies TCP connections and UDP datagrams between the processes of a test on loopback and
// injects faults: delay, limited bandwidth, loss, duplication, reordering and cuts. Each direction can have faults of
// its own.
package faultproxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// reorderDelay is the additional delay of a datagram that is reordered, so that later ones arrive before it.
const reorderDelay = 40 * time.Millisecond

// burstsPerSecond divides the bytes per second of a bandwidth limit to give its burst, the number of bytes that the
// limit allows at once. The burst is at least bufferSize, because rate.Limiter rejects a packet that is larger than the
// burst.
const burstsPerSecond = 10

// Conditions are the faults of one direction of a network path. The zero value injects none.
type Conditions struct {
	// Cut drops all datagrams, and delays the bytes of streams until it ends.
	Cut bool
	// Loss is the probability that a datagram is dropped. On a link's path from the dialing side, it is also the
	// probability that a new connection is closed. Open streams lose nothing.
	Loss float64
	// Duplicate is the probability that a datagram is sent twice. Each copy is delayed on its own.
	Duplicate float64
	// Reorder is the probability that a datagram is delayed by an additional reorderDelay.
	Reorder float64
	// Delay is added to the latency of datagrams and streams.
	Delay time.Duration
	// Jitter is the upper bound of a random delay that is also added to the latency of datagrams.
	Jitter time.Duration
}

// Path holds the conditions and the bandwidth limit of one direction between two hosts, or of both if they share it. It
// is safe for concurrent use.
type Path struct {
	// mu guards all other fields.
	mu         sync.Mutex
	conditions Conditions
	// limit limits the bandwidth of streams; nil if it is unlimited.
	limit *rate.Limiter
	// changed is closed when the conditions change, and is then replaced with a new channel.
	changed chan struct{}
	rng     *rand.Rand
}

// NewPath returns a path without faults. The seed determines its random choices.
func NewPath(seed uint64) *Path {
	return &Path{changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 2))}
}

// Set replaces the conditions. The delays apply to data that arrives afterwards. The start and the end of a cut also
// apply to bytes of streams that arrived earlier and have not been forwarded yet.
func (p *Path) Set(c Conditions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions = c
	close(p.changed)
	p.changed = make(chan struct{})
}

// Limit limits the bandwidth of streams, in bytes per second. 0 removes the limit.
func (p *Path) Limit(bytesPerSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = nil
	if bytesPerSecond > 0 {
		burst := max(bufferSize, int(bytesPerSecond/burstsPerSecond))
		p.limit = rate.NewLimiter(rate.Limit(bytesPerSecond), burst)
	}
}

// current returns the conditions, the bandwidth limit, and a channel that is closed when the conditions change.
func (p *Path) current() (Conditions, *rate.Limiter, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions, p.limit, p.changed
}

// chance returns true with the given probability.
func (p *Path) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64() < probability
}

// randomDelay returns a random delay below the given bound.
func (p *Path) randomDelay(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rng.Int64N(int64(bound)))
}
