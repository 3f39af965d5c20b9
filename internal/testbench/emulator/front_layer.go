package emulator

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// FrontLayer distributes clients over the balancers at random, as the platform's front layer does. It is safe for
// concurrent use.
type FrontLayer struct {
	// mu guards the other fields.
	mu        sync.Mutex
	rng       *rand.Rand
	balancers []balancerAddress
}

// balancerAddress is the name of a balancer and the address at which it accepts clients.
type balancerAddress struct {
	name    string
	address string
}

// NewFrontLayer returns a front layer without balancers; the seed determines its random choices.
func NewFrontLayer(seed uint64) *FrontLayer {
	return &FrontLayer{rng: rand.New(rand.NewPCG(seed, 1))}
}

// Add adds a balancer.
func (f *FrontLayer) Add(name, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append(f.balancers, balancerAddress{name, address})
}

// Remove removes the first balancer of the given name, if there is one.
func (f *FrontLayer) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.balancers, func(b balancerAddress) bool { return b.name == name })
	if i >= 0 {
		f.balancers = slices.Delete(f.balancers, i, i+1)
	}
}

// pick returns a random balancer. It avoids the excluded one if there are others. Without balancers it returns empty
// strings.
func (f *FrontLayer) pick(exclude string) (name, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.balancers) == 0 {
		return "", ""
	}
	i := f.rng.IntN(len(f.balancers))
	if f.balancers[i].name == exclude {
		i = (i + 1) % len(f.balancers)
	}
	return f.balancers[i].name, f.balancers[i].address
}
