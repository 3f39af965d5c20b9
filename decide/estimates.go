package decide

import (
	"math"
	"time"
)

// Time constants of the estimates.
const (
	attemptDecayTime    = 10 * time.Second // of the counts of failed and established attempts
	demandDecayTime     = 2 * time.Second  // of the count of arriving requests
	lifetimeDecayTime   = 10 * time.Minute // of the connection time that the mean lifetime rests on
	establishRateWindow = 20 * time.Second // of the rate of established connections
	capacityWindow      = 60 * time.Second // of the estimated capacity of a server
)

const (
	// defaultLifetime is the assumed mean lifetime of connections until some have ended.
	defaultLifetime = 30 * time.Second
	// classLoadWeight is the weight of one observation in the average load of a class.
	classLoadWeight = 0.02
	// initialMeanLoad is the assumed mean load of the zone before any report.
	initialMeanLoad = 0.5
	// meanLoadSamples is the number of reports over which the mean load is averaged.
	meanLoadSamples = maxAnswers
	// maxMeanLoadSample bounds the weight of one overloaded server in the mean load.
	maxMeanLoadSample = 1.5
	// minMeanLoadReports is the number of reports after which the mean load says more than its initial value.
	minMeanLoadReports = 2 * meanLoadSamples
	// minCapacityLoad bounds the load by which an observed rate is scaled up to a full server's.
	minCapacityLoad = 0.5
)

// decayingCounter counts events; the count decays exponentially with the time constant demandDecayTime.
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

// zoneLoad estimates the mean load of the servers of the local list.
type zoneLoad struct {
	mean        float64
	reports     int           // reports that it rests on
	lastSpillAt time.Duration // when the zone last lacked capacity; 0: never
}

func (z *zoneLoad) add(load float64) {
	z.reports++
	z.mean += (min(load, maxMeanLoadSample) - z.mean) / meanLoadSamples
}

// establishRate estimates how many connections this balancer establishes per second.
type establishRate struct {
	perSecond float64
	span      float64 // seconds over which it is averaged
	sinceTick float64 // connections established since the last tick
}

// update averages over the time since the start at first, and over establishRateWindow later.
func (e *establishRate) update() {
	step := tickInterval.Seconds()
	e.span = min(e.span+step, establishRateWindow.Seconds())
	e.perSecond += (e.sinceTick/step - e.perSecond) * step / e.span
	e.sinceTick = 0
}

// demandEstimate counts the recent requests; the counts decay over demandDecayTime.
type demandEstimate struct {
	recent float64 // requests that arrived, and connections that broke, whose clients reconnect
	resets float64 // of these, the connections that broke
}

func (d *demandEstimate) decay() {
	d.recent *= 1 - tickInterval.Seconds()/demandDecayTime.Seconds()
	d.resets *= 1 - tickInterval.Seconds()/demandDecayTime.Seconds()
}

// recordReset counts a connection that broke, or was migrated, before its client wanted to leave.
func (d *demandEstimate) recordReset() {
	d.recent++
	d.resets++
}

// lifetimeEstimate estimates how long connections last; its sums decay over lifetimeDecayTime.
type lifetimeEstimate struct {
	connectionSeconds float64 // seconds that all connections together have lasted
	ended             float64 // connections that ended without a failure
}

// update adds one tick. It counts all requests, as nearly all of them have an established connection.
func (l *lifetimeEstimate) update(requests int) {
	decay := 1 - tickInterval.Seconds()/lifetimeDecayTime.Seconds()
	l.connectionSeconds = l.connectionSeconds*decay + float64(requests)*tickInterval.Seconds()
	l.ended *= decay
}

// meanSeconds returns the mean lifetime of a connection in seconds, defaultLifetime until one has ended.
func (l *lifetimeEstimate) meanSeconds() float64 {
	if l.ended == 0 {
		return defaultLifetime.Seconds()
	}
	return (defaultLifetime.Seconds() + l.connectionSeconds) / (1 + l.ended)
}

// capacityEstimate estimates how many connections per second a warm server accepts, as this balancer's part of it.
type capacityEstimate struct {
	perSecond float64
	span      float64 // seconds over which it is averaged
}

// classLoads are the average loads of connections, in seconds of work per second; 0 means unknown.
type classLoads struct {
	classes []float64 // by the index of the class in the settings
	all     float64   // of all connections
}

func (c *classLoads) add(class int, load float64) {
	c.classes[class] = averageLoad(c.classes[class], load)
	c.all = averageLoad(c.all, load)
}

// averageLoad returns a moving average after one more observation.
func averageLoad(average, load float64) float64 {
	if average == 0 {
		average = load
	}
	return average + (load-average)*classLoadWeight
}

// loadChanged learns from the load that a client reports of its connection.
func (b *Balancer) loadChanged(event LoadChanged) {
	r := b.requests.byID[event.ID]
	if r == nil || event.Load <= 0 {
		return
	}
	r.Load = event.Load
	b.classLoads.add(r.Class, event.Load)
}

// updateEstimates advances the estimates by one tick.
func (b *Balancer) updateEstimates() {
	b.establishRate.update()
	b.throttle.decay()
	b.demand.decay()
	b.lifetime.update(len(b.requests.byID))
	b.updateCapacity()
}

// updateCapacity estimates the capacity of a warm server from the balancer's own rate, as if all balancers had the
// same: the rate over the servers of the fleet, scaled up to full load. The fleet counts the servers that were listed
// recently and are warm, removed ones too, since their clients come to the others. While most of the fleet is lost,
// the estimate stays as it was. It changes slowly, as a burst of reconnecting clients does not show what a server can
// accept.
func (b *Balancer) updateCapacity() {
	warming := b.warmingCount()
	warm, fleet := len(b.ready)-warming, len(b.servers)-warming
	if 2*warm < fleet || warm <= 0 {
		return
	}
	zones := float64(max(len(b.settings.Zones), 1))
	now := b.establishRate.perSecond * zones / (float64(fleet) * max(b.zoneLoad.mean, minCapacityLoad))
	b.capacity.span = min(b.capacity.span+tickInterval.Seconds(), capacityWindow.Seconds())
	b.capacity.perSecond += (now - b.capacity.perSecond) * tickInterval.Seconds() / b.capacity.span
}
