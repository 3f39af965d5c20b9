package decide

import (
	"math"
	"time"
)

// Time constants of the estimates.
const (
	attemptDecayTime    = 10 * time.Second // for the counts of failed and established attempts
	demandDecayTime     = 2 * time.Second  // for the counts of arriving requests
	lifetimeDecayTime   = 10 * time.Minute // for the sums from which the mean lifetime is computed
	establishRateWindow = 20 * time.Second // for the rate of established connections
	capacityWindow      = 60 * time.Second // for the capacity of a warm server
)

const (
	// defaultLifetime is the assumed mean lifetime of connections until some have ended.
	defaultLifetime = 30 * time.Second
	// classLoadWeight is the weight of one observation in the average load of a class.
	classLoadWeight = 0.02
	// initialMeanLoad is the assumed mean load of the zone before the first load report.
	initialMeanLoad = 0.5
	// meanLoadSamples is the number of load reports over which the mean load is averaged.
	meanLoadSamples = maxAnswers
	// maxMeanLoadSample limits the load of each report in the mean, so that a single overloaded server does not
	// dominate the mean.
	maxMeanLoadSample = 1.5
	// minMeanLoadReports is the number of load reports after which the mean load depends little on initialMeanLoad.
	minMeanLoadReports = 2 * meanLoadSamples
	// minCapacityLoad is the minimum mean load by which a rate of connections is divided to estimate the rate at full
	// load. If the mean load is lower, the rate is divided by minCapacityLoad.
	minCapacityLoad = 0.5
)

// decayingCounter counts events. The count decays exponentially with the time constant demandDecayTime.
type decayingCounter struct {
	count     float64       // at updatedAt
	updatedAt time.Duration // time at which an event was last counted
}

func (c *decayingCounter) value(now time.Duration) float64 {
	return c.count * math.Exp(-(now-c.updatedAt).Seconds()/demandDecayTime.Seconds())
}

func (c *decayingCounter) add(now time.Duration) {
	c.count, c.updatedAt = c.value(now)+1, now
}

// zoneLoad estimates the mean load of the servers of the local list.
type zoneLoad struct {
	mean        float64
	reports     int           // number of load reports in the mean
	lastSpillAt time.Duration // when the zone last lacked capacity; 0: never
}

func (z *zoneLoad) add(load float64) {
	z.reports++
	z.mean += (min(load, maxMeanLoadSample) - z.mean) / meanLoadSamples
}

// establishRate estimates how many connections this balancer establishes per second.
type establishRate struct {
	perSecond float64
	span      float64 // seconds over which the rate is averaged
	sinceTick float64 // connections established since the last tick
}

// update adds one tick to the average, which covers the time since the start, but at most establishRateWindow.
func (e *establishRate) update() {
	step := tickInterval.Seconds()
	e.span = min(e.span+step, establishRateWindow.Seconds())
	e.perSecond += (e.sinceTick/step - e.perSecond) * step / e.span
	e.sinceTick = 0
}

// demandEstimate counts recent requests. The counts decay with the time constant demandDecayTime.
type demandEstimate struct {
	recent float64 // arrived requests, plus broken or migrated connections, whose clients will reconnect
	resets float64 // the broken or migrated connections among them
}

func (d *demandEstimate) decay() {
	d.recent *= 1 - tickInterval.Seconds()/demandDecayTime.Seconds()
	d.resets *= 1 - tickInterval.Seconds()/demandDecayTime.Seconds()
}

// recordReset counts a connection that broke or was migrated, and whose client will reconnect.
func (d *demandEstimate) recordReset() {
	d.recent++
	d.resets++
}

// lifetimeEstimate estimates how long connections last. Its sums decay with the time constant lifetimeDecayTime.
type lifetimeEstimate struct {
	connectionSeconds float64 // total time that connections have lasted, in seconds
	ended             float64 // connections that ended without breaking or being migrated
}

// update adds one tick for each request. Nearly all requests have an established connection.
func (l *lifetimeEstimate) update(requests int) {
	decay := 1 - tickInterval.Seconds()/lifetimeDecayTime.Seconds()
	l.connectionSeconds = l.connectionSeconds*decay + float64(requests)*tickInterval.Seconds()
	l.ended *= decay
}

// meanSeconds returns the mean lifetime of connections in seconds. Until a connection has ended, this is
// defaultLifetime. After that, defaultLifetime still counts as the lifetime of one connection.
func (l *lifetimeEstimate) meanSeconds() float64 {
	if l.ended == 0 {
		return defaultLifetime.Seconds()
	}
	return (defaultLifetime.Seconds() + l.connectionSeconds) / (1 + l.ended)
}

// capacityEstimate estimates this balancer's share of the connections per second that a warm server accepts at
// full load.
type capacityEstimate struct {
	perSecond float64
	span      float64 // seconds over which the estimate is averaged
}

// classLoads are the average loads of connections, in seconds of work per second; 0 means unknown.
type classLoads struct {
	classes []float64 // average for each class, by its index in Settings.Classes
	all     float64   // average for all connections
}

func (c *classLoads) add(class int, load float64) {
	c.classes[class] = averageLoad(c.classes[class], load)
	c.all = averageLoad(c.all, load)
}

// averageLoad adds an observation to an exponential moving average, which starts with the first observation.
func averageLoad(average, load float64) float64 {
	if average == 0 {
		average = load
	}
	return average + (load-average)*classLoadWeight
}

// loadChanged updates the load of a connection and the average load of its class.
func (b *Balancer) loadChanged(event LoadChanged) {
	r := b.requests.byID[event.ID]
	if r == nil || event.Load <= 0 {
		return
	}
	r.Load = event.Load
	b.classLoads.add(r.Class, event.Load)
}

// updateEstimates updates the estimates at each tick.
func (b *Balancer) updateEstimates() {
	b.establishRate.update()
	b.throttle.decay()
	b.demand.decay()
	b.lifetime.update(len(b.requests.byID))
	b.updateCapacity()
}

// updateCapacity estimates this balancer's share of the connections per second that a warm server accepts. It divides
// the balancer's own rate of established connections, scaled up to all zones, by the number of servers and by their
// mean load. All balancers are assumed to have the same rate. Servers that were removed recently are included, as the
// clients of a removed server reconnect to other servers; warming servers are not. While less than half of these
// servers are ready, the estimate does not change. It changes slowly, as the rate of a burst of reconnecting clients
// does not show how many connections a server can accept.
func (b *Balancer) updateCapacity() {
	warming := b.warmingCount()
	warm, fleet := len(b.ready)-warming, len(b.servers)-warming
	if 2*warm < fleet || warm <= 0 {
		return
	}
	zones := float64(max(len(b.settings.Zones), 1))
	current := b.establishRate.perSecond * zones / (float64(fleet) * max(b.zoneLoad.mean, minCapacityLoad))
	b.capacity.span = min(b.capacity.span+tickInterval.Seconds(), capacityWindow.Seconds())
	b.capacity.perSecond += (current - b.capacity.perSecond) * tickInterval.Seconds() / b.capacity.span
}
