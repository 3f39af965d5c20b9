package controlplane

import (
	"context"
	"sync"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/controlplane/replica"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/endpoint"
	"cottonplank/internal/discovery/filesource"

	"github.com/sirupsen/logrus"
)

const (
	aliveEvery = 2 * time.Second
	orderSize  = 8
)

// Sink takes what the list's actor learns.
type Sink interface {
	Resolved(core.Result)
	ListAlive(watch uint64)
}

// Inner is the list's actor where the document lists no room servers.
type Inner interface {
	core.Resolver
	core.Dialer
	Run(context.Context)
}

// gate lets what discovery tells pass until the document's list takes its place.
type gate struct {
	mu     sync.Mutex
	closed bool
	sink   Sink
}

func (g *gate) Resolved(r core.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.sink.Resolved(r)
	}
}

func (g *gate) ListAlive(watch uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.sink.ListAlive(watch)
	}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Source is a balancer's list's actor: discovery, until the document lists room servers; these from then on. It also turns the
// balancer to the document's discovery.
type Source struct {
	hub      *Hub
	follower *Follower
	saver    *Saver
	inner    Inner
	gate     *gate
	sink     Sink
	turn     func(discovery string)
	turns    core.Turns // nil: nobody hears
	log      *logrus.Logger
	orders   chan order
	states   chan replica.State

	// Owned by Run's goroutine.
	listed    bool            // the document lists room servers,
	rooms     []endpoint.Room // these
	discovery string          // the document's, that the balancer was turned to
	watch     order           // the latest
	inside    context.Context // of the inner actor's watches: it ends when the document's list takes over
	stopInner context.CancelFunc
}

// order is a call of the core's.
type order struct {
	ctx    context.Context
	watch  uint64     // its number; 0: the list alone is asked for
	dialed func(bool) // discovery is to be dialled; nil: it is not
}

// Following says whom a balancer follows.
type Following struct {
	Machines []replica.Machine
	Region   string
	Site     string
	Seed     uint64
}

// NewSource returns the actor. inner makes the actor of discovery for a sink; turn turns the module to another discovery. saved
// is the state that the balancer starts with, which is in force already.
func NewSource(f Following, keys *Keyring, store *Store, saved replica.State, inner func(Sink) Inner, turn func(discovery string),
	sink Sink, log *logrus.Logger) *Source {
	s := &Source{hub: NewHub(saved, false), saver: NewSaver(store), sink: sink, gate: &gate{sink: sink}, turn: turn, log: log,
		orders: make(chan order, orderSize), states: make(chan replica.State), listed: len(saved.Document.Rooms) > 0,
		discovery: saved.Document.Discovery, rooms: saved.Document.Rooms}
	s.inside, s.stopInner = context.WithCancel(context.Background())
	s.gate.closed = s.listed
	s.inner = inner(s.gate)
	s.follower = NewFollower(s.hub, f.Machines, f.Region, f.Seed, keys, f.Site, nil, log)
	return s
}

// Instances are a document's room servers as the core has them; none: discovery lists them.
func Instances(d replica.Document) []core.Instance {
	return filesource.Instances(endpoint.List{Rooms: d.Rooms})
}

// Watch lets a watchdog hear of the actor's turns; it is called before Run.
func (s *Source) Watch(turns core.Turns) { s.turns = turns }

// Move turns to discovery at another address.
func (s *Source) Move(address string) { s.inner.Move(address) }

// Subscribe answers with the list in force, and from then on with its changes.
func (s *Source) Subscribe(ctx context.Context, watch uint64) { s.order(order{ctx: ctx, watch: watch}) }

// FetchList answers with the list in force.
func (s *Source) FetchList(ctx context.Context) { s.order(order{ctx: ctx}) }

// Dial finds out whether discovery takes a connection. The document's list takes no call.
func (s *Source) Dial(ctx context.Context, done func(there bool)) {
	s.order(order{ctx: ctx, dialed: done})
}

