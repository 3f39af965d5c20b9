package decide

// What slow start goes by: estimates of what a cold server can take and of what comes for it. The part that a balancer
// sends is decided in warmEnough.

import (
	"math"
	"time"
)

// priorDemand is how many requests the zone's mean counts as, where it estimates what comes for one cold server. A smaller one
// leaves the cold servers of a quiet fleet idle, since each module sees few requests and remembers that one of them came.
const priorDemand = 5

// fadingCount counts events; each is forgotten over needTime.
type fadingCount struct {
	count float64
	at    time.Duration // of the latest event
}

func (c *fadingCount) value(now time.Duration) float64 {
	return c.count * math.Exp(-(now-c.at).Seconds()/needTime.Seconds())
}

func (c *fadingCount) add(now time.Duration) {
	c.count, c.at = c.value(now)+1, now
}

// lifeTime is the memory of how long connections stand.
const lifeTime = 10 * time.Minute

// life is how long a connection stands in the mean, in seconds: what all have stood over how many left by themselves, and
// the usual one until some have.
func (b *Balancer) life() float64 {
	if b.left == 0 {
		return usualLife.Seconds()
	}
	return (usualLife.Seconds() + b.lived) / (1 + b.left)
}

// learnLife counts a tick, in which nearly all requests stand.
func (b *Balancer) learnLife() {
	fade := 1 - tick.Seconds()/lifeTime.Seconds()
	b.lived, b.left = b.lived*fade+float64(len(b.requests))*tick.Seconds(), b.left*fade
}

// takes is this balancer's part of what a warm server can take, in connections a second. By what stands, where that is
// less than what its rate of late tells. Guards against a fleet whose clients all came within seconds, as after an outage.
func (b *Balancer) takes() float64 {
	own, warm := 0, len(b.local)-len(b.near.cold)
	for _, s := range b.near.held {
		if !b.cold(s) {
			own += len(s.conns)
		}
	}
	if warm == 0 {
		return b.capacity
	}
	return min(b.capacity, float64(own)/(b.life()*float64(warm)*max(b.mean, 0.5)))
}

// comes is how many of this balancer's requests come for a cold server within a span. They are taken as spread over the
// zone; where that is short of room, those without a group all come for the cold ones.
func (b *Balancer) comes(r *request, span time.Duration) float64 {
	spread := len(b.local)
	if !b.grouped(r) && b.spilling() {
		spread = len(b.near.cold)
	}
	return b.need / needTime.Seconds() * span.Seconds() / float64(max(spread, 1))
}

// countDemand counts a request of a group in the demand for a cold server at home to it, once.
func (b *Balancer) countDemand(r *request, s *server) {
	if b.grouped(r) && r.cameFor != s {
		r.cameFor = s
		s.demand.add(b.now)
	}
}

// comesFor is how many of this balancer's requests come for the cold server s within a span, at least the mean of the
// zone's servers. That mean is the prior, and what came for s corrects it. When connections break, their groups all
// come for the same next servers, of which the mean says nothing: the larger the part of them in what comes, the more
// counts what came for s alone.
func (b *Balancer) comesFor(r *request, s *server, span time.Duration) float64 {
	mean := b.comes(r, span)
	if !b.grouped(r) || mean == 0 {
		return mean
	}
	window := needTime.Seconds() / span.Seconds() // in spans
	came := s.demand.value(b.now)
	usual := (priorDemand + came) / (priorDemand/mean + window)
	storm := min(1, 2*b.broken/b.need) // a broken connection counts twice in need: when it breaks, and when it comes again
	return max(mean, storm*came/window+(1-storm)*usual)
}

// sharers is how many balancers share the zone: as the membership counts them at least, else as told, within what its
// servers hold over what this one does, give or take what that is by chance. Guards against a fleet that has grown, or
// shrunk, since it was told its size.
func (b *Balancer) sharers() float64 {
	held, own, told := b.near.heldInAll(), 0.0, b.near.told
	for _, s := range b.near.held {
		own += float64(len(s.conns))
	}
	if told == 0 {
		return b.peers()
	}
	held *= float64(len(b.local)) / float64(told)
	chance, most := math.Sqrt(own), b.peers()
	if own > chance && !b.fleet.counted {
		most = min(most, held/(own-chance))
	}
	return max(most, held/(own+chance+1), 1)
}
