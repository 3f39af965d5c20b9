// Package faultproxy carries loopback connections and datagrams between the lab's processes, and disturbs them: it delays, loses,
// duplicates, reorders, holds back or breaks what crosses it, each direction by itself.
package faultproxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Conditions disturb one direction between two places. The zero value disturbs nothing.
type Conditions struct {
	Cut       bool          // datagrams are lost, bytes of streams are held back until it ends
	Loss      float64       // part of the datagrams that are lost, and of the streams that are refused; streams lose no bytes
	Duplicate float64       // part of the datagrams that come twice
	Reorder   float64       // part of the datagrams that come reorderLag later
	Delay     time.Duration // of all
	Jitter    time.Duration // of datagrams: up to this beside the delay
}

// reorderDelay lets others pass a datagram that is reordered.
const reorderDelay = 40 * time.Millisecond

// Path is one direction between two places.
type Path struct {
	mu         sync.Mutex
	conditions Conditions
	limit      *rate.Limiter // nil: as fast as it goes
	changed    chan struct{} // closed with each change
	rng        *rand.Rand
}

// NewPath returns an undisturbed one whose losses are drawn from the seed.
func NewPath(seed uint64) *Path {
	return &Path{changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 2))}
}

// Set changes the conditions for what comes from now on, and for the bytes of streams that are held back.
func (p *Path) Set(c Conditions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions = c
	close(p.changed)
	p.changed = make(chan struct{})
}

// Limit bounds the bytes a second of streams; 0 ends that.
func (p *Path) Limit(bytes float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = nil
	if bytes > 0 {
		p.limit = rate.NewLimiter(rate.Limit(bytes), max(bufferSize, int(bytes/10)))
	}
}

// state gives the conditions, and a channel that is closed when they change.
func (p *Path) state() (Conditions, *rate.Limiter, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions, p.limit, p.changed
}

// chance tells whether something happens that does so with this probability.
func (p *Path) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64() < probability
}

// randomDelay is a random part of a span.
func (p *Path) randomDelay(span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rng.Int64N(int64(span)))
}