func (s *Source) order(o order) {
	select {
	case s.orders <- o:
	default: // the module's actor never waits, and asks again
	}
}

// Rediscover is a reload's turn to the discovery of the balancer's own file. The document's comes before that; and in silence
// a newer version may name another, so that the one in force stays.
func (s *Source) Rediscover(address string) {
	switch {
	case s.hub.State().Document.Discovery != "":
		s.log.WithField("discovery", address).Info("control: the document names discovery, the file's is not taken over")
	case s.follower.Silent():
		s.log.WithField("discovery", address).Warn("control: nothing is heard of the writer, the file's discovery is not taken over")
	default:
		s.turn(address)
	}
}

// Run is the actor; it ends with ctx.
func (s *Source) Run(ctx context.Context) {
	s.follower.taken = func(state replica.State) {
		select {
		case s.states <- state:
		case <-ctx.Done():
		}
	}
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { s.follower.Run(ctx) })
	running.Go(func() { s.saver.Run(ctx) })
	running.Go(func() { s.inner.Run(ctx) })
	defer s.stopInner()
	alive := time.NewTicker(aliveEvery)
	defer alive.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.orders:
			core.Turn(s.turns, func() { s.answer(o) })
		case state := <-s.states:
			core.Turn(s.turns, func() { s.enforce(state) })
		case <-alive.C:
			if s.listed && s.watch.ctx != nil && s.watch.ctx.Err() == nil {
				core.Turn(s.turns, func() { s.sink.ListAlive(s.watch.watch) })
			}
		}
	}
}

func (s *Source) answer(o order) {
	if o.dialed != nil {
		if s.listed {
			o.dialed(true)
		} else {
			s.inner.Dial(o.ctx, o.dialed)
		}
		return
	}
	if o.watch != 0 {
		s.watch = o
	}
	if !s.listed {
		if o.watch == 0 {
			s.inner.FetchList(o.ctx)
			return
		}
		ctx, cancel := context.WithCancel(o.ctx)
		release := context.AfterFunc(s.inside, cancel)
		context.AfterFunc(ctx, func() { release() })
		s.inner.Subscribe(ctx, o.watch)
		return
	}
	if o.watch != 0 {
		s.sink.ListAlive(o.watch)
	}
	s.sink.Resolved(core.Result{Kind: decide.ListFull, Instances: Instances(replica.Document{Rooms: s.rooms})})
}

// enforce puts a version into force, and has it saved then.
func (s *Source) enforce(state replica.State) {
	if d := state.Document.Discovery; d != "" && d != s.discovery {
		s.turn(d)
		s.discovery = d
	}
	before := s.rooms
	if s.rooms = state.Document.Rooms; len(s.rooms) > 0 {
		result := core.Result{Kind: decide.ListChanges, Instances: changed(before, s.rooms)}
		if !s.listed {
			result = core.Result{Kind: decide.ListFull, Instances: Instances(state.Document)}
			s.listed = true
			s.gate.close()
			s.stopInner()
			if s.watch.ctx != nil {
				s.sink.ListAlive(s.watch.watch)
			}
		}
		s.sink.Resolved(result)
	}
	s.saver.Put(state)
}

// changed is what differs from one list to the next, both by name. Guards the module against a whole list for each change.
func changed(before, after []endpoint.Room) (all []core.Instance) {
	var put, gone []endpoint.Room
	i := 0
	for _, r := range after {
		for ; i < len(before) && before[i].Name < r.Name; i++ {
			gone = append(gone, before[i])
		}
		if i < len(before) && before[i].Name == r.Name {
			if i++; before[i-1] == r {
				continue
			}
		}
		put = append(put, r)
	}
	gone = append(gone, before[i:]...)
	all = filesource.Instances(endpoint.List{Rooms: gone})
	for i := range all {
		all[i].State = decide.Gone
	}
	return append(all, filesource.Instances(endpoint.List{Rooms: put})...)
}
