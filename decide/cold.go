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

// decayingCounter counts events; each is forgotten over needTime.
type decayingCounter struct {
	count     float64
	updatedAt time.Duration // of the latest event
}

func (c *decayingCounter) value(now time.Duration) float64 {
	return c.count * math.Exp(-(now-c.updatedAt).Seconds()/demandDecayTime.Seconds())
}

func (c *decayingCounter) add(now time.Duration) {
	c.count, c.updatedAt = c.value(now)+1, now
}

// lifetimeDecayTime is the memory of how long connections stand.
const lifetimeDecayTime = 10 * time.Minute

// meanLifetime is how long a connection stands in the mean, in seconds: what all have stood over how many left by themselves, and
// the usual one until some have.
func (b *Balancer) meanLifetime() float64 {
	if b.closedByClient == 0 {
		return defaultLifetime.Seconds()
	}
	return (defaultLifetime.Seconds() + b.connectionSeconds) / (1 + b.closedByClient)
}

// updateLifetime counts a tick, in which nearly all requests stand.
func (b *Balancer) updateLifetime() {
	fade := 1 - tick.Seconds()/lifetimeDecayTime.Seconds()
	b.connectionSeconds, b.closedByClient = b.connectionSeconds*fade+float64(len(b.requests))*tick.Seconds(), b.closedByClient*fade
}

// serverCapacity is this balancer's part of what a warm server can take, in connections a second. By what stands, where that is
// less than what its rate of late tells. Guards against a fleet whose clients all came within seconds, as after an outage.
func (b *Balancer) serverCapacity() float64 {
	own, warm := 0, len(b.local)-len(b.localZone.warming)
	for _, s := range b.localZone.connected {
		if !b.warming(s) {
			own += len(s.connections)
		}
	}
	if warm == 0 {
		return b.capacity
	}
	return min(b.capacity, float64(own)/(b.meanLifetime()*float64(warm)*max(b.meanLoad, 0.5)))
}

// expectedDemand is how many of this balancer's requests come for a cold server within a span. They are taken as spread over the
// zone; where that is short of room, those without a group all come for the cold ones.
func (b *Balancer) expectedDemand(r *request, span time.Duration) float64 {
	spread := len(b.local)
	if !b.hasGroup(r) && b.spillingOver() {
		spread = len(b.localZone.warming)
	}
	return b.recentDemand / demandDecayTime.Seconds() * span.Seconds() / float64(max(spread, 1))
}

// recordGroupDemand counts a request of a group in the demand for a cold server at home to it, once.
func (b *Balancer) recordGroupDemand(r *request, s *server) {
	if b.hasGroup(r) && r.demandCountedFor != s {
		r.demandCountedFor = s
		s.groupDemand.add(b.now)
	}
}

// expectedDemandFor is how many of this balancer's requests come for the cold server s within a span, at least the mean of the
// zone's servers. That mean is the prior, and what came for s corrects it. When connections break, their groups all
// come for the same next servers, of which the mean says nothing: the larger the part of them in what comes, the more
// counts what came for s alone.
func (b *Balancer) expectedDemandFor(r *request, s *server, span time.Duration) float64 {
	mean := b.expectedDemand(r, span)
	if !b.hasGroup(r) || mean == 0 {
		return mean
	}
	window := demandDecayTime.Seconds() / span.Seconds() // in spans
	came := s.groupDemand.value(b.now)
	usual := (priorDemand + came) / (priorDemand/mean + window)
	storm := min(1, 2*b.recentResets/b.recentDemand) // a broken connection counts twice in need: when it breaks, and when it comes again
	return max(mean, storm*came/window+(1-storm)*usual)
}

// estimatedZoneBalancers is how many balancers share the zone: as the membership counts them at least, else as told, within what its
// servers hold over what this one does, give or take what that is by chance. Guards against a fleet that has grown, or
// shrunk, since it was told its size.
func (b *Balancer) estimatedZoneBalancers() float64 {
	held, own, told := b.localZone.reportedConnections(), 0.0, b.localZone.connectionReports
	for _, s := range b.localZone.connected {
		own += float64(len(s.connections))
	}
	if told == 0 {
		return b.zoneBalancers()
	}
	held *= float64(len(b.local)) / float64(told)
	chance, most := math.Sqrt(own), b.zoneBalancers()
	if own > chance && !b.fleet.fromMembership {
		most = min(most, held/(own-chance))
	}
	return max(most, held/(own+chance+1), 1)
}
