package core

import (
	"context"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
)

// dialServers is a resolver whose dials a test answers.
type dialServers struct {
	fakeServers
	dials chan dialOrder
}

type dialOrder struct {
	ctx  context.Context
	done func(bool)
}

func (d *dialServers) Dial(ctx context.Context, done func(bool)) { d.dials <- dialOrder{ctx, done} }

func (d *dialServers) next(t *testing.T) dialOrder {
	t.Helper()
	select {
	case o := <-d.dials:
		return o
	case <-time.After(20 * time.Second):
		t.Fatal("discovery is not dialled")
		return dialOrder{}
	}
}

func dialling(t *testing.T) (*Engine, *dialServers) {
	t.Helper()
	m, err := New(Config{MaxClients: 1, Log: func(string) {}, Settings: decide.Settings{Seed: 3, Zone: "a", WatchList: true,
		Balancers: 3, Safety: decide.SafetyLimits{MaxPollInterval: 200 * time.Millisecond}, // the first poll comes at once
		Classes: []decide.Class{{Name: "c", LatencyObjective: time.Second}}}})
	if err != nil {
		t.Fatal(err)
	}
	f := &dialServers{dials: make(chan dialOrder, 10)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { m.Run(ctx, f, f) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return m, f
}

// A call whose order was left out, which nothing tells, is made again after its wait. Guards against a watch that is waited
// for for ever.
func TestACallThatNobodyHeardOf(t *testing.T) {
	t.Parallel()
	m, f := answering(t, Config{Settings: decide.Settings{WatchList: true}})
	m.SetDiscoveryAddress("127.0.0.1:1")
	f.watches(t, 2)
}

// While discovery is away it is dialled, not called; a dial that hangs is given up and made again, and what it tells later
// is nothing. The call comes after the first dial that finds it, once.
func TestDialsAloneFindTheReturn(t *testing.T) {
	t.Parallel()
	m, f := dialling(t)
	f.watches(t, 1)
	m.WatchAlive(1)
	m.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 1})
	f.next(t).done(false)
	hung := f.next(t)
	again := f.next(t)
	if hung.ctx.Err() == nil {
		t.Error("two dials are out at once")
	}
	hung.done(true)
	m.handleInTurn(decide.WatchList{}, decide.FetchList{})
	settled(m)
	f.mu.Lock()
	if n := len(f.watch); n != 1 {
		t.Errorf("%d watches were asked for before a dial found discovery, want the first alone", n)
	}
	f.mu.Unlock()
	again.done(true)
	f.watches(t, 2)
	settled(m)
	if n := len(f.dials); n > 0 {
		t.Errorf("%d more dials", n)
	}
}

// handleInTurn carries out actions as if the decision module asked for them now.
func (m *Engine) handleInTurn(actions ...decide.Action) {
	m.post(func() {
		for _, a := range actions {
			m.act(a)
		}
	})
}

// A watch that stands speaks for discovery, as nothing is missed; one of the address that was left does not.
func TestWhoSpeaksForDiscovery(t *testing.T) {
	t.Parallel()
	m, f := dialling(t)
	f.watches(t, 1)
	m.WatchAlive(1)
	m.SetDiscoveryAddress("127.0.0.1:1")
	f.watches(t, 2)
	m.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed, WatchID: 2})
	m.WatchAlive(1)
	f.next(t).done(true)
	f.watches(t, 3)
	m.WatchAlive(3)
	m.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed}) // a list that was fetched beside it
	m.WatchAlive(3)
	settled(m)
	time.Sleep(2 * time.Second) // a dial would come 1.5 s after the failure at the latest
	if n := len(f.dials); n > 0 {
		t.Errorf("%d dials though a watch is alive", n)
	}
}
