package decide

import (
	"math/rand/v2"
	"time"
)

// tickInterval is the period of the background work: estimates, polls, retries, migrations and probes.
const tickInterval = 250 * time.Millisecond

// Timer tokens. The tokens above retryWaitingToken are for the deadlines of requests.
const (
	tickToken         = 0 // for the periodic tick
	retryWaitingToken = 1 // for trying to place the waiting requests again
)

// seedStream is the second word of the random generator's seed.
const seedStream = 0x9e3779b97f4a7c15

// Balancer makes the decisions of one balancer process. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration // host clock at the latest event
	actions  []Action      // actions for the current event

	serverIndex
	fleet         fleetState
	discovery     discoveryState
	liveness      liveness
	answers       answerPools
	zoneLoad      zoneLoad
	thresholds    loadThresholds
	probes        probeScheduler
	requests      requestTable
	clients       clientMemory
	throttle      retryThrottle
	establishRate establishRate
	demand        demandEstimate
	capacity      capacityEstimate
	lifetime      lifetimeEstimate
	classLoads    classLoads
	cursor        int // position at which the next search of a list starts, modulo that list's length
}

// New returns a balancer without any servers. It returns an error for the first invalid setting.
func New(settings Settings) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.Balancers, settings.MaxAttempts = max(settings.Balancers, 1), max(settings.MaxAttempts, 1)
	b := &Balancer{
		settings:    settings,
		rng:         rand.New(rand.NewPCG(settings.Seed, seedStream)),
		serverIndex: newServerIndex(),
		fleet:       fleetState{FleetSize: ConfiguredFleetSize(settings)},
		zoneLoad:    zoneLoad{mean: initialMeanLoad},
		requests:    newRequestTable(),
		clients:     clientMemory{records: map[string]clientRecord{}},
		throttle:    retryThrottle{window: maxDialWindow / 4},
		classLoads:  classLoads{classes: make([]float64, len(settings.Classes))},
	}
	b.localZone, b.remoteZone = &b.zones[0], &b.zones[1]
	b.updateThresholds()
	return b, nil
}

// Handle processes one event, appends the actions that it causes to the slice actions and returns that slice. The time
// now must not be before that of the previous event.
func (b *Balancer) Handle(now time.Duration, event Event, actions []Action) []Action {
	b.now, b.actions = now, actions
	b.reindexDue()
	b.dispatch(event)
	actions, b.actions = b.actions, nil
	return actions
}

func (b *Balancer) dispatch(event Event) {
	switch event := event.(type) {
	case Started:
		b.start()
	case ListReceived:
		b.listReceived(event)
	case RequestArrived:
		b.requestArrived(event)
	case ConnectionRestored:
		b.restoreConnection(event)
	case Established:
		b.connectionEstablished(event)
	case LoadChanged:
		b.loadChanged(event)
	case MessageDelayReported:
		b.messageDelayReported(event)
	case AttemptEnded:
		b.attemptEnded(event)
	case RequestExpired:
		if r := b.requests.byID[event.ID]; r != nil && !r.established {
			b.finish(r)
		}
	case ClientDisconnected:
		b.forget(b.requests.byID[event.ID])
	case ProbeCompleted:
		b.probeCompleted(event)
	case FleetSize:
		b.setFleetSize(event)
	case TimerFired:
		b.timerFired(event.Token)
	}
}

func (b *Balancer) start() {
	b.liveness.noAnswerSince = b.now
	b.emit(SetTimer{Token: tickToken, Delay: 1 + b.jitter(tickInterval)})
	b.scheduleFirstPoll()
}

func (b *Balancer) timerFired(token uint64) {
	switch token {
	case tickToken:
		b.tick()
	case retryWaitingToken:
		b.retryWaiting()
	default:
		if r := b.requests.byToken[token]; r != nil {
			b.finish(r) // the request's deadline has passed
		}
	}
}

// tick does the periodic work.
func (b *Balancer) tick() {
	b.emit(SetTimer{Token: tickToken, Delay: tickInterval})
	b.updateEstimates()
	if b.now >= b.discovery.pollAt {
		b.poll()
	}
	b.retryWaiting()
	b.migrateFromOverloaded()
	b.probePeriodically()
	b.clients.expire(b.now)
}

func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// jitter returns a random duration between 0 and d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}
